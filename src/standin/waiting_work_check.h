#ifndef LYCHEESTEP_WAITING_WORK_CHECK_H
#define LYCHEESTEP_WAITING_WORK_CHECK_H

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "lycheestep/job_spec.h"
#include "lycheestep/resources.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A target that can be reached and takes work.
struct OpenTarget
{
  TargetId m_target;
  Resources m_capacity;
  Resources m_used;
};

// A step whose predecessors are done and of whose job nothing runs.
struct IdleStep
{
  StepName m_name;
  const JobStep* m_step = nullptr;
  // Returns true if a task of the step may run on the target.
  std::function<bool(const TargetId&)> m_mayUse;
};

// Checks that accepted work starts when there is capacity for it: no job may
// have nothing running for kMaxIdleTime while a step's turn has come, its tasks
// fit twice over and less than half of the fleet's processors are in use.
class WaitingWorkCheck
{
public:
  // Looks at the fleet and the steps as they are at aNow, and returns the jobs
  // that have waited too long just now. Each job is reported once.
  std::vector<JobId> Check(const std::vector<OpenTarget>& aTargets,
                           const std::vector<IdleStep>& aSteps,
                           TimePoint aNow);

  // Forgets the waits so far, as something harms the whole cell.
  void Reset() { m_idleSince.clear(); }

  // Returns the longest wait that was seen.
  Duration LongestWait() const { return m_longestWait; }

  // Returns true if the step, or one of its tasks if it is no gang, fits aTimes
  // into what the targets have free.
  static bool Fits(const IdleStep& aStep,
                   const std::vector<OpenTarget>& aTargets,
                   std::size_t aTimes);

private:
  std::map<JobId, TimePoint> m_idleSince;
  std::set<JobId> m_reported;
  Duration m_longestWait = Duration::zero();
};

} // namespace lycheestep

#endif
