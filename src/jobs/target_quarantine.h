#ifndef LYCHEESTEP_TARGET_QUARANTINE_H
#define LYCHEESTEP_TARGET_QUARANTINE_H

#include <map>
#include <string>

#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class JobEffects;
struct TargetState;

// Decides from the ends of runs which targets are in quarantine. A job whose
// tasks fail on several targets, and succeed on none, is taken to be the cause
// itself; failures of several other jobs on one target speak against the
// target. Quarantine is a preference among targets: AvoidedTargets says when
// work goes to a target in spite of it.
class TargetQuarantine
{
public:
  TargetQuarantine(std::map<TargetId, TargetState>& aTargets,
                   JobEffects& aEffects);

  // Handles a task that succeeded on the target in a run that started at
  // aStartedAt. If it started after the last failure there, the quarantine
  // ends.
  void OnTaskDone(const TargetId& aTarget, TimePoint aStartedAt);

  // Handle a task of the job that failed on the target or made no progress
  // there. aStepHasDoneTasks is true if tasks of the same step have succeeded.
  void OnTaskFailed(const TargetId& aTarget,
                    const JobId& aJob,
                    bool aStepHasDoneTasks,
                    TimePoint aNow);
  void OnTaskStalled(const TargetId& aTarget,
                     const JobId& aJob,
                     bool aStepHasDoneTasks,
                     TimePoint aNow);

  // Forgets on which targets a job that is over has failed.
  void OnJobOver(const JobId& aJob) { m_failedOn.erase(aJob); }

private:
  using FailureTimes = std::map<TargetId, TimePoint>;

  // Notes the failure. Returns the target if the failure speaks against it,
  // and null if it speaks against the job.
  TargetState* NoteFailure(const TargetId& aTarget,
                           const JobId& aJob,
                           bool aStalled,
                           bool aStepHasDoneTasks,
                           TimePoint aNow);
  // Removes the job from what speaks against targets.
  void RemoveEvidence(const JobId& aJob,
                      const FailureTimes& aFailedOn,
                      TimePoint aNow);
  void Begin(TargetState& aTarget, Duration aTime, TimePoint aNow);

  std::map<TargetId, TargetState>& m_targets;
  JobEffects& m_effects;
  // The targets on which tasks of a job that is not over failed, with the time
  // of the newest failure on each.
  std::map<JobId, FailureTimes> m_failedOn;
};

} // namespace lycheestep

#endif
