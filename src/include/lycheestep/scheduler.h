#ifndef LYCHEESTEP_SCHEDULER_H
#define LYCHEESTEP_SCHEDULER_H

#include <memory>

#include "lycheestep/action.h"
#include "lycheestep/event.h"
#include "lycheestep/scheduler_settings.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class SchedulerState;

// The decision core of one entry host. Pure and single-threaded: it opens no
// socket, reads no clock and takes no lock. Events go in with the time at
// which they are handled, actions come out. All that it knows is lost with
// the process; what has to last is in the platform's table.
class Scheduler
{
public:
  // A host that has just started at aNow and knows nothing yet.
  Scheduler(const SchedulerSettings& aSettings, TimePoint aNow);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Handles one event and appends what has to be done. aNow never goes back.
  void Handle(const Event& aEvent, TimePoint aNow, ActionList& aActions);

  // The time at which TimePassed is due next.
  TimePoint NextWakeup() const;

  // True when the host has a catalogue and takes new work.
  bool IsReady() const;

private:
  std::unique_ptr<SchedulerState> m_state;
};

} // namespace lycheestep

#endif
