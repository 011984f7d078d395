#include "job.h"

#include <algorithm>

namespace lycheestep {

bool JobTask::IsNewestRun(std::uint32_t aRun, const TargetId& aTarget) const
{
  return aRun == m_run && aTarget == m_target;
}

bool JobTask::IsOwnRun(std::uint32_t aRun, const TargetId& aTarget) const
{
  const auto isRun = [&](const GivenUpRun& aGivenUp) {
    return aGivenUp.m_run == aRun && aGivenUp.m_target == aTarget;
  };
  return IsNewestRun(aRun, aTarget) ||
         std::any_of(m_givenUp.begin(), m_givenUp.end(), isRun);
}

std::uint32_t Job::CountDispatched() const
{
  std::uint32_t count = 0;
  for (const auto& [number, occurrence] : m_occurrences) {
    for (const StepProgress& step : occurrence.m_steps) {
      count += step.m_dispatched;
    }
  }
  return count;
}

std::uint64_t CountTasks(const JobSpec& aSpec)
{
  std::uint64_t tasks = 0;
  for (const JobStep& step : aSpec.m_steps) {
    tasks += step.m_count;
  }
  return tasks;
}

JobOccurrence MakeOccurrence(const JobSpec& aSpec)
{
  JobOccurrence occurrence;
  for (const JobStep& step : aSpec.m_steps) {
    StepProgress progress;
    progress.m_tasks.resize(step.m_count);
    occurrence.m_steps.push_back(std::move(progress));
  }
  return occurrence;
}

bool PredecessorsDone(const JobSpec& aSpec,
                      const JobOccurrence& aOccurrence,
                      std::uint32_t aStep)
{
  const std::vector<std::uint32_t>& after = aSpec.m_steps[aStep].m_after;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
    return aOccurrence.m_steps[aEarlier].IsDone();
  });
}

Duration RemainingCriticalPath(const JobSpec& aSpec,
                               const JobOccurrence& aOccurrence)
{
  std::vector<Duration> ends(aSpec.m_steps.size(), Duration::zero());
  Duration longest = Duration::zero();
  for (std::size_t i = 0; i < aSpec.m_steps.size(); ++i) {
    const JobStep& step = aSpec.m_steps[i];
    Duration start = Duration::zero();
    for (const std::uint32_t earlier : step.m_after) {
      start = std::max(start, ends[earlier]);
    }
    const bool done = aOccurrence.m_steps[i].IsDone();
    ends[i] = start + (done ? Duration::zero() : step.m_estimate);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

bool IsWellFormed(const JobSpec& aSpec)
{
  if (aSpec.m_steps.empty()) {
    return false;
  }
  for (std::size_t i = 0; i < aSpec.m_steps.size(); ++i) {
    const JobStep& step = aSpec.m_steps[i];
    const bool ordered =
      std::all_of(step.m_after.begin(),
                  step.m_after.end(),
                  [i](std::uint32_t aEarlier) { return aEarlier < i; });
    if (step.m_count == 0 || !ordered) {
      return false;
    }
  }
  return true;
}

} // namespace lycheestep
