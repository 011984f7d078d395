#ifndef LYCHEESTEP_EVENT_LOG_H
#define LYCHEESTEP_EVENT_LOG_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "line_limit.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class MetricsSink;

// Writes one line per event to standard output with log4cplus, on its own
// thread: "event=EVENT name=value name=value", after the time of the event and
// the host. No caller blocks, except in Finish. If there are more lines than
// the limit per second, or more than fit in the queue, the excess lines are
// dropped, and a line with their count is written instead.
class EventLog
{
public:
  // Each event is also counted in aMetrics, even if its line is dropped.
  EventLog(const std::string& aHost, MetricsSink& aMetrics);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(const std::string& aEvent, const std::string& aFields);

  // As Write, but with a limit per second of its own, so that routine lines
  // take no room from it. For events about work that did not end well.
  void WriteNotable(const std::string& aEvent, const std::string& aFields);

  // As Write, but without a limit per second. For events that sum up or explain
  // many others.
  void WriteUnlimited(const std::string& aEvent, const std::string& aFields);

  // Writes the queued lines, and waits at most aTimeout until they are written.
  // Lines that are logged later may be lost.
  void Finish(Duration aTimeout);

private:
  struct Line
  {
    std::chrono::system_clock::time_point m_time;
    std::string m_text;
  };

  void Run();
  void WriteWithin(LineLimit& aLimit,
                   const std::string& aEvent,
                   const std::string& aFields);
  // Queues the line, or counts it as dropped if the queue is full.
  void Queue(const std::string& aEvent, const std::string& aFields);

  MetricsSink& m_metrics;
  std::mutex m_mutex;
  std::condition_variable m_lineReady;
  std::condition_variable m_finished;
  bool m_finishedWriting = false;
  std::deque<Line> m_lines;
  // Lines dropped since the last count was written.
  std::uint64_t m_dropped = 0;
  LineLimit m_routineLimit;
  LineLimit m_notableLimit;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
