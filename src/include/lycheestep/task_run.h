#ifndef LYCHEESTEP_TASK_RUN_H
#define LYCHEESTEP_TASK_RUN_H

#include <cstdint>
#include <tuple>

#include "lycheestep/job_spec.h"

namespace lycheestep {

// One step of one occurrence of a job.
struct StepName
{
  JobId m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;

  friend bool operator<(const StepName& aLeft, const StepName& aRight)
  {
    return std::tie(aLeft.m_job, aLeft.m_occurrence, aLeft.m_step) <
           std::tie(aRight.m_job, aRight.m_occurrence, aRight.m_step);
  }
  friend bool operator==(const StepName& aLeft, const StepName& aRight)
  {
    return !(aLeft < aRight) && !(aRight < aLeft);
  }
};

// One task of a step.
struct TaskName
{
  StepName m_step;
  std::uint32_t m_index = 0;

  friend bool operator<(const TaskName& aLeft, const TaskName& aRight)
  {
    return std::tie(aLeft.m_step, aLeft.m_index) <
           std::tie(aRight.m_step, aRight.m_index);
  }
  friend bool operator==(const TaskName& aLeft, const TaskName& aRight)
  {
    return !(aLeft < aRight) && !(aRight < aLeft);
  }
};

// One try to run a task. Numbers begin at one and rise.
struct RunName
{
  TaskName m_task;
  std::uint32_t m_run = 0;

  friend bool operator<(const RunName& aLeft, const RunName& aRight)
  {
    return std::tie(aLeft.m_task, aLeft.m_run) <
           std::tie(aRight.m_task, aRight.m_run);
  }

  friend bool operator==(const RunName& aLeft, const RunName& aRight)
  {
    return !(aLeft < aRight) && !(aRight < aLeft);
  }
};

} // namespace lycheestep

#endif
