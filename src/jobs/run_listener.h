#ifndef LYCHEESTEP_RUN_LISTENER_H
#define LYCHEESTEP_RUN_LISTENER_H

#include <string>

#include "lycheestep/id.h"
#include "lycheestep/target_orders.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Learns what became of runs on targets.
class RunListener
{
public:
  virtual ~RunListener() = default;

  // A target works on the run; told again with each newer checkpoint.
  virtual void OnRunProgress(const TargetId& aTarget,
                             const RunningTask& aTask,
                             TimePoint aNow) = 0;

  // The run ended as the target says. Its room is free.
  virtual void OnRunEnded(const TargetId& aTarget,
                          const EndedTask& aTask,
                          TimePoint aNow) = 0;

  // The run is over without an end: it never started, or its lease or its
  // target's incarnation is over. Its room is free. aStatus says how its
  // start was answered, where that was the reason.
  virtual void OnRunLost(const TargetId& aTarget,
                         const RunName& aRun,
                         OrderStatus aStatus) = 0;
};

} // namespace lycheestep

#endif
