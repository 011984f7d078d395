#include "job_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "job_effects.h"
#include "placement.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// The minimum time between two placement rounds, and how much longer it is for
// each step that waits. The changes in between are batched. A round takes
// longer the more steps wait, and must leave time for other work.
constexpr Duration kMinPlacementInterval = std::chrono::milliseconds(8);
constexpr Duration kPlacementIntervalPerStep = std::chrono::microseconds(12);

// A placement round runs after this time even if no event called for one, as
// pauses may have ended and permissions may have expired.
constexpr Duration kMaxPlacementInterval = std::chrono::milliseconds(50);

// The estimated run time of tasks that run until their job is cancelled.
constexpr Duration kUnlimitedRunTime = std::chrono::hours(24 * 365);

// The upper bound of a job's age as computed from the wall-clock time at which
// a host accepted the job, because the clocks of hosts differ and jump.
constexpr WallTime kMaxJobAge = std::chrono::minutes(10);

// The most tasks of a job in all of its occurrences that are open at once. It
// is twice what the largest fleet runs.
constexpr std::uint64_t kMaxOpenTasks = 20000;

// The average number of targets that the advisor is asked about for one step.
constexpr std::int64_t kTargetsAskedPerStep = 30;

// Returns null if the configuration has no such queue.
const QueueConfig* FindQueueByName(const ClusterConfig& aConfig,
                                   const QueueName& aName)
{
  const auto found = std::find_if(
    aConfig.m_queues.begin(),
    aConfig.m_queues.end(),
    [&aName](const QueueConfig& aQueue) { return aQueue.m_name == aName; });
  return found != aConfig.m_queues.end() ? &*found : nullptr;
}

// Returns the estimated duration of the advisor's calls for one step of the
// queue; zero if the queue requires no advice.
Duration AdviceTime(const QueueConfig& aQueue)
{
  const AdviceTerms& terms = aQueue.m_advice;
  return terms.m_required
           ? terms.m_perCall + terms.m_perTarget * kTargetsAskedPerStep
           : Duration::zero();
}

} // namespace

JobScheduler::JobScheduler(const JobSchedulerSettings& aSettings,
                           JobEffects& aEffects)
  : m_settings(aSettings)
  , m_effects(aEffects)
  , m_keeper(aSettings.m_targets, aEffects, *this)
  , m_advice(aEffects, m_keeper)
  , m_monitor(aEffects)
  , m_maxCommitRows(kMaxCommitRows)
  , m_maxValueBytes(aSettings.m_valueBytes)
{
}

void JobScheduler::SetConfig(const ClusterConfig& aConfig)
{
  if (aConfig.m_version <= m_config.m_version) {
    return;
  }
  const ClusterConfig former = std::move(m_config);
  m_config = aConfig;
  for (auto& [id, job] : m_jobs) {
    const QueueName queue = job.m_terms.m_name;
    const ServiceName service = job.m_terms.m_service;
    const bool isConfigured = UpdateQueueConfig(job);
    if (!(job.m_terms.m_service == service) && !job.IsOver()) {
      RetractFromOtherServices(job);
    }
    if (!isConfigured && FindQueueByName(former, queue) != nullptr &&
        !job.IsOver()) {
      // The next leader no longer finds the terms in the configuration.
      m_changes.Add(JobRowName{ id, JobRowName::Kind::kJob, SegmentName() });
    }
  }
  m_placementDue = true;
}

bool JobScheduler::UpdateQueueConfig(Job& aJob) const
{
  const QueueConfig* queue = FindQueueByName(m_config, aJob.m_terms.m_name);
  if (queue != nullptr) {
    aJob.m_terms = *queue;
  }
  return queue != nullptr;
}

void JobScheduler::OnJob(const JobId& aJob,
                         const StoredJob& aStored,
                         std::uint32_t aRowParts,
                         TimePoint aNow)
{
  const ReadJob read{ aJob, aStored, aRowParts };
  if (m_jobs.count(aJob) == 0 && m_removedJobs.IsNewJob(read)) {
    AddJob(read, aNow);
  }
}

void JobScheduler::AddJob(const ReadJob& aRead, TimePoint aNow)
{
  const JobId& id = aRead.m_id;
  const StoredJob& stored = aRead.m_stored;
  m_effects.Log("job-added",
                "job=" + id.Text() +
                  " row_version=" + std::to_string(stored.m_version) +
                  " queue=" + stored.m_terms.m_name.Text() +
                  " steps=" + std::to_string(stored.m_spec.m_steps.size()) +
                  " tasks=" + std::to_string(CountTasks(stored.m_spec)));
  Job& job = m_jobs[id];
  job.m_id = id;
  job.m_terms = stored.m_terms;
  job.m_spec = stored.m_spec;
  job.m_jobRowVersion = stored.m_version;
  job.m_jobRowParts = aRead.m_parts;
  job.m_acceptedWallTime = stored.m_acceptedAt;
  const WallTime age =
    std::clamp(m_wallNow - stored.m_acceptedAt, WallTime(0), kMaxJobAge);
  job.m_acceptedAt = aNow - age;
  UpdateQueueConfig(job);
  if (job.m_spec.m_occurrences == 0) {
    job.m_occurrences[0] = MakeOccurrence(job.m_spec);
    job.m_criticalPath =
      RemainingCriticalPath(job.m_spec, job.m_occurrences[0]) +
      AdviceTime(job.m_terms);
  } else {
    job.m_criticalPath =
      RemainingCriticalPath(job.m_spec, MakeOccurrence(job.m_spec)) +
      AdviceTime(job.m_terms);
    m_recurringJobs.insert(id);
  }
  RefreshReady(job);
  const bool hasRow = m_earlyCancelRows.Take(id, job.m_jobRowVersion);
  if (m_earlyCancels.erase(id) > 0 || hasRow) {
    m_effects.LogUnlimited("cancelled-before-added", "job=" + id.Text());
    OnCancel(id, aNow);
  }
}

void JobScheduler::OnWithdrawn(const JobId& aJob,
                               Duration aSince,
                               TimePoint aNow)
{
  const Duration age = std::clamp(StoreClock(aNow) - aSince,
                                  Duration::zero(),
                                  m_settings.m_withdrawalRetention);
  m_withdrawals[aJob] = aNow + m_settings.m_withdrawalRetention - age;
}

void JobScheduler::OnUnreadableJob(const JobId& aJob)
{
  m_unreadableJobs.insert(aJob);
}

void JobScheduler::OnCancel(const JobId& aJob, TimePoint aNow)
{
  const auto found = m_jobs.find(aJob);
  if (found == m_jobs.end()) {
    const bool isNew =
      m_earlyCancels.emplace(aJob, aNow + m_settings.m_withdrawalRetention)
        .second;
    if (isNew) {
      m_effects.LogUnlimited("cancellation-without-job", "job=" + aJob.Text());
    }
    return;
  }
  if (!found->second.IsOver()) {
    EndJob(found->second, JobState::kCancelled, aNow);
  }
}

bool JobScheduler::OnCancelRow(const JobId& aJob,
                               std::uint64_t aRowVersion,
                               TimePoint aNow)
{
  const auto found = m_jobs.find(aJob);
  if (found == m_jobs.end()) {
    m_earlyCancelRows.Add(
      aJob, aRowVersion, aNow + m_settings.m_withdrawalRetention);
    return false;
  }
  // A cancellation is stored only while the row of its job is there.
  const bool isOwnRow = found->second.m_jobRowVersion < aRowVersion;
  if (!isOwnRow || found->second.IsOver()) {
    return false;
  }
  EndJob(found->second, JobState::kCancelled, aNow);
  return true;
}

bool JobScheduler::IsOver(const JobId& aJob) const
{
  const auto found = m_jobs.find(aJob);
  return found != m_jobs.end() && found->second.IsOver();
}

void JobScheduler::OnTargetRecord(const TargetRecord& aRecord, TimePoint aNow)
{
  m_keeper.OnTargetListed(aRecord, aNow);
  m_placementDue = true;
  // A run may have been sent by a release that stored no address.
  StoreAddressOf(aRecord.m_target);
}

void JobScheduler::StoreAddressOf(const TargetId& aTarget)
{
  const TargetState* target = m_keeper.Find(aTarget);
  if (target == nullptr || target->m_runs.empty()) {
    return;
  }
  if (target->m_answersHolds || !m_directory.Has(aTarget)) {
    m_directory.Add(AddressOf(*target));
  }
}

void JobScheduler::OnStoredAddress(const TargetAddress& aAddress)
{
  m_directory.OnRead(aAddress);
  m_keeper.OnTargetRemembered(aAddress);
}

void JobScheduler::OnTargetGone(const TargetId& aTarget, TimePoint aNow)
{
  m_keeper.OnTargetUnlisted(aTarget, aNow);
}

void JobScheduler::OnStartAnswer(const StartOrder& aOrder,
                                 const OrderAnswer& aAnswer,
                                 TimePoint aNow)
{
  if (aAnswer.m_status != OrderStatus::kDone) {
    m_effects.Log("start-refused",
                  RunFields(aOrder.m_run, aOrder.m_to.m_target) +
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
  StoreAddressOf(aOrder.m_to.m_target);
}

void JobScheduler::OnAdvice(const AdviceAnswer& aAnswer, TimePoint aNow)
{
  m_advice.OnAnswer(aAnswer, aNow);
  m_placementDue = true;
}

void JobScheduler::SetTime(TimePoint aNow, WallTime aWallNow)
{
  m_now = aNow;
  m_wallNow = aWallNow;
}

void JobScheduler::Tick(TimePoint aNow)
{
  m_keeper.Tick(aNow);
  for (auto it = m_recurringJobs.begin(); it != m_recurringJobs.end();) {
    Job& job = m_jobs.at(*it);
    OpenOccurrences(job, m_wallNow);
    const bool allOpen =
      job.IsOver() || job.m_nextOccurrence >= job.m_spec.m_occurrences;
    it = allOpen ? m_recurringJobs.erase(it) : std::next(it);
  }
  const Duration sincePlacement = aNow - m_lastPlacement;
  const Duration minInterval =
    kMinPlacementInterval +
    kPlacementIntervalPerStep * static_cast<std::int64_t>(m_ready.size());
  const bool isDue = m_placementDue || sincePlacement >= kMaxPlacementInterval;
  if (isDue && sincePlacement >= minInterval) {
    if (m_mayStart) {
      PlaceAll(aNow);
    }
    if (m_monitor.FleetReportIsDue(aNow)) {
      ReportFleet(aNow);
    }
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

Duration JobScheduler::EstimateOf(const JobStep& aStep)
{
  return aStep.m_longRunning ? kUnlimitedRunTime : aStep.m_estimate;
}

Resources JobScheduler::DemandOf(const JobStep& aStep)
{
  Resources demand = aStep.m_demand;
  if (aStep.m_fillsIdle) {
    demand.Set(ResourceKind::kProcessors, 0); // uses what other tasks leave
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

void JobScheduler::RefreshReady(Job& aJob)
{
  for (auto& [number, occurrence] : aJob.m_occurrences) {
    Duration remaining = Duration::zero();
    bool remainingKnown = false;
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepName name{ aJob.m_id, number, s };
      StepProgress& progress = occurrence.m_steps[s];
      // The members of a gang start together, so no member may be dispatched.
      const bool gangDispatched =
        aJob.m_spec.m_steps[s].m_gang && progress.m_dispatched > 0;
      const bool isReady = !aJob.IsOver() && progress.AnyWaiting() &&
                           !gangDispatched &&
                           PredecessorsDone(aJob.m_spec, occurrence, s);
      if (!isReady) {
        m_ready.erase(name);
        continue;
      }
      if (!remainingKnown) {
        remaining = RemainingCriticalPath(aJob.m_spec, occurrence);
        remainingKnown = true;
      }
      const auto [found, isNew] = m_ready.try_emplace(name);
      ReadyStep& ready = found->second;
      if (isNew) {
        ready.m_waits.Begin(m_now);
        ready.m_idleSince = m_now;
      }
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
  const std::uint64_t tasks = CountTasks(spec);
  // One occurrence is opened in any case. The others wait until the job has few
  // open tasks.
  const auto hasRoom = [&] {
    return aJob.m_occurrences.empty() ||
           (aJob.m_occurrences.size() + 1) * tasks <= kMaxOpenTasks;
  };
  while (
    !aJob.IsOver() && hasRoom() && aJob.m_nextOccurrence < spec.m_occurrences &&
    spec.m_firstDue + spec.m_interval * aJob.m_nextOccurrence <= aWallNow) {
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

} // namespace lycheestep
