#ifndef LYCHEESTEP_EVENT_QUEUE_H
#define LYCHEESTEP_EVENT_QUEUE_H

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <vector>

#include "lycheestep/event.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The bounded queue from the traffic threads to the control thread. Events
// come out in the order in which they went in.
class EventQueue
{
public:
  // Holds at most aLimit events, at least one.
  explicit EventQueue(std::size_t aLimit);

  // Adds an event, waiting for room. False when the queue is closed.
  bool Push(Event aEvent);

  // Adds an event only if there is room and the queue is open.
  bool TryPush(Event aEvent);

  // Waits until an event is there, aUntil is reached or the queue is closed,
  // then moves all waiting events to the end of aEvents.
  void PopAll(TimePoint aUntil, std::vector<Event>& aEvents);

  // Refuses new events and wakes all who wait.
  void Close();

  bool IsClosed() const;

  // Events that wait.
  std::size_t Size() const;

private:
  const std::size_t m_limit;
  mutable std::mutex m_mutex;
  std::condition_variable m_roomFree;
  std::condition_variable m_eventReady;
  std::vector<Event> m_events;
  bool m_closed = false;
};

} // namespace lycheestep

#endif
