#ifndef LYCHEESTEP_DECISION_CORE_H
#define LYCHEESTEP_DECISION_CORE_H

#include "lycheestep/action.h"
#include "lycheestep/event.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// What the control thread drives: Scheduler in a process, a mock in tests.
class DecisionCore
{
public:
  virtual ~DecisionCore() = default;

  // Handles one event and appends what has to be done.
  virtual void Handle(const Event& aEvent,
                      TimePoint aNow,
                      ActionList& aActions) = 0;

  // The time at which TimePassed is due next.
  virtual TimePoint NextWakeup() const = 0;

  // True when new work is taken.
  virtual bool IsReady() const = 0;
};

} // namespace lycheestep

#endif
