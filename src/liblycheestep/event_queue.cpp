#include "lycheestep/event_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheestep {

EventQueue::EventQueue(std::size_t aLimit)
  : m_limit(std::max<std::size_t>(aLimit, 1))
{
}

bool EventQueue::Push(Event aEvent)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  m_roomFree.wait(lock,
                  [this] { return m_closed || m_events.size() < m_limit; });
  if (m_closed) {
    return false;
  }
  m_events.push_back(std::move(aEvent));
  m_eventReady.notify_one();
  return true;
}

bool EventQueue::TryPush(Event aEvent)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_closed || m_events.size() >= m_limit) {
    return false;
  }
  m_events.push_back(std::move(aEvent));
  m_eventReady.notify_one();
  return true;
}

void EventQueue::PopAll(TimePoint aUntil, std::vector<Event>& aEvents)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  const auto ready = [this] { return m_closed || !m_events.empty(); };
  if (aUntil == TimePoint::max()) {
    m_eventReady.wait(lock, ready);
  } else {
    m_eventReady.wait_until(lock, aUntil, ready);
  }
  std::move(m_events.begin(), m_events.end(), std::back_inserter(aEvents));
  m_events.clear();
  m_roomFree.notify_all();
}

void EventQueue::Close()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
  }
  m_roomFree.notify_all();
  m_eventReady.notify_all();
}

bool EventQueue::IsClosed() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_closed;
}

std::size_t EventQueue::Size() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_events.size();
}

} // namespace lycheestep
