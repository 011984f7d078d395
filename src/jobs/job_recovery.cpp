// The part of JobScheduler that restores the progress which earlier leaders
// stored. A leader may have ended between two commits, so that only some of the
// rows of a change are stored.
#include <algorithm>

#include "job_effects.h"
#include "job_scheduler.h"
#include "job_segments.h"

namespace lycheestep {

namespace {

TaskLayout LayoutOf(const StoredProgress& aProgress)
{
  if (aProgress.m_segments.empty()) {
    return TaskLayout::kOneRow;
  }
  return aProgress.m_rowHasTasks ? TaskLayout::kBeingSplit
                                 : TaskLayout::kSegments;
}

} // namespace

void JobScheduler::OnProgress(const JobId& aJob,
                              const StoredProgress& aProgress,
                              TimePoint aNow)
{
  const auto found = m_jobs.find(aJob);
  if (found == m_jobs.end()) {
    return;
  }
  Job& job = found->second;
  job.m_state = aProgress.m_state;
  job.m_storedState = aProgress.m_state;
  // If the job ended longer ago than the longest lease, its runs were stopped
  // or their leases have expired. Its dispatched tasks therefore become
  // waiting, and no run is expected on a target. If a target lists such a run
  // after all, the run is handled as an unknown run and is stopped.
  job.m_endedAt = aProgress.m_endedAt;
  const Duration sinceEnd =
    std::max(Duration::zero(), StoreClock(aNow) - job.m_endedAt);
  const bool settled =
    job.IsOver() && sinceEnd > m_settings.m_targets.m_longestLease;
  job.m_occurrencesDone = aProgress.m_occurrencesDone;
  job.m_storedOccurrencesDone = aProgress.m_occurrencesDone;
  for (const auto& [segment, rows] : aProgress.m_segments) {
    job.m_segments[segment] = SegmentRows{ rows, true, false };
  }
  job.m_layout = LayoutOf(aProgress);
  if (job.m_layout != TaskLayout::kOneRow && !job.IsOver()) {
    m_segmentedJobs.insert(aJob);
  }
  for (const StoredTask& stored : aProgress.m_tasks) {
    const StepName& step = stored.m_name.m_step;
    const bool inSpec =
      step.m_occurrence < std::max(1U, job.m_spec.m_occurrences) &&
      step.m_step < job.m_spec.m_steps.size() &&
      stored.m_name.m_index < job.m_spec.m_steps[step.m_step].m_count;
    if (!inSpec) {
      m_effects.Log("progress-malformed", "job=" + aJob.Text());
      continue;
    }
    if (step.m_occurrence < job.m_occurrencesDone ||
        job.m_state == JobState::kDone) {
      continue; // the row of the task is not removed yet
    }
    const auto [occurrence, isNew] =
      job.m_occurrences.try_emplace(step.m_occurrence);
    if (isNew) {
      occurrence->second = MakeOccurrence(job.m_spec);
    }
    StepProgress& progress = occurrence->second.m_steps[step.m_step];
    JobTask& task = progress.m_tasks[stored.m_name.m_index];
    task = stored.m_task;
    task.m_dispatchStored = true;
    task.m_stored = true;
    progress.m_lastRun = std::max(progress.m_lastRun, task.m_run);
    if (job.m_spec.m_steps[step.m_step].m_gang) {
      progress.m_gangFailures =
        std::max(progress.m_gangFailures, task.m_failures);
    }
    progress.m_done += task.m_state == TaskState::kDone ? 1 : 0;
    if (task.m_state == TaskState::kDispatched && settled) {
      task.m_state = TaskState::kWaiting;
    } else if (task.m_state == TaskState::kDispatched) {
      ++progress.m_dispatched;
      m_keeper.ExpectRun(task.m_target,
                         RunName{ stored.m_name, task.m_run },
                         DemandOf(job.m_spec.m_steps[step.m_step]),
                         EstimateOf(job.m_spec.m_steps[step.m_step]));
    }
  }
  for (const auto& [step, gang] : aProgress.m_gangs) {
    RestoreGang(job, step, gang);
  }
  if (job.IsOver()) {
    LogRunsToStop(job);
    StopAllRuns(job, aNow);
    const Duration left =
      std::max(Duration::zero(), m_settings.m_retention - sinceEnd);
    m_finishedJobs.emplace(aNow + left, aJob);
  } else {
    StopIncompleteGangs(job);
    // The former leader may have ended before it stored the end of the job.
    CheckJobDone(job);
  }
  if (job.m_layout == TaskLayout::kBeingSplit) {
    ResumeSplit(job);
  }
  RefreshReady(job);
}

// A former leader ended while it stored the job's tasks in segments.
void JobScheduler::ResumeSplit(const Job& aJob)
{
  m_effects.LogNotable("job-split-resumed",
                       "job=" + aJob.m_id.Text() + " stored=" +
                         std::to_string(aJob.m_segments.size()) + " unstored=" +
                         std::to_string(UnstoredSegments(aJob).size()));
  if (!aJob.IsOver()) {
    MarkChanged(aJob);
  }
}

void JobScheduler::LogRunsToStop(const Job& aJob)
{
  const std::uint32_t runs = aJob.CountDispatched();
  if (runs > 0) {
    m_effects.LogNotable("ended-job-has-runs",
                         "job=" + aJob.m_id.Text() + " state=" +
                           std::to_string(static_cast<int>(aJob.m_state)) +
                           " runs=" + std::to_string(runs));
  }
}

// A gang may have been stored partly when the former leader ended.
void JobScheduler::RestoreGang(Job& aJob,
                               const StepName& aStep,
                               const StoredGang& aGang)
{
  const auto occurrence = aJob.m_occurrences.find(aStep.m_occurrence);
  if (occurrence == aJob.m_occurrences.end() ||
      aStep.m_step >= occurrence->second.m_steps.size() ||
      !aJob.m_spec.m_steps[aStep.m_step].m_gang) {
    return;
  }
  StepProgress& progress = occurrence->second.m_steps[aStep.m_step];
  progress.m_gangFailures = std::max(progress.m_gangFailures, aGang.m_failures);
  progress.m_failedRun = aGang.m_failedRun;
  progress.m_failedOn = aGang.m_failedOn;
  for (JobTask& member : progress.m_tasks) {
    member.m_failures = progress.m_gangFailures;
    member.m_checkpoint = aGang.m_checkpoint;
  }
  if (progress.m_done > 0 && !progress.IsDone()) {
    // A gang is done as soon as one of its members is.
    FinishGang(progress);
    MarkStepChanged(aStep);
  }
}

// The former leader stopped the runs of a gang when one member had failed or
// got lost. The stop orders are not stored.
void JobScheduler::StopIncompleteGangs(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepProgress& progress = occurrence.m_steps[s];
      const bool incomplete = aJob.m_spec.m_steps[s].m_gang &&
                              progress.m_dispatched > 0 &&
                              progress.AnyWaiting();
      if (incomplete) {
        const StepName name{ aJob.m_id, number, s };
        TaskRef ref = FindTask(TaskName{ name, 0 });
        StopGang(name, ref);
      }
    }
  }
}

} // namespace lycheestep
