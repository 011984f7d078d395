#ifndef LYCHEESTEP_SINGLE_STEP_JOB_H
#define LYCHEESTEP_SINGLE_STEP_JOB_H

#include <cstdint>

#include "lycheestep/job_spec.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Returns a job of one step with aTasks equal tasks, each of which works for
// aEstimate.
JobSpec MakeSingleStepJob(std::uint32_t aTasks,
                          const Resources& aDemand,
                          Duration aEstimate);

// Returns the first run of the task with this index, of a job with the id "a".
RunName MakeRun(std::uint32_t aIndex);

} // namespace lycheestep

#endif
