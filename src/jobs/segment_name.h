#ifndef LYCHEESTEP_SEGMENT_NAME_H
#define LYCHEESTEP_SEGMENT_NAME_H

#include <cstdint>
#include <tuple>

#include "lycheestep/task_run.h"

namespace lycheestep {

// The number of tasks in one segment.
constexpr std::uint32_t kTasksPerSegment = 32;

// Names a segment of a job: tasks of one step in one occurrence whose progress
// is stored together. Segment m_number holds the tasks from m_number *
// kTasksPerSegment on.
struct SegmentName
{
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_number = 0;

  // Returns the segment that holds the task.
  static SegmentName Of(const TaskName& aTask)
  {
    return SegmentName{ aTask.m_step.m_occurrence,
                        aTask.m_step.m_step,
                        aTask.m_index / kTasksPerSegment };
  }

  friend bool operator<(const SegmentName& aLeft, const SegmentName& aRight)
  {
    return std::tie(aLeft.m_occurrence, aLeft.m_step, aLeft.m_number) <
           std::tie(aRight.m_occurrence, aRight.m_step, aRight.m_number);
  }
};

} // namespace lycheestep

#endif
