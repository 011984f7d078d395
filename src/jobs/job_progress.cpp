// The progress part of JobScheduler: handles what targets report about runs.
// Tasks, steps and jobs advance, fail or are retried.
#include <algorithm>
#include <chrono>

#include "job_effects.h"
#include "job_scheduler.h"
#include "lycheestep/metrics_sink.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// The minimum delay before the retry of a task whose start order was refused as
// malformed.
constexpr Duration kMalformedRetryDelay = std::chrono::seconds(2);

// A run whose progress does not change for this long has stalled. Members of a
// gang wait for each other for a shorter time.
constexpr Duration kStallTimeout = std::chrono::milliseconds(4500);
constexpr std::uint32_t kCompletePercent = 100;

void FinishOne(JobTask& aTask, StepProgress& aProgress)
{
  if (aTask.m_state == TaskState::kDone) {
    return;
  }
  aProgress.m_dispatched -= aTask.m_state == TaskState::kDispatched ? 1 : 0;
  aTask.m_state = TaskState::kDone;
  ++aProgress.m_done;
}

} // namespace

void JobScheduler::OnRunProgress(const TargetId& aTarget,
                                 const RunningTask& aTask,
                                 TimePoint aNow)
{
  TaskRef ref = FindTask(aTask.m_run.m_task);
  const bool current = ref.m_task != nullptr &&
                       ref.m_task->IsNewestRun(aTask.m_run.m_run, aTarget);
  if (!current || ref.m_task->m_state != TaskState::kDispatched) {
    return;
  }
  NoteStarted(aTask.m_run, aNow);
  UpdateCheckpoint(ref, aTask.m_checkpoint);
  CheckForStall(aTarget, aTask, ref, aNow);
}

// Stops a run that has stalled, so that the task is retried, on another target
// if there is one.
void JobScheduler::CheckForStall(const TargetId& aTarget,
                                 const RunningTask& aRunning,
                                 TaskRef& aRef,
                                 TimePoint aNow)
{
  JobTask& task = *aRef.m_task;
  if (task.m_percent != aRunning.m_percentDone ||
      task.m_progressAt == TimePoint()) {
    task.m_percent = aRunning.m_percentDone;
    task.m_progressAt = aNow;
    return;
  }
  const bool stalled = !aRef.m_step->m_longRunning &&
                       aRunning.m_percentDone < kCompletePercent &&
                       aNow - task.m_progressAt > kStallTimeout;
  if (!stalled) {
    return;
  }
  m_effects.LogNotable("run-stalled",
                       RunFields(aRunning.m_run, aTarget) +
                         " percent=" + std::to_string(task.m_percent));
  task.m_progressAt = aNow;
  m_keeper.Quarantine().OnTaskStalled(
    aTarget, aRunning.m_run.m_task.m_step.m_job, HasDoneTasks(aRef), aNow);
  m_keeper.Stop(aTarget, aRunning.m_run, aNow);
}

void JobScheduler::UpdateCheckpoint(TaskRef& aRef,
                                    const std::string& aCheckpoint)
{
  if (aCheckpoint.empty() || aCheckpoint == aRef.m_task->m_checkpoint) {
    return;
  }
  aRef.m_task->m_checkpoint = aCheckpoint;
  if (aRef.m_step->m_gang) {
    // The checkpoint of any member is valid for all members, and all members
    // have to resume from the same one.
    for (JobTask& member : aRef.m_progress->m_tasks) {
      member.m_checkpoint = aCheckpoint;
    }
  }
}

void JobScheduler::OnRunEnded(const TargetId& aTarget,
                              const EndedTask& aTask,
                              TimePoint aNow)
{
  m_now = aNow;
  m_placementDue = true;
  const TaskName& name = aTask.m_run.m_task;
  TaskRef ref = FindTask(name);
  const bool endedWell = aTask.m_end == RunEnd::kDone &&
                         ref.m_task != nullptr && !ref.m_job->IsOver();
  LogOutcome(endedWell,
             "run-ended",
             RunFields(aTask.m_run, aTarget) + " end=" + ToString(aTask.m_end));
  if (ref.m_task == nullptr || ref.m_task->m_state == TaskState::kDone) {
    return;
  }
  if (ref.m_job->IsOver()) {
    SettleRunOfEndedJob(ref, aTarget, aTask.m_run);
    return;
  }
  if (!ref.m_task->IsOwnRun(aTask.m_run.m_run, aTarget)) {
    return; // of a former job under this id
  }
  MarkRunning(ref.m_job->m_id);
  const bool newest = ref.m_task->IsNewestRun(aTask.m_run.m_run, aTarget);
  if (newest) {
    UpdateCheckpoint(ref, aTask.m_checkpoint);
  }
  if (aTask.m_end == RunEnd::kDone && !ref.m_step->m_longRunning) {
    m_keeper.Quarantine().OnTaskDone(aTarget, ref.m_task->m_startedAt);
    if (!newest) {
      // An older run, which the leader had given up, completed the task.
      StopNewerRuns(ref, name);
    }
    FinishTask(ref, name);
    return;
  }
  if (!newest) {
    return;
  }
  if (ref.m_task->m_state != TaskState::kDispatched) {
    return; // the task was requeued when the run was given up
  }
  if (aTask.m_end == RunEnd::kFailed) {
    m_keeper.Quarantine().OnTaskFailed(
      aTarget, name.m_step.m_job, HasDoneTasks(ref), aNow);
    FailTask(ref, name);
    return;
  }
  RequeueTask(ref, name);
}

void JobScheduler::LogOutcome(bool aEndedWell,
                              const char* aEvent,
                              const std::string& aFields)
{
  if (aEndedWell) {
    m_effects.Log(aEvent, aFields);
  } else {
    m_effects.LogNotable(aEvent, aFields);
  }
}

void JobScheduler::OnRunLost(const TargetId& aTarget,
                             const RunName& aRun,
                             OrderStatus aStatus)
{
  m_placementDue = true;
  m_effects.LogNotable(
    "run-over", RunFields(aRun, aTarget) + " status=" + ToString(aStatus));
  TaskRef ref = FindTask(aRun.m_task);
  if (ref.m_task == nullptr || !ref.m_task->IsNewestRun(aRun.m_run, aTarget) ||
      ref.m_task->m_state != TaskState::kDispatched) {
    return;
  }
  if (ref.m_job->IsOver()) {
    SettleRunOfEndedJob(ref, aTarget, aRun);
    return;
  }
  if (aStatus == OrderStatus::kUnknown && !ref.m_step->m_longRunning) {
    ref.m_task->m_givenUp.push_back({ aRun.m_run, aTarget });
  }
  if (aStatus == OrderStatus::kTicketRefused) {
    m_advice.InvalidatePermission(aRun.m_task.m_step, aTarget);
  }
  if (aStatus == OrderStatus::kMalformed) {
    ref.m_task->m_notBefore = m_now + kMalformedRetryDelay;
  }
  RequeueTask(ref, aRun.m_task);
}

// The next leader stops each run that the rows name. When the last run of the
// job is over, they are stored anew, so that it has none to stop.
void JobScheduler::SettleRunOfEndedJob(TaskRef& aRef,
                                       const TargetId& aTarget,
                                       const RunName& aRun)
{
  JobTask& task = *aRef.m_task;
  const bool isExpected = task.m_state == TaskState::kDispatched &&
                          task.IsNewestRun(aRun.m_run, aTarget);
  if (!isExpected) {
    return;
  }
  task.m_state = TaskState::kWaiting;
  --aRef.m_progress->m_dispatched;
  if (aRef.m_job->CountDispatched() == 0) {
    MarkChanged(*aRef.m_job);
  }
}

void JobScheduler::NoteStarted(const RunName& aRun, TimePoint aNow)
{
  const TaskRef ref = FindTask(aRun.m_task);
  const bool current = ref.m_task != nullptr &&
                       ref.m_task->m_run == aRun.m_run &&
                       ref.m_task->m_state == TaskState::kDispatched;
  if (!current) {
    return;
  }
  MarkRunning(aRun.m_task.m_step.m_job);
  if (!ref.m_task->m_seenRunning) {
    ref.m_task->m_seenRunning = true;
    ref.m_task->m_startedAt = aNow;
    if (ref.m_task->m_placedAt != TimePoint()) {
      m_effects.Metrics().Observe(
        "lycheestep_start_seconds", "", aNow - ref.m_task->m_placedAt);
    }
    ref.m_task->m_percent = 0;
    ref.m_task->m_progressAt = TimePoint();
  }
}

// A job is running once a target has one of its runs, not once a start order
// was sent. The new state is stored with the job's next change.
void JobScheduler::MarkRunning(const JobId& aJob)
{
  const auto job = m_jobs.find(aJob);
  if (job != m_jobs.end() && job->second.m_state == JobState::kQueued) {
    job->second.m_state = JobState::kRunning;
  }
}

void JobScheduler::FinishTask(TaskRef& aRef, const TaskName& aName)
{
  StepProgress& progress = *aRef.m_progress;
  if (aRef.m_step->m_gang) {
    // A gang is done as soon as one of its members is.
    FinishGang(progress);
    MarkStepChanged(aName.m_step);
  } else {
    FinishOne(*aRef.m_task, progress);
    MarkTaskChanged(aName);
  }
  if (progress.IsDone()) {
    m_advice.RemoveJob(aName.m_step.m_job, m_now);
  }
  CheckJobDone(*aRef.m_job);
  RefreshReady(*aRef.m_job);
}

void JobScheduler::FinishGang(StepProgress& aProgress)
{
  for (JobTask& member : aProgress.m_tasks) {
    FinishOne(member, aProgress);
  }
}

void JobScheduler::FailTask(TaskRef& aRef, const TaskName& aName)
{
  Job& job = *aRef.m_job;
  StepProgress& progress = *aRef.m_progress;
  std::uint32_t failures = 0;
  if (aRef.m_step->m_gang) {
    if (progress.m_failedRun != aRef.m_task->m_run) {
      progress.m_failedRun = aRef.m_task->m_run;
      ++progress.m_gangFailures;
    }
    progress.m_failedOn.insert(aRef.m_task->m_target);
    failures = progress.m_gangFailures;
    for (JobTask& member : progress.m_tasks) {
      member.m_failures = failures;
    }
  } else {
    failures = ++aRef.m_task->m_failures;
  }
  MarkChanged(job);
  RequeueTask(aRef, aName);
  if (!aRef.m_step->m_longRunning && failures >= job.m_terms.m_maxAttempts) {
    EndJob(job, JobState::kFailed, m_now);
  }
}

void JobScheduler::RequeueTask(TaskRef& aRef, const TaskName& aName)
{
  aRef.m_task->m_state = TaskState::kWaiting;
  aRef.m_task->m_dispatchStored = false;
  aRef.m_task->m_stored = false;
  aRef.m_task->m_seenRunning = false;
  --aRef.m_progress->m_dispatched;
  if (aRef.m_step->m_gang) {
    StopGang(aName.m_step, aRef);
  }
  MarkTaskChanged(aName);
  RefreshReady(*aRef.m_job);
}

void JobScheduler::StopNewerRuns(TaskRef& aRef, const TaskName& aName)
{
  if (aRef.m_step->m_gang) {
    StopGang(aName.m_step, aRef);
  } else if (aRef.m_task->m_state == TaskState::kDispatched) {
    StopTask(aName, *aRef.m_task, *aRef.m_progress, m_now);
  }
}

void JobScheduler::StopGang(const StepName& aStep, TaskRef& aRef)
{
  std::vector<JobTask>& tasks = aRef.m_progress->m_tasks;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].m_state == TaskState::kDispatched) {
      StopTask(TaskName{ aStep, i }, tasks[i], *aRef.m_progress, m_now);
    }
  }
}

void JobScheduler::StopTask(const TaskName& aName,
                            JobTask& aTask,
                            StepProgress& aProgress,
                            TimePoint aNow)
{
  const RunName run{ aName, aTask.m_run };
  if (aTask.m_stored) {
    m_keeper.Stop(aTask.m_target, run, aNow);
    return;
  }
  m_keeper.CancelReservation(aTask.m_target, run);
  aTask.m_state = TaskState::kWaiting;
  aTask.m_dispatchStored = false;
  --aProgress.m_dispatched;
  MarkTaskChanged(aName);
}

void JobScheduler::CheckJobDone(Job& aJob)
{
  for (auto it = aJob.m_occurrences.begin(); it != aJob.m_occurrences.end();) {
    const bool done =
      std::all_of(it->second.m_steps.begin(),
                  it->second.m_steps.end(),
                  [](const StepProgress& aStep) { return aStep.IsDone(); });
    if (!done || it->first != aJob.m_occurrencesDone) {
      break;
    }
    ++aJob.m_occurrencesDone;
    MarkChanged(aJob);
    for (std::uint32_t s = 0; s < it->second.m_steps.size(); ++s) {
      m_ready.erase(StepName{ aJob.m_id, it->first, s });
    }
    it = aJob.m_occurrences.erase(it);
  }
  const std::uint32_t all = std::max(1U, aJob.m_spec.m_occurrences);
  if (aJob.m_occurrencesDone >= all) {
    EndJob(aJob, JobState::kDone, m_now);
  }
}

void JobScheduler::EndJob(Job& aJob, JobState aState, TimePoint aNow)
{
  aJob.m_state = aState;
  aJob.m_endedAt = StoreClock(aNow);
  m_segmentedJobs.erase(aJob.m_id);
  LogOutcome(aState == JobState::kDone,
             "job-ended",
             "job=" + aJob.m_id.Text() + " state=" +
               std::to_string(static_cast<int>(aState)) + " after_ms=" +
               std::to_string(ToMilliseconds(aNow - aJob.m_acceptedAt)) +
               " runs=" + std::to_string(aJob.CountDispatched()));
  StopAllRuns(aJob, aNow);
  m_advice.RemoveJob(aJob.m_id, aNow);
  m_keeper.Quarantine().OnJobOver(aJob.m_id);
  m_finishedJobs.emplace(aNow + m_settings.m_retention, aJob.m_id);
  aJob.m_spec.m_payload.clear();
  MarkChanged(aJob);
  RefreshReady(aJob);
}

void JobScheduler::StopAllRuns(Job& aJob, TimePoint aNow)
{
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      StepProgress& progress = occurrence.m_steps[s];
      for (std::uint32_t i = 0; i < progress.m_tasks.size(); ++i) {
        const TaskName name{ StepName{ aJob.m_id, number, s }, i };
        if (progress.m_tasks[i].m_state == TaskState::kDispatched) {
          StopTask(name, progress.m_tasks[i], progress, aNow);
        }
      }
    }
  }
}

void JobScheduler::RetractFromOtherServices(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      StepProgress& progress = occurrence.m_steps[s];
      for (std::uint32_t i = 0; i < progress.m_tasks.size(); ++i) {
        JobTask& task = progress.m_tasks[i];
        const TaskName name{ StepName{ aJob.m_id, number, s }, i };
        const bool misplaced = task.m_state == TaskState::kDispatched &&
                               IsOfOtherService(aJob, task.m_target);
        if (misplaced && task.m_stored) {
          m_keeper.WithdrawStart(task.m_target, RunName{ name, task.m_run });
        } else if (misplaced) {
          StopTask(name, task, progress, m_now);
        }
      }
    }
  }
  RefreshReady(aJob);
}

bool JobScheduler::IsOfOtherService(const Job& aJob,
                                    const TargetId& aTarget) const
{
  const TargetState* target = m_keeper.Find(aTarget);
  return target != nullptr &&
         !(target->m_record.m_service == aJob.m_terms.m_service);
}

} // namespace lycheestep
