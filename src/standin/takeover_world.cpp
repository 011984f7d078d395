#include "takeover_world.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "model_address.h"
#include "run_text.h"

namespace lycheestep {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);

// The answers of every second target are late by this time.
constexpr Duration kLateAnswer = std::chrono::milliseconds(100);

// Leases of a leader that ended are over after this.
constexpr Duration kFormerLeases = std::chrono::milliseconds(9400);

constexpr WallTime kWallStart{ 1700000000000 };

constexpr std::size_t kCheckpointBytes = 16;

// Runs of one task that may fail before its job fails.
constexpr std::uint32_t kMaxAttempts = 2;

} // namespace

TakeoverWorld::TakeoverWorld(std::size_t aTargets, std::size_t aRowBytes)
  : m_rowBytes(aRowBytes)
  , m_now(std::chrono::seconds(1000))
{
  m_table.SetRowBytes(aRowBytes);
  for (std::size_t i = 0; i < aTargets; ++i) {
    TargetRecord record;
    record.m_target = TargetId("target-" + std::to_string(i));
    record.m_service = ServiceName("desk");
    record.m_address = ModelAddress(i);
    record.m_rack = RackName("rack");
    record.m_capacity = Resources(32000, 131072, 0, 0, 0);
    record.m_started = kWallStart;
    m_targets.push_back(std::make_unique<JobTargetModel>(
      record,
      [this](const RunName& aRun) { return PlanOf(aRun); },
      [](const JobTargetModel&, const StartOrder&, TimePoint) {}));
  }
  m_endsSeen.resize(aTargets);
  m_endsForgotten.resize(aTargets);
  StartLeader();
}

TakeoverWorld::~TakeoverWorld() = default;

void TakeoverWorld::SetStopTime(Duration aTime)
{
  for (const auto& target : m_targets) {
    target->SetStopTime(aTime);
  }
}

void TakeoverWorld::RefuseLongCommits(std::size_t aRows)
{
  m_refusesLongCommits = aRows > 0;
  m_table.SetTransactionRows(aRows);
}

void TakeoverWorld::Submit(const JobId& aJob, const JobSpec& aSpec)
{
  StoredJob stored;
  stored.m_terms.m_name = QueueName("plans");
  stored.m_terms.m_service = ServiceName("desk");
  stored.m_terms.m_maxAttempts = kMaxAttempts;
  stored.m_spec = aSpec;
  stored.m_acceptedAt =
    kWallStart + std::chrono::duration_cast<WallTime>(m_now - TimePoint());
  m_jobs[aJob] = stored;
  m_ledger.OnSubmitted(aJob, aSpec);
  m_scheduler->OnJob(aJob, stored, 0, m_now);
}

void TakeoverWorld::Cancel(const JobId& aJob)
{
  m_cancels.insert(aJob);
  m_scheduler->OnCancel(aJob, m_now);
}

void TakeoverWorld::ChangeLeader(bool aCommitTakesEffect)
{
  if (m_commit && aCommitTakesEffect) {
    m_table.Apply(m_commit->m_writes, m_commit->m_removals, ++m_version);
  }
  m_commit.reset();
  m_answers.clear();
  StartLeader();
}

void TakeoverWorld::StartLeader()
{
  ++m_term;
  JobSchedulerSettings settings;
  settings.m_valueBytes = MaxValueBytes(m_rowBytes);
  m_scheduler = std::make_unique<JobScheduler>(settings, *this);
  const WallTime wall =
    kWallStart + std::chrono::duration_cast<WallTime>(m_now - TimePoint());
  m_scheduler->SetTime(m_now, wall);
  m_scheduler->Targets().SetFormerLeaseExpiry(m_now + kFormerLeases);
  m_scheduler->OnCommitted(++m_version, m_now - TimePoint(), m_now);
  for (const Row& row : m_table.Rows(kTargetAddressTable)) {
    m_scheduler->OnStoredAddress(*DecodeTargetAddress(row));
  }
  for (const auto& [id, job] : m_jobs) {
    m_scheduler->OnJob(id, job, 0, m_now);
  }
  std::vector<Row> rows = m_table.Rows(kProgressTable);
  if (m_filter) {
    std::for_each(rows.begin(), rows.end(), m_filter);
  }
  for (const auto& [id, progress] : ReadProgressRows(rows).m_jobs) {
    m_scheduler->OnProgress(id, progress, m_now);
  }
  for (const JobId& id : m_cancels) {
    m_scheduler->OnCancel(id, m_now);
  }
  for (const auto& target : m_targets) {
    m_scheduler->OnTargetRecord(target->Record(), m_now);
  }
}

void TakeoverWorld::Run(Duration aTime)
{
  const TimePoint until = m_now + aTime;
  while (m_now < until) {
    m_now += kTick;
    m_scheduler->SetTime(
      m_now,
      kWallStart + std::chrono::duration_cast<WallTime>(m_now - TimePoint()));
    for (const auto& target : m_targets) {
      target->Advance(m_now);
    }
    NoteEnds();
    FinishCommit();
    while (!m_answers.empty() && m_answers.begin()->first <= m_now) {
      const std::function<void()> task = std::move(m_answers.begin()->second);
      m_answers.erase(m_answers.begin());
      task();
    }
    m_scheduler->Tick(m_now);
  }
}

std::map<JobId, JobOutcome> TakeoverWorld::Outcomes() const
{
  std::map<JobId, JobOutcome> outcomes;
  for (const auto& [id, stored] : m_jobs) {
    const Row* row = m_table.Find(ProgressKey(id));
    const auto progress =
      row != nullptr ? DecodeProgress(id, row->m_value) : std::nullopt;
    outcomes[id].m_state = progress ? progress->m_state : JobState::kQueued;
  }
  for (const auto& [task, runs] : m_failedRuns) {
    outcomes[task.m_step.m_job].m_failedRuns[task] = runs.size();
  }
  for (const TaskName& task : m_done) {
    outcomes[task.m_step.m_job].m_done.insert(task);
  }
  return outcomes;
}

bool TakeoverWorld::AllOver() const
{
  const std::map<JobId, JobOutcome> outcomes = Outcomes();
  return std::all_of(outcomes.begin(), outcomes.end(), [](const auto& aEntry) {
    return aEntry.second.m_state >= JobState::kDone;
  });
}

std::set<RunName> TakeoverWorld::Running() const
{
  std::set<RunName> running;
  for (const auto& target : m_targets) {
    for (const auto& [name, run] : target->Running()) {
      running.insert(name);
    }
  }
  return running;
}

std::size_t TakeoverWorld::FailuresOf(const TaskName& aTask) const
{
  const auto failed = m_failedRuns.find(Counted(aTask));
  return failed != m_failedRuns.end() ? failed->second.size() : 0;
}

std::vector<TargetId> TakeoverWorld::TargetsOf(const TaskName& aTask) const
{
  std::vector<TargetId> targets;
  for (const auto& [run, target] : m_starts) {
    if (!(run.m_task < aTask) && !(aTask < run.m_task)) {
      targets.push_back(target);
    }
  }
  return targets;
}

void TakeoverWorld::Commit(std::vector<RowWrite> aWrites,
                           std::vector<RowKey> aRemovals)
{
  m_commit = PendingCommit{ std::move(aWrites),
                            std::move(aRemovals),
                            m_now + m_commitTime };
}

void TakeoverWorld::FinishCommit()
{
  if (!m_commit || m_now < m_commit->m_doneAt) {
    return;
  }
  const PendingCommit commit = std::move(*m_commit);
  m_commit.reset();
  if (!m_table.Apply(commit.m_writes, commit.m_removals, ++m_version)) {
    if (!m_refusesLongCommits) {
      m_broken.emplace_back("COMMIT BEYOND THE STORE'S LIMITS");
    }
    m_scheduler->OnCommitRejected(m_now);
    return;
  }
  m_scheduler->OnCommitted(m_version, m_now - TimePoint(), m_now);
}

void TakeoverWorld::Start(const StartOrder& aOrder)
{
  const std::size_t index = IndexOf(aOrder.m_to.m_target);
  const bool isNew = m_targets[index]->Running().count(aOrder.m_run) == 0;
  const OrderAnswer answer = m_targets[index]->Start(aOrder, m_now);
  if (answer.m_status == OrderStatus::kDone && isNew) {
    CheckStart(aOrder);
  }
  Answer(index, [this, aOrder, answer] {
    m_scheduler->OnStartAnswer(aOrder, answer, m_now);
  });
}

void TakeoverWorld::Stop(const StopOrder& aOrder)
{
  const std::size_t index = IndexOf(aOrder.m_to.m_target);
  const OrderAnswer answer = m_targets[index]->Stop(aOrder, m_now);
  Answer(index, [this, aOrder, answer] {
    m_scheduler->OnStopAnswer(aOrder, answer, m_now);
  });
}

void TakeoverWorld::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  const std::size_t index = IndexOf(aOrder.m_to.m_target);
  const HoldAnswer answer = m_targets[index]->Hold(aOrder, m_now);
  m_ledger.OnReported(aOrder.m_to.m_target, answer);
  NoteEnds();
  Answer(index, [this, aOrder, aPath, answer] {
    m_scheduler->OnHoldAnswer(aOrder, aPath, answer, m_now);
  });
}

void TakeoverWorld::Answer(std::size_t aTarget, std::function<void()> aTask)
{
  const Duration delay = aTarget % 2 == 1 ? kLateAnswer : kTick;
  m_answers.emplace(m_now + delay, std::move(aTask));
}

std::size_t TakeoverWorld::IndexOf(const TargetId& aTarget) const
{
  std::size_t index = 0;
  while (m_targets[index]->Record().m_target != aTarget) {
    ++index;
  }
  return index;
}

TaskName TakeoverWorld::Counted(const TaskName& aTask) const
{
  const JobStep* step = m_ledger.StepOf(aTask.m_step);
  const bool isGang = step != nullptr && step->m_gang;
  return isGang ? TaskName{ aTask.m_step, 0 } : aTask;
}

std::size_t TakeoverWorld::FailuresPlanned(const TaskName& aTask) const
{
  if (m_failures) {
    return *m_failures;
  }
  // The tasks of every fourth job use up their attempts at times.
  const std::hash<std::string> hash;
  const bool mayFail = hash(aTask.m_step.m_job.Text()) % 4 == 0;
  const std::size_t most = mayFail ? kMaxAttempts : kMaxAttempts - 1;
  return hash(TaskText(Counted(aTask))) % (most + 1);
}

RunPlan TakeoverWorld::PlanOf(const RunName& aRun) const
{
  const JobStep* found = m_ledger.StepOf(aRun.m_task.m_step);
  if (found == nullptr) {
    return RunPlan();
  }
  const JobStep& step = *found;
  const auto failed = m_failedRuns.find(Counted(aRun.m_task));
  const std::size_t failures =
    failed != m_failedRuns.end() ? failed->second.size() : 0;
  RunPlan plan;
  plan.m_demand = step.m_demand;
  plan.m_workTime = step.m_estimate;
  plan.m_fails = failures < FailuresPlanned(aRun.m_task);
  plan.m_checkpointBytes = step.m_checkpointing ? kCheckpointBytes : 0;
  return plan;
}

void TakeoverWorld::CheckStart(const StartOrder& aOrder)
{
  const std::vector<std::string> broken = m_ledger.Check(
    aOrder,
    kWallStart + std::chrono::duration_cast<WallTime>(m_now - TimePoint()));
  m_broken.insert(m_broken.end(), broken.begin(), broken.end());
  if (!broken.empty()) {
    return;
  }
  const TaskName& task = aOrder.m_run.m_task;
  const JobStep& step =
    m_jobs.at(task.m_step.m_job).m_spec.m_steps[task.m_step.m_step];
  if (!m_starts.emplace(aOrder.m_run, aOrder.m_to.m_target).second) {
    Break("RUN NUMBER USED AGAIN", task);
  }
  std::size_t running = 0;
  for (const auto& target : m_targets) {
    for (const auto& [name, run] : target->Running()) {
      running += !(name.m_task < task) && !(task < name.m_task) ? 1 : 0;
    }
  }
  if (running > 1) {
    Break("TWICE", task);
  }
  if (m_noted.count(task) > 0) {
    Break("STARTED AFTER ITS END", task);
  }
  for (const std::uint32_t earlier : step.m_after) {
    const JobStep& before =
      m_jobs.at(task.m_step.m_job).m_spec.m_steps[earlier];
    for (std::uint32_t i = 0; i < before.m_count; ++i) {
      const StepName name{ task.m_step.m_job,
                           task.m_step.m_occurrence,
                           earlier };
      if (m_done.count(TaskName{ name, i }) == 0) {
        Break("OUT OF ORDER", task);
      }
    }
  }
  if (m_withCheckpoint.count(Counted(task)) > 0 &&
      aOrder.m_checkpoint.empty()) {
    Break("WITHOUT ITS CHECKPOINT", task);
  }
}

void TakeoverWorld::NoteEnds()
{
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const std::vector<EndedTask>& ledger = m_targets[i]->Ledger();
    for (; m_endsSeen[i] < ledger.size(); ++m_endsSeen[i]) {
      const EndedTask& ended = ledger[m_endsSeen[i]];
      if (ended.m_end == RunEnd::kDone) {
        m_done.insert(ended.m_run.m_task);
      } else if (ended.m_end == RunEnd::kFailed) {
        m_failedRuns[Counted(ended.m_run.m_task)].insert(ended.m_run.m_run);
      }
    }
    for (; m_endsForgotten[i] < m_targets[i]->Forgotten();
         ++m_endsForgotten[i]) {
      const EndedTask& ended = ledger[m_endsForgotten[i]];
      if (ended.m_end == RunEnd::kDone) {
        m_noted.insert(ended.m_run.m_task);
      }
      if (!ended.m_checkpoint.empty()) {
        m_withCheckpoint.insert(Counted(ended.m_run.m_task));
      }
    }
  }
}

void TakeoverWorld::Log(const std::string& aEvent, const std::string& aFields)
{
  if (m_trace != nullptr) {
    *m_trace << ToMilliseconds(m_now - TimePoint()) << " term=" << m_term << " "
             << aEvent << " " << aFields << "\n";
  }
}

void TakeoverWorld::Break(const std::string& aWhat, const TaskName& aTask)
{
  m_broken.push_back(aWhat + " " + TaskText(aTask));
}

} // namespace lycheestep
