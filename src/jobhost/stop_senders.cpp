#include "stop_senders.h"

#include <pthread.h>

#include <chrono>
#include <cstddef>
#include <iterator>
#include <optional>
#include <utility>

#include "order_queue.h"
#include "sender_limit.h"

namespace lycheestep {

namespace {

// The maximum number of stops that are on their way to one target.
constexpr std::size_t kMaxStopSenders = 16;

// How long a thread waits for a stop before it ends. Longer than the time after
// which a stop is repeated.
constexpr Duration kIdle = std::chrono::seconds(2);

} // namespace

StopSenders::StopSenders(OrderQueue& aQueue, SenderLimit& aLimit, Send aSend)
  : m_queue(aQueue)
  , m_limit(aLimit)
  , m_send(std::move(aSend))
{
}

StopSenders::~StopSenders()
{
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_threadEnded.wait(lock, [this] { return m_running.empty(); });
  }
  JoinEnded();
}

void StopSenders::AddIfNeeded()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  while (m_queue.HasUnattendedStop() && Reserve()) {
    std::optional<QueuedOrder> stop =
      m_queue.Take(Duration::zero(), OrderSelection::kStops);
    if (!stop) {
      Unreserve();
      return;
    }
    Launch(std::move(*stop));
  }
}

void StopSenders::JoinEnded()
{
  Threads ended;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ended.swap(m_ended);
  }
  for (std::thread& thread : ended) {
    thread.join();
  }
}

bool StopSenders::IsFinished() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_running.empty();
}

bool StopSenders::Reserve()
{
  return m_running.empty() ||
         (m_running.size() < kMaxStopSenders && m_limit.TryAcquire());
}

void StopSenders::Unreserve()
{
  if (!m_running.empty()) {
    m_limit.Release();
  }
}

void StopSenders::Launch(QueuedOrder aFirst)
{
  const auto thread = m_running.emplace(m_running.end());
  *thread = std::thread(
    [this, thread, first = std::move(aFirst)] { Run(thread, first); });
  pthread_setname_np(thread->native_handle(), "target-stop");
}

void StopSenders::Run(Threads::iterator aThread, const QueuedOrder& aFirst)
{
  SendStops(aFirst);
  while (!End(aThread)) {
    const std::optional<QueuedOrder> stop =
      m_queue.Take(Duration::zero(), OrderSelection::kStops);
    if (stop) {
      SendStops(*stop);
    }
  }
}

void StopSenders::SendStops(const QueuedOrder& aFirst)
{
  std::optional<QueuedOrder> stop = aFirst;
  while (stop) {
    // The limit of the host may not be reached any more.
    AddIfNeeded();
    m_send(*stop);
    JoinEnded();
    // An idle thread is of more use to another target if the limit is reached.
    stop = m_queue.Take(m_limit.IsReached() ? Duration::zero() : kIdle,
                        OrderSelection::kStops);
  }
}

bool StopSenders::End(Threads::iterator aThread)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  // A stop that is added from now on finds this thread gone.
  if (m_queue.HasUnattendedStop()) {
    return false;
  }
  m_ended.splice(m_ended.end(), m_running, aThread);
  Unreserve();
  m_threadEnded.notify_all();
  return true;
}

} // namespace lycheestep
