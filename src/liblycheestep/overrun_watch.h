#ifndef LYCHEESTEP_OVERRUN_WATCH_H
#define LYCHEESTEP_OVERRUN_WATCH_H

#include "core_context.h"
#include "lycheestep/target_protocol.h"
#include "usage_estimator.h"

namespace lycheestep {

struct CoreParts;
struct LiveRequest;
struct LiveTask;
class TaskFlow;

// Compares what tasks take with what they were given. Teaches the admission
// queue what the kinds really need, and throttles or stops a task of this
// host that takes more, unless a promised customer depends on its kind.
class OverrunWatch
{
public:
  OverrunWatch(CoreParts& aParts, TaskFlow& aTasks);

  // Looks at every task of a target's report. Called before the parts that
  // forget ended tasks see it.
  void HandleReport(CoreContext& aContext, const TargetReport& aReport);

  // A task ended and its target said so without being asked.
  void HandleEnded(const TaskReport& aReport);

private:
  void HandleRunning(CoreContext& aContext, const TaskReport& aReport);
  void Stop(CoreContext& aContext, LiveRequest& aLive, LiveTask& aTask);

  CoreParts& m_parts;
  TaskFlow& m_tasks;
  UsageEstimator m_estimator;
};

} // namespace lycheestep

#endif
