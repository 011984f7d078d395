#include "ended_poller.h"

#include <chrono>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "lycheestep/event_sink.h"
#include "target_json.h"

namespace lycheestep {

namespace {

// The most targets polled concurrently.
constexpr std::size_t kPollLimit = 512;

// The target delays its answer to a poll for at most this long if no task
// ends.
constexpr Duration kPollWait = std::chrono::seconds(1);

// The delay before the next poll of a target after a failed poll.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);

// An attempt is watched for at most this long. After that, a lease renewal
// reports its end.
constexpr Duration kWatchLimit = std::chrono::minutes(10);

constexpr int kHttpOk = 200;

} // namespace

EndedPoller::EndedPoller(EntryId aEntry, Duration aTimeout)
  : m_entry(std::move(aEntry))
  , m_connections(aTimeout + kPollWait)
  , m_pool("target-ends", kPollLimit)
{
}

void EndedPoller::Watch(const TargetId& aTarget,
                        const std::string& aAddress,
                        const AttemptId& aAttempt)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Poll& poll = m_polls[aAddress];
  poll.m_target = aTarget;
  poll.m_attempts[aAttempt] = Watched{ Clock::now() };
  if (!poll.m_running) {
    poll.m_running = m_pool.Run([this, aAddress] { Run(aAddress); });
  }
}

void EndedPoller::Unwatch(const std::string& aAddress,
                          const AttemptId& aAttempt)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_polls[aAddress].m_attempts.erase(aAttempt);
}

void EndedPoller::Stop()
{
  m_stopped = true;
  m_pool.Stop();
}

void EndedPoller::Run(const std::string& aAddress)
{
  while (HasWork(aAddress)) {
    if (!PollOnce(aAddress)) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

bool EndedPoller::PollOnce(const std::string& aAddress)
{
  EndedPoll call;
  call.m_entry = m_entry;
  call.m_after = SequenceOf(aAddress);
  call.m_wait = kPollWait;
  const HttpReply reply = m_connections.Post(
    NetworkAddress::ParseOrNone(aAddress), "/v1/ended", EncodeEndedPoll(call));
  if (reply.m_progress != HttpProgress::kAnswered ||
      reply.m_status != kHttpOk) {
    return false;
  }
  const std::optional<EndedTasks> ended = DecodeEndedTasks(reply.m_body);
  if (!ended) {
    return false;
  }
  TakeEnds(aAddress, *ended);
  return true;
}

std::uint64_t EndedPoller::SequenceOf(const std::string& aAddress)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_polls[aAddress].m_sequence;
}

bool EndedPoller::HasWork(const std::string& aAddress)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  Poll& poll = m_polls[aAddress];
  const TimePoint oldest = Clock::now() - kWatchLimit;
  for (auto it = poll.m_attempts.begin(); it != poll.m_attempts.end();) {
    it =
      it->second.m_since < oldest ? poll.m_attempts.erase(it) : std::next(it);
  }
  poll.m_running = !m_stopped && !poll.m_attempts.empty();
  return poll.m_running;
}

void EndedPoller::TakeEnds(const std::string& aAddress,
                           const EndedTasks& aEnded)
{
  std::vector<TaskEnded> events;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Poll& poll = m_polls[aAddress];
    if (poll.m_incarnation != aEnded.m_incarnation) {
      // A restarted target numbers its ended tasks from one again. Poll again
      // from the beginning, so that no end is skipped.
      poll.m_incarnation = aEnded.m_incarnation;
      const bool skipped = poll.m_sequence != 0;
      poll.m_sequence = 0;
      if (skipped) {
        return;
      }
    }
    poll.m_sequence = aEnded.m_sequence;
    for (const TaskReport& task : aEnded.m_tasks) {
      const TimePoint since = Forget(poll, task.m_attempt);
      events.push_back({ poll.m_target, task, Clock::now() - since });
    }
  }
  for (TaskEnded& event : events) {
    m_events->Post(std::move(event));
  }
}

TimePoint EndedPoller::Forget(Poll& aPoll, const AttemptId& aAttempt)
{
  const auto found = aPoll.m_attempts.find(aAttempt);
  if (found == aPoll.m_attempts.end()) {
    return Clock::now();
  }
  const TimePoint since = found->second.m_since;
  aPoll.m_attempts.erase(found);
  return since;
}

} // namespace lycheestep
