#include "job_segments.h"

#include <algorithm>
#include <cstddef>

namespace lycheestep {

namespace {

bool IsStored(const Job& aJob, const SegmentName& aSegment)
{
  const auto segment = aJob.m_segments.find(aSegment);
  return segment != aJob.m_segments.end() &&
         (segment->second.m_isStored || segment->second.m_isInCommit);
}

bool AnyMustBeStored(const Job& aJob,
                     const StepProgress& aProgress,
                     std::uint32_t aNumber)
{
  const std::vector<JobTask>& tasks = aProgress.m_tasks;
  const std::size_t first = std::size_t{ aNumber } * kTasksPerSegment;
  const std::size_t end = std::min(first + kTasksPerSegment, tasks.size());
  for (std::size_t i = first; i < end; ++i) {
    if (MustBeStored(aJob, tasks[i])) {
      return true;
    }
  }
  return false;
}

} // namespace

bool HasProgress(const JobTask& aTask)
{
  return aTask.m_run > 0 || aTask.m_state != TaskState::kWaiting;
}

bool MustBeStored(const Job& aJob, const JobTask& aTask)
{
  if (aJob.m_state == JobState::kDone) {
    return false;
  }
  return aJob.IsOver() ? aTask.m_state == TaskState::kDispatched
                       : HasProgress(aTask);
}

bool IsInStoredSegment(const Job& aJob, const TaskName& aTask)
{
  return IsStored(aJob, SegmentName::Of(aTask));
}

bool MustBeStored(const Job& aJob, const SegmentName& aSegment)
{
  const auto occurrence = aJob.m_occurrences.find(aSegment.m_occurrence);
  return occurrence != aJob.m_occurrences.end() &&
         AnyMustBeStored(aJob,
                         occurrence->second.m_steps[aSegment.m_step],
                         aSegment.m_number);
}

std::vector<SegmentName> UnstoredSegments(const Job& aJob)
{
  std::vector<SegmentName> unstored;
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepProgress& progress = occurrence.m_steps[s];
      const std::size_t tasks = progress.m_tasks.size();
      for (std::uint32_t i = 0; std::size_t{ i } * kTasksPerSegment < tasks;
           ++i) {
        const SegmentName segment{ number, s, i };
        if (AnyMustBeStored(aJob, progress, i) && !IsStored(aJob, segment)) {
          unstored.push_back(segment);
        }
      }
    }
  }
  return unstored;
}

} // namespace lycheestep
