#ifndef LYCHEESTEP_EVENT_SINK_H
#define LYCHEESTEP_EVENT_SINK_H

#include "lycheestep/event.h"

namespace lycheestep {

// Where services hand events to the control thread. Safe from any thread but
// the control thread itself.
class EventSink
{
public:
  virtual ~EventSink() = default;

  // Hands over an event; waits while the queue is full. An event posted
  // after the control thread has stopped is dropped.
  virtual void Post(Event aEvent) = 0;

  // As Post, but returns false at once when the queue is full or closed.
  virtual bool TryPost(Event aEvent) = 0;
};

} // namespace lycheestep

#endif
