#ifndef LYCHEESTEP_STOP_MONITOR_H
#define LYCHEESTEP_STOP_MONITOR_H

#include <cstdint>
#include <map>

#include "lycheestep/id.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class JobEffects;
struct TargetRun;
struct TargetState;

// Why a run that is to be stopped has not ended.
enum class StopObstacle : std::uint8_t
{
  kNoAddress,   // the address of its target is not known
  kNotSent,     // no stop has left, or the last one found no connection
  kNotAnswered, // the target did not answer the last stop
  kRefused,     // the target refused the last stop
  kNotEnded,    // the target took the stop, and lists no end yet
};

// Returns the obstacle's name in logs.
const char* ToString(StopObstacle aObstacle);

// Returns why the run on the target has not ended.
StopObstacle ObstacleOf(const TargetState& aTarget, const TargetRun& aRun);

// Reports the stops of runs in logs and metrics: how long each took, and which
// are overdue, on which target, since when and why.
class StopMonitor
{
public:
  explicit StopMonitor(JobEffects& aEffects);

  // Reports the end of a run. Does nothing unless it was to be stopped.
  void OnRunEnded(const TargetRun& aRun, TimePoint aNow);

  // Once a second, reports the stops that wait.
  void Tick(const std::map<TargetId, TargetState>& aTargets, TimePoint aNow);

private:
  JobEffects& m_effects;
  TimePoint m_nextReport;
};

} // namespace lycheestep

#endif
