#ifndef LYCHEESTEP_PROCESS_RUNNER_H
#define LYCHEESTEP_PROCESS_RUNNER_H

#include <functional>
#include <string>

#include "lycheestep/kernel.h"
#include "lycheestep/process_settings.h"

namespace lycheestep {

class ControlThread;

// Runs the services of one process until SIGTERM or SIGINT, which start a
// graceful shutdown. SIGHUP and SIGPIPE are ignored.
class ProcessRunner
{
public:
  // Blocks SIGTERM and SIGINT in the calling thread and in all threads that are
  // started from it later.
  explicit ProcessRunner(const ProcessSettings& aSettings);

  // Registers the service that the factory for aName makes. Does nothing if no
  // such factory is registered.
  void Add(const std::string& aName);
  void Add(std::unique_ptr<Service> aService);

  // Registers the control thread, which runs a SchedulerCore.
  void AddControlThread();

  // Starts all services, calls aOnStarted, waits for SIGTERM or SIGINT, stops
  // gracefully and returns the exit code: 0, or 1 if a service could not start
  // or the stop exceeded its time limit.
  int Run(const std::function<void(ControlThread&)>& aOnStarted);

private:
  int StopGracefully(ControlThread& aControl);
  void LogProcessNote(const std::string& aText, bool aWarning);

  const ProcessSettings& m_settings;
  Kernel m_kernel;
};

} // namespace lycheestep

#endif
