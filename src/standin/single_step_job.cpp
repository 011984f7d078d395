#include "single_step_job.h"

namespace lycheestep {

JobSpec MakeSingleStepJob(std::uint32_t aTasks,
                          const Resources& aDemand,
                          Duration aEstimate)
{
  JobStep step;
  step.m_count = aTasks;
  step.m_demand = aDemand;
  step.m_estimate = aEstimate;
  JobSpec spec;
  spec.m_payload = "plan";
  spec.m_steps = { step };
  return spec;
}

RunName MakeRun(std::uint32_t aIndex)
{
  RunName run;
  run.m_task.m_step.m_job = JobId("a");
  run.m_task.m_index = aIndex;
  run.m_run = 1;
  return run;
}

} // namespace lycheestep
