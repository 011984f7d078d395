#ifndef LYCHEESTEP_ENDED_POLLER_H
#define LYCHEESTEP_ENDED_POLLER_H

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "http_connections.h"
#include "lycheestep/id.h"
#include "lycheestep/time_types.h"
#include "worker_pool.h"

namespace lycheestep {

class EventSink;
struct EndedTasks;

// Learns of ended tasks by long polling and posts a TaskEnded event for each.
// A target answers the start of a task at once and reports the end of the task
// in its answer to POST /v1/ended. EndedPoller has at most one such poll
// outstanding per target address, regardless of the number of tasks, and polls
// a target only while at least one of its attempts is watched. If the poller
// misses an end because the target was unreachable for too long, a later lease
// renewal reports the end.
class EndedPoller
{
public:
  // aTimeout is the time limit of an ordinary call; a poll may take longer by
  // the time for which the target delays its answer.
  EndedPoller(EntryId aEntry, Duration aTimeout);

  // Sets the sink of TaskEnded events. Must be called before the first
  // Watch().
  void SetSink(EventSink* aEvents) { m_events = aEvents; }

  // Starts to watch for the end of aAttempt at aTarget. Must be called before
  // the start of the attempt is sent, so that its end is not missed.
  void Watch(const TargetId& aTarget,
             const std::string& aAddress,
             const AttemptId& aAttempt);

  // Stops watching aAttempt. Called if the attempt did not start.
  void Unwatch(const std::string& aAddress, const AttemptId& aAttempt);

  // Ends all polls and stops the threads.
  void Stop();

private:
  // A watched attempt and the time when the watch began.
  struct Watched
  {
    TimePoint m_since;
  };

  // The state of the long poll at one target address. m_sequence is the number
  // of the last end received from the target; zero polls from the beginning.
  struct Poll
  {
    TargetId m_target;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::map<AttemptId, Watched> m_attempts;
    bool m_running = false;
  };

  void Run(const std::string& aAddress);
  bool PollOnce(const std::string& aAddress);
  std::uint64_t SequenceOf(const std::string& aAddress);
  bool HasWork(const std::string& aAddress);
  void TakeEnds(const std::string& aAddress, const EndedTasks& aEnded);
  // Removes aAttempt from aPoll and returns the time when its watch began, or
  // the current time if it is not watched.
  TimePoint Forget(Poll& aPoll, const AttemptId& aAttempt);

  const EntryId m_entry;
  HttpConnections m_connections;
  EventSink* m_events = nullptr;
  std::atomic<bool> m_stopped{ false };
  std::mutex m_mutex;
  std::map<std::string, Poll> m_polls;
  WorkerPool m_pool;
};

} // namespace lycheestep

#endif
