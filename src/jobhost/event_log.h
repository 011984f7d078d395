#ifndef LYCHEESTEP_EVENT_LOG_H
#define LYCHEESTEP_EVENT_LOG_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "lycheestep/time_types.h"

namespace lycheestep {

class MetricsSink;

// Writes one line per event to standard output with log4cplus, on its own
// thread: "event=EVENT name=value name=value", after the time and the host. No
// caller blocks, except in Finish. If there are more lines than the limit per
// second, or more than fit in the queue, the excess lines are dropped, and a
// line with their count is written instead.
class EventLog
{
public:
  // Each event is also counted in aMetrics, even if its line is dropped.
  EventLog(const std::string& aHost, MetricsSink& aMetrics);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(const std::string& aEvent, const std::string& aFields);

  // As Write, but the line does not count towards the limit per second, nor is
  // it dropped because of it. For events that sum up or explain many others.
  void WriteUnlimited(const std::string& aEvent, const std::string& aFields);

  // Writes the queued lines, and waits at most aTimeout until they are written.
  // Lines that are logged later may be lost.
  void Finish(Duration aTimeout);

private:
  void Run();
  void Queue(const std::string& aEvent, const std::string& aFields);
  // Returns false if a line at aNow exceeds a limit; counts the line otherwise.
  bool AdmitLine(TimePoint aNow);

  MetricsSink& m_metrics;
  std::mutex m_mutex;
  std::condition_variable m_lineReady;
  std::condition_variable m_finished;
  bool m_finishedWriting = false;
  std::deque<std::string> m_lines;
  // Lines dropped since the last count was written.
  std::uint64_t m_dropped = 0;
  // The start of the interval of one second to which m_linesInSecond belongs.
  TimePoint m_secondStart;
  std::size_t m_linesInSecond = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
