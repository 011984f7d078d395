#ifndef LYCHEESTEP_PROCESS_RUNNER_H
#define LYCHEESTEP_PROCESS_RUNNER_H

#include <functional>
#include <string>

#include "lycheestep/kernel.h"
#include "lycheestep/process_settings.h"

namespace lycheestep {

class ControlThread;

// Runs the services of one process until a signal ends it. SIGTERM and SIGINT
// stop it gracefully, SIGHUP and SIGPIPE do nothing.
class ProcessRunner
{
public:
  // Blocks the signals for this thread and all that it starts.
  explicit ProcessRunner(const ProcessSettings& aSettings);

  // Registers the service made by its factory; nothing when none is there.
  void Add(const std::string& aName);
  void Add(std::unique_ptr<Service> aService);

  // Registers the control thread with the decision core.
  void AddControlThread();

  // Starts all services, calls aOnStarted, waits for a signal, stops
  // gracefully and returns the exit code.
  int Run(const std::function<void(ControlThread&)>& aOnStarted);

private:
  int StopGracefully(ControlThread& aControl);
  void LogProcessNote(const std::string& aText, bool aWarning);

  const ProcessSettings& m_settings;
  Kernel m_kernel;
};

} // namespace lycheestep

#endif
