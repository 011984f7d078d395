#include "job_cell_model.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "job_cell_term.h"
#include "model_address.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// One way between a leader and what surrounds it.
constexpr Duration kShortestWay = std::chrono::milliseconds(1);
constexpr Duration kLongestWay = std::chrono::milliseconds(4);

// How long a long-running task works if nothing ends it.
constexpr Duration kLongRunTime = std::chrono::hours(1);

constexpr std::size_t kTargetsPerRack = 6;

constexpr Duration kWaitingCheckPeriod = std::chrono::milliseconds(100);

// When a host tells the leader first of a cancellation, and how often. A host
// looks each 100 ms what is due.
constexpr Duration kFirstNotice = std::chrono::milliseconds(200);
constexpr Duration kNoticePeriod = std::chrono::milliseconds(300);

// The share of targets that are fit for a step of a queue that the test says
// nothing about.
constexpr double kUsualFitShare = 0.5;

// Returns a number from 0 to 1, always the same for the same text.
double DrawOf(const std::string& aText)
{
  constexpr std::size_t kDraws = 10000;
  return static_cast<double>(std::hash<std::string>()(aText) % kDraws) / kDraws;
}

} // namespace

JobCellModel::JobCellModel(std::uint64_t aSeed,
                           std::size_t aTargets,
                           const Resources& aCapacity)
  : m_random(static_cast<std::uint32_t>(aSeed))
  , m_now(std::chrono::seconds(1000))
{
  m_queue.m_name = QueueName("plans");
  m_queue.m_service = ServiceName("desk");
  m_queue.m_maxAttempts = 3;
  m_queue.m_slackFactor = 3;
  m_queue.m_latencyTarget = std::chrono::seconds(1);
  m_queue.m_advice.m_perCall = std::chrono::milliseconds(20);
  m_queue.m_advice.m_perTarget = std::chrono::milliseconds(1);
  for (std::size_t i = 0; i < aTargets; ++i) {
    TargetRecord record;
    record.m_target = TargetId("target-" + std::to_string(i));
    record.m_service = m_queue.m_service;
    record.m_address = ModelAddress(i);
    record.m_rack = RackName("rack-" + std::to_string(i / kTargetsPerRack));
    record.m_kind = "a";
    record.m_capacity = aCapacity;
    record.m_started = kWallStart;
    record.m_machine = MachineName("machine-" + std::to_string(i));
    AddTarget(record);
  }
  StartTerm();
}

JobCellModel::~JobCellModel() = default;

void JobCellModel::AddTarget(const TargetRecord& aRecord)
{
  const std::size_t index = m_targets.size();
  m_indexOf[aRecord.m_target] = index;
  m_targets.push_back(std::make_unique<JobTargetModel>(
    aRecord,
    [this](const RunName& aRun) { return PlanOf(aRun); },
    [this, index](
      const JobTargetModel& aTarget, const StartOrder& aOrder, TimePoint aNow) {
      m_newestStartAt = index;
      ++m_startsOn[index];
      CheckStart(aTarget, aOrder, aNow);
    }));
  m_cut.push_back(false);
  m_mute.push_back(false);
  m_hidden.push_back(false);
  m_misplaced.push_back(false);
  m_downUntil.emplace_back();
}

void JobCellModel::SetRowBytes(std::size_t aBytes)
{
  m_rowBytes = aBytes;
  m_table.SetRowBytes(aBytes);
  ChangeLeader();
}

JobId JobCellModel::Submit(const JobSpec& aSpec)
{
  JobId job("job" + std::to_string(++m_lastJob));
  Store(job, aSpec);
  return job;
}

void JobCellModel::SubmitAgain(const JobId& aJob, const JobSpec& aSpec)
{
  ForgetJob(aJob);
  Store(aJob, aSpec);
}

void JobCellModel::ForgetJob(const JobId& aJob)
{
  m_cancels.erase(aJob);
  m_cancelledAt.erase(aJob);
  m_endedAt.erase(aJob);
  m_doneAt.erase(aJob);
  const auto isOfJob = [&aJob](const TaskName& aTask) {
    return aTask.m_step.m_job == aJob;
  };
  for (std::set<TaskName>* tasks : { &m_done, &m_noted, &m_alone }) {
    for (auto it = tasks->begin(); it != tasks->end();) {
      it = isOfJob(*it) ? tasks->erase(it) : std::next(it);
    }
  }
  for (auto it = m_failures.begin(); it != m_failures.end();) {
    it = isOfJob(it->first) ? m_failures.erase(it) : std::next(it);
  }
  for (auto it = m_startsOf.begin(); it != m_startsOf.end();) {
    it = isOfJob(it->first) ? m_startsOf.erase(it) : std::next(it);
  }
}

void JobCellModel::Store(const JobId& aJob, const JobSpec& aSpec)
{
  StoredJob stored;
  stored.m_terms = m_queue;
  stored.m_spec = aSpec;
  stored.m_version = ++m_version;
  stored.m_acceptedAt =
    kWallStart + std::chrono::duration_cast<WallTime>(Now());
  m_jobs[aJob] = stored;
  m_ledger.OnSubmitted(aJob, aSpec);
  m_submittedAt[aJob] = m_now;
  Term& term = *m_terms.back();
  term.TellRow(FeedTime(), [this, &term, aJob, stored] {
    term.Scheduler().OnJob(aJob, stored, 0, m_now);
  });
}

void JobCellModel::Cancel(const JobId& aJob)
{
  const std::uint64_t version =
    m_cancels.try_emplace(aJob, m_version + 1).first->second;
  m_version = std::max(m_version, version);
  m_cancelledAt.try_emplace(aJob, m_now);
  Term& term = *m_terms.back();
  term.TellRow(FeedTime(),
               [this, &term, aJob] { term.Scheduler().OnCancel(aJob, m_now); });
  if (m_faults.m_lostFeeds > Duration::zero()) {
    TellOfCancellation(aJob, version, kFirstNotice, 0);
  }
}

void JobCellModel::TellOfCancellation(const JobId& aJob,
                                      std::uint64_t aRowVersion,
                                      Duration aDelay,
                                      std::uint32_t aLost)
{
  At(aDelay, [this, aJob, aRowVersion, aLost] {
    const auto row = m_cancels.find(aJob);
    if (row == m_cancels.end() || row->second != aRowVersion ||
        m_terms.back()->Scheduler().IsOver(aJob)) {
      return;
    }
    const bool lost = aLost < m_faults.m_lostNotices && Chance(0.5);
    if (!lost) {
      Term& term = *m_terms.back();
      term.TellRow(Way(), [this, &term, aJob, aRowVersion] {
        term.Scheduler().OnCancelRow(aJob, aRowVersion, m_now);
      });
    }
    TellOfCancellation(aJob, aRowVersion, kNoticePeriod, lost ? aLost + 1 : 0);
  });
}

void JobCellModel::Run(Duration aTime)
{
  const TimePoint until = m_now + aTime;
  while (m_now < until) {
    m_now += kTick;
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_now) {
      const std::function<void()> task = std::move(m_tasks.begin()->second);
      m_tasks.erase(m_tasks.begin());
      task();
    }
    for (const auto& target : m_targets) {
      target->Advance(m_now);
      CheckRoom(*target);
    }
    RunGangs();
    CheckEnds();
    CheckCancelledRuns();
    if (m_checksCalm) {
      CheckCalm();
    }
    if (m_checksWaitingWork) {
      CheckWaitingWork();
    }
    StepLeaders();
  }
}

void JobCellModel::StepLeaders()
{
  const std::size_t terms = m_terms.size();
  for (std::size_t i = 0; i < terms; ++i) {
    if (m_terms[i]->IsAlive()) {
      m_terms[i]->Step();
    }
  }
}

void JobCellModel::CheckWaitingWork()
{
  if (m_faults.m_storeDown || !m_terms.back()->IsAlive()) {
    m_waitingWork.Reset();
    return;
  }
  if (m_now < m_nextWaitingCheck) {
    return;
  }
  m_nextWaitingCheck = m_now + kWaitingCheckPeriod;
  for (const JobId& job :
       m_waitingWork.Check(OpenTargets(), IdleSteps(), m_now)) {
    Break("WAITS BESIDE FREE CAPACITY " + job.Text());
  }
}

JobState JobCellModel::StateOf(const JobId& aJob) const
{
  const Row* row = m_table.Find(ProgressKey(aJob));
  const auto progress =
    row != nullptr ? DecodeProgress(aJob, row->m_value) : std::nullopt;
  return progress ? progress->m_state : JobState::kQueued;
}

std::uint32_t JobCellModel::Pending() const
{
  const PendingCounts counts = m_terms.back()->Scheduler().Pending();
  const auto count = counts.find(m_queue.m_name);
  return count != counts.end() ? count->second : 0;
}

bool JobCellModel::AllOver() const
{
  return std::all_of(m_jobs.begin(), m_jobs.end(), [this](const auto& aJob) {
    return StateOf(aJob.first) >= JobState::kDone;
  });
}

std::size_t JobCellModel::RunsOn(std::size_t aTarget) const
{
  return m_targets[aTarget]->Running().size();
}

Duration JobCellModel::TookOf(const JobId& aJob) const
{
  const auto ended = m_endedAt.find(aJob);
  return ended != m_endedAt.end() ? ended->second - m_submittedAt.at(aJob)
                                  : Duration::zero();
}

void JobCellModel::At(Duration aDelay, std::function<void()> aTask)
{
  m_tasks.emplace(m_now + aDelay, std::move(aTask));
}

Duration JobCellModel::Way()
{
  std::uniform_int_distribution<Duration::rep> way(kShortestWay.count(),
                                                   kLongestWay.count());
  return Duration(way(m_random));
}

bool JobCellModel::IsFit(const StepName& aStep, const TargetId& aTarget) const
{
  // One target is fit for everything, so that every job can end.
  if (aTarget.Text() == "target-0") {
    return true;
  }
  const auto share =
    m_advisor.m_fitShareOf.find(m_jobs.at(aStep.m_job).m_terms.m_name);
  const double fitShare =
    share != m_advisor.m_fitShareOf.end() ? share->second : kUsualFitShare;
  return DrawOf(StepText(aStep) + aTarget.Text()) < fitShare;
}

bool JobCellModel::Chance(double aShare)
{
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(m_random) < aShare;
}

bool JobCellModel::CheckIdentity(const StartOrder& aOrder)
{
  const std::vector<std::string> broken = m_ledger.Check(
    aOrder, kWallStart + std::chrono::duration_cast<WallTime>(Now()));
  for (const std::string& what : broken) {
    Break(what);
  }
  return broken.empty();
}

void JobCellModel::CheckStart(const JobTargetModel& aTarget,
                              const StartOrder& aOrder,
                              TimePoint aNow)
{
  ++m_starts;
  CheckEnds();
  if (!CheckIdentity(aOrder)) {
    return;
  }
  const TaskName& task = aOrder.m_run.m_task;
  const std::string text = TaskText(task);
  for (const auto& target : m_targets) {
    const auto& running = target->Running();
    auto run = running.lower_bound(RunName{ task, 0 });
    for (; run != running.end() && !(task < run->first.m_task); ++run) {
      Break("TWICE " + text);
    }
  }
  if (m_noted.count(task) > 0) {
    Break("STARTED AFTER ITS END " + text);
  }
  const JobSpec& spec = m_jobs.at(task.m_step.m_job).m_spec;
  const JobStep& step = spec.m_steps[task.m_step.m_step];
  // The rules limit only the attempts of tasks that end.
  if (!step.m_longRunning && m_failures[task] >= m_queue.m_maxAttempts) {
    Break("BEYOND ITS ATTEMPTS " + text);
  }
  for (const std::uint32_t earlier : step.m_after) {
    for (std::uint32_t i = 0; i < spec.m_steps[earlier].m_count; ++i) {
      const StepName before{ task.m_step.m_job,
                             task.m_step.m_occurrence,
                             earlier };
      if (m_done.count(TaskName{ before, i }) == 0) {
        Break("OUT OF ORDER " + text);
      }
    }
  }
  CheckStartTime(aTarget, aOrder.m_run, aNow);
  ++m_startsOf[task];
}

void JobCellModel::CheckEnds()
{
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const JobTargetModel& target = *m_targets[i];
    std::size_t& seen = m_seen[i];
    for (; seen < target.Ledger().size(); ++seen) {
      const EndedTask& ended = target.Ledger()[seen];
      if (ended.m_end == RunEnd::kDone) {
        m_done.insert(ended.m_run.m_task);
        m_startsBefore[{ i, ended.m_number }] = m_startsOf[ended.m_run.m_task];
      }
    }
    std::uint64_t& read = m_read[i];
    while (read < target.Forgotten() && read < target.Ledger().size()) {
      const EndedTask& ended = target.Ledger()[read++];
      if (target.LapsedBeforeForgotten(ended.m_number)) {
        continue;
      }
      if (ended.m_end == RunEnd::kDone) {
        m_noted.insert(ended.m_run.m_task);
        if (m_startsOf[ended.m_run.m_task] >
            m_startsBefore[{ i, ended.m_number }]) {
          Break("STARTED AFTER AN END NOTED SINCE " +
                TaskText(ended.m_run.m_task));
        }
      } else if (ended.m_end == RunEnd::kFailed) {
        ++m_failures[ended.m_run.m_task];
      } else if (ended.m_end == RunEnd::kGangAlone &&
                 m_faults.m_lostOrders + m_faults.m_lateOrders == 0) {
        m_alone.insert(ended.m_run.m_task);
      }
    }
  }
}

void JobCellModel::CheckRoom(const JobTargetModel& aTarget)
{
  if (!aTarget.Used().FitsIn(aTarget.Record().m_capacity)) {
    Break("OVER ITS ROOM " + aTarget.Record().m_target.Text());
  }
}

void JobCellModel::RunGangs()
{
  std::map<std::pair<StepName, std::uint32_t>,
           std::vector<std::pair<JobTargetModel*, RunName>>>
    gangs;
  for (const auto& target : m_targets) {
    for (const auto& [name, run] : target->Running()) {
      if (run.m_plan.m_gangSize > 1) {
        gangs[{ name.m_task.m_step, name.m_run }].emplace_back(target.get(),
                                                               name);
      }
    }
  }
  for (const auto& [gang, members] : gangs) {
    const std::size_t size = members.front()
                               .first->Running()
                               .at(members.front().second)
                               .m_plan.m_gangSize;
    const bool begun = m_begunGangs.count(gang) > 0;
    if (members.size() == size && !begun) {
      m_begunGangs.insert(gang);
      for (const auto& [target, run] : members) {
        target->BeginGangWork(run, m_now);
      }
    } else if (members.size() < size && begun) {
      for (const auto& [target, run] : members) {
        target->EndRun(run, RunEnd::kGangBroken);
      }
    }
  }
}

RunPlan JobCellModel::PlanOf(const RunName& aRun) const
{
  const JobStep* found = m_ledger.StepOf(aRun.m_task.m_step);
  if (found == nullptr) {
    return RunPlan();
  }
  const JobStep& step = *found;
  const std::string text =
    step.m_gang ? StepText(aRun.m_task.m_step) : TaskText(aRun.m_task);
  const std::size_t draw =
    std::hash<std::string>()(text + "/" + std::to_string(aRun.m_run));
  RunPlan plan;
  plan.m_demand = step.m_demand;
  plan.m_workTime = step.m_estimate / 2 + step.m_estimate * (draw % 100) / 100;
  const bool failsByChance = m_faults.m_runsFailByChance && draw % 31 == 0;
  plan.m_fails =
    failsByChance || m_failingJobs.count(aRun.m_task.m_step.m_job) > 0;
  if (step.m_longRunning && !plan.m_fails) {
    plan.m_workTime = kLongRunTime;
  }
  plan.m_gangSize = step.m_gang ? step.m_count : 1;
  plan.m_checkpointBytes = step.m_checkpointing ? m_checkpointBytes : 0;
  return plan;
}

void JobCellModel::Break(const std::string& aWhat)
{
  m_broken.push_back(aWhat + " at " + std::to_string(ToMilliseconds(Now())));
}

} // namespace lycheestep
