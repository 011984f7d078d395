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

// Fetches the ends of tasks as they happen. A target answers a start at once;
// its ends come through one outstanding long poll per target, POST
// /v1/ended, however many tasks are waited for. A poll runs only while
// something is waited for at its target. An end that this misses, because the
// target was out of reach for too long, comes with a later lease renewal.
class EndedPoller
{
public:
  // aTimeout is the time limit of an ordinary call.
  EndedPoller(EntryId aEntry, Duration aTimeout);

  // The sink of TaskEnded events. Before the first Watch.
  void SetSink(EventSink* aEvents) { m_events = aEvents; }

  // From now on the end of the attempt is waited for. Called before its
  // start is sent, so that no end is missed.
  void Watch(const TargetId& aTarget,
             const std::string& aAddress,
             const AttemptId& aAttempt);

  // The attempt did not start.
  void Unwatch(const std::string& aAddress, const AttemptId& aAttempt);

  // Ends all polls.
  void Stop();

private:
  // One attempt whose end is waited for.
  struct Watched
  {
    TimePoint m_since;
  };

  // The poll at one target.
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
