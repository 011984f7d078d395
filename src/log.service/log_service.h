#ifndef LYCHEESTEP_LOG_SERVICE_H
#define LYCHEESTEP_LOG_SERVICE_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>

#include "lycheestep/decision_log.h"
#include "lycheestep/service.h"

namespace lycheestep {

struct ProcessSettings;

// Writes log lines to standard error through log4cplus, on a separate thread.
// Lines wait in a bounded queue. If the queue is full, a new line is dropped
// and counted, so that Write() never blocks its caller. The AsyncAppender of
// log4cplus isn't used because its full queue blocks the caller: a terminal
// that hangs would then block the control thread.
class LogService
  : public Service
  , public DecisionLog
{
public:
  explicit LogService(const ProcessSettings& aSettings);
  ~LogService() override;

  std::string Name() const override { return "log"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override;

  // Queues aDecision as a line if the log level is "info" or "debug".
  void Write(const LogDecision& aDecision) override;
  // Queues aNote as a line. A warning is dropped only if the log level is
  // "error"; any other note needs the level "info" or "debug".
  void Write(const LogNote& aNote) override;

private:
  // A formatted line in the queue.
  struct Line
  {
    // The name of the log4cplus logger, which the text layout prints.
    std::string m_part;
    std::string m_text;
    bool m_warning = false;
  };

  class Output;

  // Appends aLine to the queue, or counts it as dropped if the queue is full.
  void Add(Line aLine);
  // Writes queued lines until Stop() was called and the queue is empty.
  void Run();

  const std::string m_level;
  const bool m_json;
  std::unique_ptr<Output> m_output;
  std::mutex m_mutex;
  std::condition_variable m_lineReady;
  std::deque<Line> m_lines;
  // The lines dropped since the last report of dropped lines.
  std::uint64_t m_dropped = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
