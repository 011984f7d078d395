#include "job_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "job_effects.h"
#include "placement.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// Rows of jobs in one commit, and their bytes; the leader's own row and the
// encoding of the store come on top.
constexpr std::size_t kRowsPerCommit = 60;
constexpr std::size_t kBytesPerCommit = 500000;

// Jobs whose rows are removed in one commit.
constexpr std::size_t kRemovalsPerCommit = 10;

// Commits and placements are bundled over this time.
constexpr Duration kCommitGap = std::chrono::milliseconds(8);
constexpr Duration kPlacementGap = std::chrono::milliseconds(8);

// Placements are looked at anew after this even if nothing has changed, for
// permissions and pauses that have run out.
constexpr Duration kPlacementPeriod = std::chrono::milliseconds(50);

// A permission has to last this long when a task is placed, and when its
// start is sent.
constexpr Duration kPermissionAtPlacement = std::chrono::milliseconds(200);
constexpr Duration kPermissionAtSend = std::chrono::milliseconds(60);

// Clocks of hosts differ and jump, so a job is never taken for older.
constexpr WallTime kLongestAge = std::chrono::minutes(10);

// A task whose start was malformed is not tried again sooner.
constexpr Duration kMalformedPause = std::chrono::seconds(2);

// A run that does not get on for this long stands still. Members of a gang
// wait for each other for less.
constexpr Duration kStallTime = std::chrono::milliseconds(4500);
constexpr std::uint32_t kAllDone = 100;

// Targets that the advisor is asked about, on average, for one step.
constexpr std::int64_t kNamesPerStep = 30;

Duration AdviceTime(const QueueConfig& aQueue)
{
  const AdviceTerms& terms = aQueue.m_advice;
  return terms.m_required ? terms.m_perCall + terms.m_perTarget * kNamesPerStep
                          : Duration::zero();
}

} // namespace

JobScheduler::JobScheduler(const JobSchedulerSettings& aSettings,
                           JobEffects& aEffects)
  : m_settings(aSettings)
  , m_effects(aEffects)
  , m_keeper(aSettings.m_targets, aEffects, *this)
  , m_advice(aEffects, m_keeper)
{
}

void JobScheduler::SetConfig(const ClusterConfig& aConfig)
{
  if (aConfig.m_version <= m_config.m_version) {
    return;
  }
  m_config = aConfig;
  for (auto& [id, job] : m_jobs) {
    UpdateTerms(job);
  }
  m_placementDue = true;
}

void JobScheduler::UpdateTerms(Job& aJob) const
{
  for (const QueueConfig& queue : m_config.m_queues) {
    if (queue.m_name == aJob.m_terms.m_name) {
      aJob.m_terms = queue;
    }
  }
}

void JobScheduler::OnJob(const JobId& aJob,
                         const StoredJob& aStored,
                         TimePoint aNow)
{
  const auto [found, isNew] = m_jobs.try_emplace(aJob);
  if (!isNew) {
    return;
  }
  Job& job = found->second;
  job.m_id = aJob;
  job.m_terms = aStored.m_terms;
  job.m_spec = aStored.m_spec;
  const WallTime age =
    std::clamp(m_wallNow - aStored.m_acceptedAt, WallTime(0), kLongestAge);
  job.m_acceptedAt = aNow - age;
  UpdateTerms(job);
  if (job.m_spec.m_occurrences == 0) {
    job.m_occurrences[0] = MakeOccurrence(job.m_spec);
    job.m_chain = RemainingChain(job.m_spec, job.m_occurrences[0]) +
                  AdviceTime(job.m_terms);
  } else {
    job.m_chain = RemainingChain(job.m_spec, MakeOccurrence(job.m_spec)) +
                  AdviceTime(job.m_terms);
    m_timed.insert(aJob);
  }
  RefreshReady(job);
  if (m_earlyCancels.erase(aJob) > 0) {
    OnCancel(aJob, aNow);
  }
}

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
  job.m_occurrencesDone = aProgress.m_occurrencesDone;
  for (const StoredTask& stored : aProgress.m_tasks) {
    const StepName& step = stored.m_name.m_step;
    const bool known =
      step.m_step < job.m_spec.m_steps.size() &&
      stored.m_name.m_index < job.m_spec.m_steps[step.m_step].m_count;
    if (!known) {
      m_effects.Log("progress-malformed", "job=" + aJob.Text());
      continue;
    }
    const auto [occurrence, isNew] =
      job.m_occurrences.try_emplace(step.m_occurrence);
    if (isNew) {
      occurrence->second = MakeOccurrence(job.m_spec);
    }
    StepProgress& progress = occurrence->second.m_steps[step.m_step];
    JobTask& task = progress.m_tasks[stored.m_name.m_index];
    task = stored.m_task;
    task.m_stored = true;
    progress.m_lastRun = std::max(progress.m_lastRun, task.m_run);
    progress.m_gangFailures =
      std::max(progress.m_gangFailures, task.m_failures);
    progress.m_done += task.m_state == TaskState::kDone ? 1 : 0;
    if (task.m_state == TaskState::kDispatched) {
      ++progress.m_dispatched;
      m_keeper.Expect(task.m_target,
                      RunName{ stored.m_name, task.m_run },
                      DemandOf(job.m_spec.m_steps[step.m_step]));
    }
  }
  if (job.IsOver()) {
    StopAllRuns(job, aNow);
    m_over[aJob] = aNow + m_settings.m_retention;
  }
  RefreshReady(job);
}

void JobScheduler::OnCancel(const JobId& aJob, TimePoint aNow)
{
  const auto found = m_jobs.find(aJob);
  if (found == m_jobs.end()) {
    m_earlyCancels.insert(aJob);
    return;
  }
  if (!found->second.IsOver()) {
    EndJob(found->second, JobState::kCancelled, aNow);
  }
}

void JobScheduler::OnTargetRecord(const TargetRecord& aRecord, TimePoint aNow)
{
  m_keeper.OnRecord(aRecord, aNow);
  m_placementDue = true;
}

void JobScheduler::OnTargetGone(const TargetId& aTarget, TimePoint aNow)
{
  m_keeper.OnGone(aTarget, aNow);
}

void JobScheduler::OnStartAnswer(const StartOrder& aOrder,
                                 const OrderAnswer& aAnswer,
                                 TimePoint aNow)
{
  if (aAnswer.m_status != OrderStatus::kDone) {
    m_effects.Log("start-refused",
                  "task=" + TaskText(aOrder.m_run.m_task) +
                    " run=" + std::to_string(aOrder.m_run.m_run) +
                    " target=" + aOrder.m_to.m_target.Text() +
                    " status=" + ToString(aAnswer.m_status));
  } else {
    NoteStarted(aOrder.m_run, aNow);
  }
  m_keeper.OnStartAnswer(aOrder, aAnswer, aNow);
}

void JobScheduler::OnStopAnswer(const StopOrder& aOrder,
                                const OrderAnswer& aAnswer,
                                TimePoint aNow)
{
  m_keeper.OnStopAnswer(aOrder, aAnswer, aNow);
}

void JobScheduler::OnHoldAnswer(const HoldOrder& aOrder,
                                HoldPath aPath,
                                const HoldAnswer& aAnswer,
                                TimePoint aNow)
{
  m_keeper.OnHoldAnswer(aOrder, aPath, aAnswer, aNow);
}

void JobScheduler::OnAdvice(const AdviceAnswer& aAnswer, TimePoint aNow)
{
  m_advice.OnAnswer(aAnswer, aNow);
  m_placementDue = true;
}

void JobScheduler::OnCommitted(FencingToken aFence,
                               Duration aStoreClock,
                               TimePoint aNow)
{
  m_committing = false;
  m_storeClock = aStoreClock;
  m_keeper.SetFence(aFence);
  m_keeper.NoteCommitDone();
  SendStarts(aNow);
}

void JobScheduler::SetTime(TimePoint aNow, WallTime aWallNow)
{
  m_now = aNow;
  m_wallNow = aWallNow;
}

void JobScheduler::Step(TimePoint aNow)
{
  m_keeper.Tick(aNow);
  for (auto it = m_timed.begin(); it != m_timed.end();) {
    Job& job = m_jobs.at(*it);
    OpenOccurrences(job, m_wallNow);
    const bool allOpen =
      job.IsOver() || job.m_nextOccurrence >= job.m_spec.m_occurrences;
    it = allOpen ? m_timed.erase(it) : std::next(it);
  }
  const Duration sincePlacement = aNow - m_lastPlacement;
  if ((m_placementDue && sincePlacement >= kPlacementGap) ||
      sincePlacement >= kPlacementPeriod) {
    PlaceAll(aNow);
  }
  CommitIfDue(aNow);
}

PendingCounts JobScheduler::Pending() const
{
  PendingCounts counts;
  for (const auto& [id, job] : m_jobs) {
    if (job.m_state == JobState::kQueued) {
      ++counts[job.m_terms.m_name];
    }
  }
  return counts;
}

const Job* JobScheduler::Find(const JobId& aJob) const
{
  const auto found = m_jobs.find(aJob);
  return found != m_jobs.end() ? &found->second : nullptr;
}

void JobScheduler::OnRunSeen(const TargetId& aTarget,
                             const RunningTask& aTask,
                             TimePoint aNow)
{
  TaskRef ref = FindTask(aTask.m_run.m_task);
  const bool current = ref.m_task != nullptr &&
                       ref.m_task->m_run == aTask.m_run.m_run &&
                       ref.m_task->m_target == aTarget;
  if (!current || ref.m_task->m_state != TaskState::kDispatched) {
    return;
  }
  NoteStarted(aTask.m_run, aNow);
  KeepCheckpoint(ref, aTask.m_checkpoint);
  WatchProgress(aTarget, aTask, ref, aNow);
}

// A task that stands still on a target is tried on another one.
void JobScheduler::WatchProgress(const TargetId& aTarget,
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
                       aRunning.m_percentDone < kAllDone &&
                       aNow - task.m_progressAt > kStallTime;
  if (!stalled) {
    return;
  }
  m_effects.Log("run-stalled",
                "task=" + TaskText(aRunning.m_run.m_task) +
                  " run=" + std::to_string(aRunning.m_run.m_run) +
                  " target=" + aTarget.Text() +
                  " percent=" + std::to_string(task.m_percent));
  task.m_progressAt = aNow;
  m_keeper.Rest(aTarget, aNow);
  m_keeper.Stop(aTarget, aRunning.m_run, aNow);
}

void JobScheduler::KeepCheckpoint(TaskRef& aRef, const std::string& aCheckpoint)
{
  if (aCheckpoint.empty() || aCheckpoint == aRef.m_task->m_checkpoint) {
    return;
  }
  aRef.m_task->m_checkpoint = aCheckpoint;
  if (aRef.m_step->m_gang) {
    // Any member's checkpoint is good for all, and all must carry the same.
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
  m_effects.Log(
    "run-ended",
    "task=" + TaskText(name) + " run=" + std::to_string(aTask.m_run.m_run) +
      " target=" + aTarget.Text() + " end=" + ToString(aTask.m_end));
  TaskRef ref = FindTask(name);
  if (ref.m_task == nullptr || ref.m_job->IsOver() ||
      ref.m_task->m_state == TaskState::kDone) {
    return; // nobody needs it any more
  }
  MarkBegun(ref.m_job->m_id);
  const bool newest = ref.m_task->m_run == aTask.m_run.m_run;
  if (newest) {
    KeepCheckpoint(ref, aTask.m_checkpoint);
  }
  if (aTask.m_end == RunEnd::kDone && !ref.m_step->m_longRunning) {
    m_keeper.NoteTaskDone(aTarget);
    if (!newest) {
      // The work is done, though this run had been given up.
      StopNewerRuns(ref, name);
    }
    FinishTask(ref, name);
    return;
  }
  if (!newest) {
    return;
  }
  if (ref.m_task->m_state != TaskState::kDispatched) {
    return; // given up before, and counted then
  }
  if (aTask.m_end == RunEnd::kFailed) {
    m_keeper.NoteTaskFailed(aTarget, aNow);
    FailTask(ref, name);
    return;
  }
  ReturnTask(ref, name);
}

void JobScheduler::OnRunOver(const TargetId& aTarget,
                             const RunName& aRun,
                             OrderStatus aStatus)
{
  m_placementDue = true;
  m_effects.Log("run-over",
                "task=" + TaskText(aRun.m_task) +
                  " run=" + std::to_string(aRun.m_run) +
                  " target=" + aTarget.Text() + " status=" + ToString(aStatus));
  TaskRef ref = FindTask(aRun.m_task);
  if (ref.m_task == nullptr || ref.m_job->IsOver() ||
      ref.m_task->m_run != aRun.m_run ||
      ref.m_task->m_state != TaskState::kDispatched) {
    return;
  }
  if (aStatus == OrderStatus::kTicketRefused) {
    m_advice.Drop(aRun.m_task.m_step, aTarget);
  }
  if (aStatus == OrderStatus::kMalformed) {
    ref.m_task->m_notBefore = m_now + kMalformedPause;
  }
  ReturnTask(ref, aRun.m_task);
}

Resources JobScheduler::DemandOf(const JobStep& aStep)
{
  Resources demand = aStep.m_demand;
  if (aStep.m_fillsIdle) {
    demand.Set(ResourceKind::kProcessors, 0); // it takes what others leave
  }
  return demand;
}

JobScheduler::TaskRef JobScheduler::FindTask(const TaskName& aName)
{
  TaskRef ref;
  const auto job = m_jobs.find(aName.m_step.m_job);
  if (job == m_jobs.end()) {
    return ref;
  }
  const auto occurrence =
    job->second.m_occurrences.find(aName.m_step.m_occurrence);
  if (occurrence == job->second.m_occurrences.end()) {
    return ref;
  }
  std::vector<StepProgress>& steps = occurrence->second.m_steps;
  if (aName.m_step.m_step >= steps.size()) {
    return ref;
  }
  StepProgress& progress = steps[aName.m_step.m_step];
  if (aName.m_index >= progress.m_tasks.size()) {
    return ref;
  }
  ref.m_job = &job->second;
  ref.m_step = &job->second.m_spec.m_steps[aName.m_step.m_step];
  ref.m_progress = &progress;
  ref.m_task = &progress.m_tasks[aName.m_index];
  return ref;
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
  MarkBegun(aRun.m_task.m_step.m_job);
  if (!ref.m_task->m_seenRunning) {
    ref.m_task->m_seenRunning = true;
    ref.m_task->m_startedAt = aNow;
    ref.m_task->m_percent = 0;
    ref.m_task->m_progressAt = TimePoint();
  }
}

// A job has begun when a target has it, not when it was sent there. That is
// stored with the next change.
void JobScheduler::MarkBegun(const JobId& aJob)
{
  const auto job = m_jobs.find(aJob);
  if (job != m_jobs.end() && job->second.m_state == JobState::kQueued) {
    job->second.m_state = JobState::kRunning;
  }
}

void JobScheduler::MarkChanged(Job& aJob)
{
  m_changed.insert(aJob.m_id);
}

void JobScheduler::RefreshReady(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    Duration remaining = Duration::zero();
    bool remainingKnown = false;
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepName name{ aJob.m_id, number, s };
      StepProgress& progress = occurrence.m_steps[s];
      const bool gangHeldUp =
        aJob.m_spec.m_steps[s].m_gang && progress.m_dispatched > 0;
      const bool isReady = !aJob.IsOver() && progress.AnyWaiting() &&
                           !gangHeldUp &&
                           PredecessorsDone(aJob.m_spec, occurrence, s);
      if (!isReady) {
        m_ready.erase(name);
        continue;
      }
      if (!remainingKnown) {
        remaining = RemainingChain(aJob.m_spec, occurrence);
        remainingKnown = true;
      }
      ReadyStep& ready = m_ready[name];
      ready.m_name = name;
      ready.m_job = &aJob;
      ready.m_step = &aJob.m_spec.m_steps[s];
      ready.m_progress = &progress;
      ready.m_due = DueAt(aJob, number);
      ready.m_remaining = remaining;
    }
  }
  m_placementDue = true;
}

void JobScheduler::OpenOccurrences(Job& aJob, WallTime aWallNow)
{
  const JobSpec& spec = aJob.m_spec;
  aJob.m_nextOccurrence =
    std::max(aJob.m_nextOccurrence, aJob.m_occurrencesDone);
  bool opened = false;
  while (!aJob.IsOver() && aJob.m_nextOccurrence < spec.m_occurrences &&
         spec.m_firstDue + spec.m_interval * aJob.m_nextOccurrence <=
           aWallNow) {
    const auto [occurrence, isNew] =
      aJob.m_occurrences.try_emplace(aJob.m_nextOccurrence);
    if (isNew) {
      occurrence->second = MakeOccurrence(spec);
    }
    ++aJob.m_nextOccurrence;
    opened = true;
  }
  if (opened) {
    RefreshReady(aJob);
  }
}

TimePoint JobScheduler::DueAt(const Job& aJob, std::uint32_t aOccurrence) const
{
  if (aJob.m_spec.m_occurrences == 0) {
    return aJob.m_acceptedAt;
  }
  const WallTime due =
    aJob.m_spec.m_firstDue + aJob.m_spec.m_interval * aOccurrence;
  return m_now - (m_wallNow - due);
}

void JobScheduler::FinishTask(TaskRef& aRef, const TaskName& aName)
{
  StepProgress& progress = *aRef.m_progress;
  const auto finish = [&progress](JobTask& aTask) {
    if (aTask.m_state == TaskState::kDone) {
      return;
    }
    progress.m_dispatched -= aTask.m_state == TaskState::kDispatched ? 1 : 0;
    aTask.m_state = TaskState::kDone;
    ++progress.m_done;
  };
  if (aRef.m_step->m_gang) {
    // One member's end stands for all of them.
    std::for_each(progress.m_tasks.begin(), progress.m_tasks.end(), finish);
  } else {
    finish(*aRef.m_task);
  }
  if (progress.IsDone()) {
    m_advice.Forget(aName.m_step.m_job);
  }
  MarkChanged(*aRef.m_job);
  CheckJobDone(*aRef.m_job);
  RefreshReady(*aRef.m_job);
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
  ReturnTask(aRef, aName);
  if (!aRef.m_step->m_longRunning && failures >= job.m_terms.m_maxAttempts) {
    EndJob(job, JobState::kFailed, m_now);
  }
}

void JobScheduler::ReturnTask(TaskRef& aRef, const TaskName& aName)
{
  aRef.m_task->m_state = TaskState::kWaiting;
  aRef.m_task->m_stored = false;
  aRef.m_task->m_seenRunning = false;
  --aRef.m_progress->m_dispatched;
  if (aRef.m_step->m_gang) {
    StopGang(aName.m_step, aRef);
  }
  MarkChanged(*aRef.m_job);
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
  --aProgress.m_dispatched;
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
  m_effects.Log(
    "job-ended",
    "job=" + aJob.m_id.Text() +
      " state=" + std::to_string(static_cast<int>(aState)) + " after_ms=" +
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                       aNow - aJob.m_acceptedAt)
                       .count()));
  StopAllRuns(aJob, aNow);
  m_advice.Forget(aJob.m_id);
  m_over[aJob.m_id] = aNow + m_settings.m_retention;
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

std::vector<JobScheduler::ReadyStep*> JobScheduler::RankReady(TimePoint aNow)
{
  std::vector<ReadyStep*> steps;
  steps.reserve(m_ready.size());
  for (auto& [name, step] : m_ready) {
    const Job& job = *step.m_job;
    step.m_rank =
      RankOf(job.m_terms, job.m_chain, step.m_remaining, step.m_due, aNow);
    steps.push_back(&step);
  }
  std::stable_sort(steps.begin(),
                   steps.end(),
                   [](const ReadyStep* aLeft, const ReadyStep* aRight) {
                     return aLeft->m_rank < aRight->m_rank;
                   });
  return steps;
}

void JobScheduler::PlaceAll(TimePoint aNow)
{
  m_placementDue = false;
  m_lastPlacement = aNow;
  for (const ReadyStep* step : RankReady(aNow)) {
    const bool adviceNeeded = step->m_job->m_terms.m_advice.m_required;
    const bool hopeful =
      !adviceNeeded || m_effects.CanAsk() ||
      m_advice.HasPermission(step->m_name, aNow + kPermissionAtPlacement);
    if (hopeful) {
      // A copy, as a step that is placed whole is ready no longer.
      PlaceStep(ReadyStep(*step), aNow);
    }
  }
}

void JobScheduler::PlaceStep(const ReadyStep& aStep, TimePoint aNow)
{
  std::vector<PlacementCandidate> candidates = Candidates(aStep, aNow);
  const std::size_t missing = aStep.m_step->m_gang
                                ? PlaceGang(aStep, candidates)
                                : PlaceTasks(aStep, candidates, aNow);
  const Job& job = *aStep.m_job;
  if (missing > 0 && job.m_terms.m_advice.m_required) {
    m_advice.Ask(job, aStep.m_name, missing, aNow);
  }
}

std::vector<PlacementCandidate> JobScheduler::Candidates(const ReadyStep& aStep,
                                                         TimePoint aNow)
{
  std::vector<PlacementCandidate> candidates;
  const auto add = [&](const TargetState& aTarget) {
    AddCandidate(aStep, aTarget, aNow, candidates);
  };
  if (aStep.m_job->m_terms.m_advice.m_required) {
    m_advice.ForEachPermitted(aStep.m_name, aNow + kPermissionAtPlacement, add);
  } else {
    for (const auto& [id, target] : m_keeper.Targets()) {
      add(target);
    }
  }
  return candidates;
}

void JobScheduler::AddCandidate(const ReadyStep& aStep,
                                const TargetState& aTarget,
                                TimePoint aNow,
                                std::vector<PlacementCandidate>& aCandidates)
{
  const JobStep& step = *aStep.m_step;
  const bool usable =
    aTarget.TakesWork(aNow) &&
    aTarget.m_record.m_service == aStep.m_job->m_terms.m_service &&
    DemandOf(step).FitsIn(aTarget.Free()) && LabelsAllow(step, aTarget) &&
    !DisturbsOthers(step, aTarget);
  if (!usable) {
    return;
  }
  PlacementCandidate candidate;
  candidate.m_target = &aTarget;
  candidate.m_free = aTarget.Free();
  candidate.m_tasksLeft = TasksAllowed(aStep.m_name, step, aTarget);
  candidate.m_nearData = step.m_dataRack.empty() ||
                         step.m_dataRack == aTarget.m_record.m_rack.Text();
  aCandidates.push_back(candidate);
}

// Work that fills idle time slows work that serves users, by amounts that
// change within seconds, so the two never share a target.
bool JobScheduler::DisturbsOthers(const JobStep& aStep,
                                  const TargetState& aTarget)
{
  const bool serves = aStep.m_responseTarget > Duration::zero();
  if (!serves && !aStep.m_fillsIdle) {
    return false;
  }
  return std::any_of(
    aTarget.m_runs.begin(), aTarget.m_runs.end(), [&](const auto& aRun) {
      const TaskRef ref = FindTask(aRun.first.m_task);
      if (ref.m_step == nullptr) {
        return true; // nothing is known of it
      }
      return serves ? ref.m_step->m_fillsIdle
                    : ref.m_step->m_responseTarget > Duration::zero();
    });
}

std::uint32_t JobScheduler::TasksAllowed(const StepName& aName,
                                         const JobStep& aStep,
                                         const TargetState& aTarget)
{
  if (aStep.m_maxPerTarget == 0) {
    return aStep.m_count;
  }
  std::uint32_t there = 0;
  auto run = aTarget.m_runs.lower_bound(RunName{ TaskName{ aName, 0 }, 0 });
  while (run != aTarget.m_runs.end() && run->first.m_task.m_step == aName) {
    ++there;
    ++run;
  }
  return aStep.m_maxPerTarget - std::min(there, aStep.m_maxPerTarget);
}

std::size_t JobScheduler::PlaceTasks(
  const ReadyStep& aStep,
  std::vector<PlacementCandidate>& aCandidates,
  TimePoint aNow)
{
  const JobStep& step = *aStep.m_step;
  StepProgress& progress = *aStep.m_progress;
  const Resources demand = DemandOf(step);
  std::size_t missing = 0;
  for (std::uint32_t i = 0; i < progress.m_tasks.size(); ++i) {
    JobTask& task = progress.m_tasks[i];
    if (task.m_state != TaskState::kWaiting || task.m_notBefore > aNow) {
      continue;
    }
    const TargetId avoid = task.m_failures > 0 ? task.m_target : TargetId();
    const auto chosen = ChooseTarget(aCandidates, demand, avoid);
    if (!chosen) {
      ++missing;
      continue;
    }
    Dispatch(aStep,
             i,
             task.m_run + 1,
             aCandidates[*chosen].m_target->m_record.m_target);
  }
  if (!progress.AnyWaiting()) {
    m_ready.erase(aStep.m_name);
  }
  return missing;
}

std::size_t JobScheduler::PlaceGang(
  const ReadyStep& aStep,
  const std::vector<PlacementCandidate>& aCandidates)
{
  const JobStep& step = *aStep.m_step;
  StepProgress& progress = *aStep.m_progress;
  // Away from where it failed, if there is room for it elsewhere.
  std::vector<PlacementCandidate> others;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(others),
               [&progress](const PlacementCandidate& aCandidate) {
                 return progress.m_failedOn.count(
                          aCandidate.m_target->m_record.m_target) == 0;
               });
  const std::vector<PlacementCandidate>* from = &others;
  auto chosen =
    ChooseGang(others, DemandOf(step), step.m_count, step.m_sameRack);
  if (!chosen && others.size() < aCandidates.size()) {
    from = &aCandidates;
    chosen =
      ChooseGang(aCandidates, DemandOf(step), step.m_count, step.m_sameRack);
  }
  if (!chosen) {
    return step.m_count;
  }
  const std::uint32_t run = progress.m_lastRun + 1;
  for (std::uint32_t i = 0; i < step.m_count; ++i) {
    Dispatch(aStep, i, run, (*from)[(*chosen)[i]].m_target->m_record.m_target);
  }
  m_ready.erase(aStep.m_name);
  return 0;
}

void JobScheduler::Dispatch(const ReadyStep& aStep,
                            std::uint32_t aIndex,
                            std::uint32_t aRun,
                            const TargetId& aTarget)
{
  const JobStep& step = *aStep.m_step;
  StepProgress& progress = *aStep.m_progress;
  JobTask& task = progress.m_tasks[aIndex];
  task.m_state = TaskState::kDispatched;
  task.m_run = aRun;
  task.m_target = aTarget;
  task.m_stored = false;
  task.m_seenRunning = false;
  ++progress.m_dispatched;
  progress.m_lastRun = std::max(progress.m_lastRun, aRun);
  const RunName run{ TaskName{ aStep.m_name, aIndex }, aRun };
  m_keeper.Reserve(aTarget, run, DemandOf(step));
  m_placed.push_back(run);
  MarkChanged(*aStep.m_job);
}

void JobScheduler::SendStarts(TimePoint aNow)
{
  std::vector<RunName> storing;
  storing.swap(m_storing);
  std::sort(storing.begin(), storing.end());
  auto run = storing.begin();
  while (run != storing.end()) {
    const StepName step = run->m_task.m_step;
    const auto end =
      std::find_if(run, storing.end(), [&step](const RunName& aRun) {
        return !(aRun.m_task.m_step == step);
      });
    SendStepStarts(std::vector<RunName>(run, end), aNow);
    run = end;
  }
}

void JobScheduler::SendStepStarts(const std::vector<RunName>& aRuns,
                                  TimePoint aNow)
{
  std::vector<RunName> current;
  for (const RunName& run : aRuns) {
    const TaskRef ref = FindTask(run.m_task);
    const bool wanted = ref.m_task != nullptr && !ref.m_job->IsOver() &&
                        ref.m_task->m_state == TaskState::kDispatched &&
                        ref.m_task->m_run == run.m_run;
    if (wanted) {
      current.push_back(run);
    }
  }
  if (current.empty()) {
    return;
  }
  const TaskRef first = FindTask(current.front().m_task);
  const bool gang = first.m_step->m_gang;
  const bool allFit =
    std::all_of(current.begin(), current.end(), [&](const RunName& aRun) {
      return CanSend(aRun, aNow);
    });
  if (gang && !allFit) {
    TaskRef ref = FindTask(current.front().m_task);
    StopGang(current.front().m_task.m_step, ref);
    MarkChanged(*ref.m_job);
    RefreshReady(*ref.m_job);
    return;
  }
  for (const RunName& run : current) {
    SendStart(run, aNow);
  }
}

bool JobScheduler::CanSend(const RunName& aRun, TimePoint aNow)
{
  const TaskRef ref = FindTask(aRun.m_task);
  const TargetState* target = m_keeper.Find(ref.m_task->m_target);
  if (target == nullptr || !target->TakesWork(aNow)) {
    return false;
  }
  return !ref.m_job->m_terms.m_advice.m_required ||
         !m_advice
            .PermissionFor(
              aRun.m_task.m_step, *target, aNow + kPermissionAtSend)
            .empty();
}

void JobScheduler::SendStart(const RunName& aRun, TimePoint aNow)
{
  TaskRef ref = FindTask(aRun.m_task);
  const TargetId target = ref.m_task->m_target;
  if (!CanSend(aRun, aNow)) {
    m_keeper.CancelReservation(target, aRun);
    ReturnTask(ref, aRun.m_task);
    return;
  }
  const std::string permission =
    ref.m_job->m_terms.m_advice.m_required
      ? m_advice.PermissionFor(
          aRun.m_task.m_step, *m_keeper.Find(target), aNow + kPermissionAtSend)
      : std::string();
  ref.m_task->m_stored = true;
  const bool sent = m_keeper.Send(target,
                                  aRun,
                                  ref.m_job->m_spec.m_payload,
                                  ref.m_task->m_checkpoint,
                                  permission,
                                  aNow);
  m_effects.Log(sent ? "run-sent" : "run-held-back",
                "task=" + TaskText(aRun.m_task) + " run=" +
                  std::to_string(aRun.m_run) + " target=" + target.Text());
  if (!sent) {
    ReturnTask(ref, aRun.m_task);
  }
}

void JobScheduler::CommitIfDue(TimePoint aNow)
{
  if (m_committing || aNow - m_lastCommitAt < kCommitGap) {
    return;
  }
  if (m_changed.empty() && m_keeper.HasUnstoredEnds()) {
    // These ends change nothing that is kept.
    m_keeper.NoteCommitBegun();
    m_keeper.NoteCommitDone();
  }
  std::vector<RowKey> removals;
  removals.swap(m_removals);
  RemoveOldRows(aNow, removals);
  if (m_changed.empty() && removals.empty() && !m_keeper.WantsFence()) {
    return;
  }
  std::vector<RowWrite> writes;
  std::size_t bytes = 0;
  std::set<JobId> stored;
  while (!m_changed.empty() && writes.size() < kRowsPerCommit &&
         bytes < kBytesPerCommit) {
    const JobId id = *m_changed.begin();
    m_changed.erase(m_changed.begin());
    stored.insert(id);
    writes.push_back(
      RowWrite{ ProgressKey(id), EncodeProgress(m_jobs.at(id), m_storeClock) });
    bytes += writes.back().m_value.size();
  }
  if (m_changed.empty()) {
    m_keeper.NoteCommitBegun();
  }
  const auto isStored = [&stored](const RunName& aRun) {
    return stored.count(aRun.m_task.m_step.m_job) > 0;
  };
  const auto later =
    std::stable_partition(m_placed.begin(), m_placed.end(), isStored);
  m_storing.assign(m_placed.begin(), later);
  m_placed.erase(m_placed.begin(), later);
  m_committing = true;
  m_lastCommitAt = aNow;
  m_effects.Commit(std::move(writes), std::move(removals));
}

void JobScheduler::RemoveOldRows(TimePoint aNow, std::vector<RowKey>& aRemovals)
{
  std::size_t jobs = 0;
  for (auto it = m_over.begin();
       it != m_over.end() && jobs < kRemovalsPerCommit;) {
    if (it->second > aNow || m_changed.count(it->first) > 0) {
      ++it;
      continue;
    }
    aRemovals.push_back(JobKey(it->first));
    aRemovals.push_back(ProgressKey(it->first));
    aRemovals.push_back(CancelKey(it->first));
    m_jobs.erase(it->first);
    it = m_over.erase(it);
    ++jobs;
  }
}

} // namespace lycheestep
