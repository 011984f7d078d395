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

// Writes one line an event to standard output by log4cplus, on a thread of its
// own: "EVENT name=value name=value". No caller waits. Lines beyond what a
// second may hold, or beyond what the writer keeps up with, are counted
// instead, and the count is written.
class EventLog
{
public:
  // Each event is also counted in aMetrics, whether or not its line is left
  // out.
  EventLog(const std::string& aHost, MetricsSink& aMetrics);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(const std::string& aEvent, const std::string& aFields);

  // Writes what waits, for at most aTimeout; nothing is written after it.
  void Finish(Duration aTimeout);

private:
  void Run();
  bool AdmitLine(TimePoint aNow);

  MetricsSink& m_metrics;
  std::mutex m_mutex;
  std::condition_variable m_lineReady;
  std::condition_variable m_finished;
  bool m_finishedWriting = false;
  std::deque<std::string> m_lines;
  std::uint64_t m_dropped = 0;
  TimePoint m_secondStart;
  std::size_t m_linesInSecond = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
