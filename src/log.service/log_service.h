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

// Writes log lines to standard error by log4cplus, on a thread of its own.
// Lines wait in a bounded queue; when it is full, lines are dropped and
// counted instead of blocking the writer. (The AsyncAppender of log4cplus
// blocks when its queue is full, so it can't stand between the control thread
// and a terminal that hangs.)
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

  void Write(const LogDecision& aDecision) override;
  void Write(const LogNote& aNote) override;

private:
  // One line on its way to log4cplus.
  struct Line
  {
    std::string m_part;
    std::string m_text;
    bool m_warning = false;
  };

  class Output;

  void Add(Line aLine);
  void Run();

  const std::string m_level;
  const bool m_json;
  std::unique_ptr<Output> m_output;
  std::mutex m_mutex;
  std::condition_variable m_lineReady;
  std::deque<Line> m_lines;
  std::uint64_t m_dropped = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
