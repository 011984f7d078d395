#ifndef LYCHEESTEP_RUN_LISTENER_H
#define LYCHEESTEP_RUN_LISTENER_H

#include <string>

#include "lycheestep/id.h"
#include "lycheestep/target_orders.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Receives the state changes of runs on targets.
class RunListener
{
public:
  virtual ~RunListener() = default;

  // A target reported that it works on the run. Called for every such report;
  // each may contain a newer checkpoint and newer progress.
  virtual void OnRunProgress(const TargetId& aTarget,
                             const RunningTask& aTask,
                             TimePoint aNow) = 0;

  // A target reported the end of the run. The run's capacity on the target is
  // free again.
  virtual void OnRunEnded(const TargetId& aTarget,
                          const EndedTask& aTask,
                          TimePoint aNow) = 0;

  // The run is over, but no target reported its end: the run never started, or
  // its lease expired, or its target's incarnation ended. The run's capacity on
  // the target is free again. aStatus is the reply to the start order if that
  // reply was the reason, and kUnknown otherwise.
  virtual void OnRunLost(const TargetId& aTarget,
                         const RunName& aRun,
                         OrderStatus aStatus) = 0;
};

} // namespace lycheestep

#endif
