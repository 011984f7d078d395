#include "job_target_model.h"

#include <algorithm>
#include <utility>

#include "run_text.h"

namespace lycheestep {

namespace {

// The longest lease that the target grants.
constexpr TargetTime kLongestLease{ 10000 };

// How long a member of a gang waits for the others.
constexpr Duration kGangPatience = std::chrono::seconds(3);

// How often a run saves a checkpoint.
constexpr Duration kCheckpointPeriod = std::chrono::milliseconds(500);

// Ends that one answer lists.
constexpr std::size_t kEndsPerAnswer = 500;

} // namespace

JobTargetModel::JobTargetModel(TargetRecord aRecord,
                               Planner aPlanner,
                               OnStart aOnStart)
  : m_record(std::move(aRecord))
  , m_planner(std::move(aPlanner))
  , m_onStart(std::move(aOnStart))
{
}

OrderAnswer JobTargetModel::Start(const StartOrder& aOrder, TimePoint aNow)
{
  Advance(aNow);
  OrderAnswer answer;
  answer.m_targetClock = ClockAt(aNow);
  answer.m_status = OrderStatus::kDone;
  if (IsFenced(aOrder.m_to)) {
    answer.m_status = OrderStatus::kFenced;
    return answer;
  }
  if (IsForOtherProcess(aOrder.m_to)) {
    answer.m_status = OrderStatus::kOtherTarget;
    return answer;
  }
  if (aOrder.m_leaseEnd <= ClockAt(aNow)) {
    answer.m_status = OrderStatus::kLeaseOver;
    return answer;
  }
  ExtendLease(aOrder.m_leaseEnd, aNow);
  if (m_running.count(aOrder.m_run) > 0) {
    return answer;
  }
  const auto ended = m_highestEnded.find(aOrder.m_run.m_task);
  if (ended != m_highestEnded.end() && aOrder.m_run.m_run <= ended->second) {
    answer.m_status = OrderStatus::kOldRun;
    return answer;
  }
  ModelRun run;
  run.m_plan = m_planner(aOrder.m_run);
  run.m_startedAt = aNow;
  run.m_endsAt =
    run.m_plan.m_gangSize > 1 ? TimePoint::max() : aNow + run.m_plan.m_workTime;
  run.m_checkpointName = TaskText(aOrder.m_run.m_task) + "/" +
                         std::to_string(aOrder.m_run.m_run) + "/";
  m_onStart(*this, aOrder, aNow);
  m_running[aOrder.m_run] = run;
  return answer;
}

OrderAnswer JobTargetModel::Stop(const StopOrder& aOrder, TimePoint aNow)
{
  Advance(aNow);
  OrderAnswer answer;
  answer.m_targetClock = ClockAt(aNow);
  if (IsFenced(aOrder.m_to)) {
    answer.m_status = OrderStatus::kFenced;
    return answer;
  }
  answer.m_status = OrderStatus::kDone;
  const auto run = m_running.find(aOrder.m_run);
  if (run == m_running.end()) {
    std::uint32_t& highest = m_highestEnded[aOrder.m_run.m_task];
    highest = std::max(highest, aOrder.m_run.m_run);
  } else if (!run->second.m_stopping) {
    run->second.m_stopping = true;
    run->second.m_endsAt = aNow + m_stopTime;
  }
  return answer;
}

HoldAnswer JobTargetModel::Hold(const HoldOrder& aOrder, TimePoint aNow)
{
  Advance(aNow);
  HoldAnswer answer;
  answer.m_targetClock = ClockAt(aNow);
  answer.m_started = m_record.m_started;
  if (IsFenced(aOrder.m_to)) {
    answer.m_status = OrderStatus::kFenced;
    return answer;
  }
  answer.m_status = OrderStatus::kDone;
  if (!IsForOtherProcess(aOrder.m_to)) {
    ExtendLease(aOrder.m_leaseEnd, aNow);
    m_forgotten = std::max(m_forgotten, aOrder.m_forgetEnds);
  }
  for (const auto& [name, run] : m_running) {
    RunningTask task;
    task.m_run = name;
    task.m_percentDone = PercentOf(run, aNow);
    task.m_checkpoint = run.CheckpointAt(aNow);
    answer.m_running.push_back(task);
  }
  for (const EndedTask& ended : m_ledger) {
    if (ended.m_number > m_forgotten &&
        answer.m_ended.size() < kEndsPerAnswer) {
      answer.m_ended.push_back(ended);
    }
  }
  return answer;
}

void JobTargetModel::Advance(TimePoint aNow)
{
  const bool lapsed = ClockAt(aNow) > m_leaseEnd;
  if (m_hangs) {
    for (auto& [name, run] : m_running) {
      if (!run.m_stopping && run.m_endsAt != TimePoint::max()) {
        run.m_endsAt += aNow - m_advancedTo;
      }
    }
  }
  m_advancedTo = aNow;
  std::vector<std::pair<RunName, RunEnd>> ends;
  for (const auto& [name, run] : m_running) {
    if (lapsed) {
      ends.emplace_back(name, RunEnd::kLapsed);
    } else if (run.m_endsAt <= aNow) {
      const bool fails = run.m_plan.m_fails || m_failsAll;
      const bool brokenSoon =
        m_failsAll && run.m_plan.m_gangSize > 1 && name.m_task.m_index > 0;
      if (brokenSoon) {
        continue; // the first member fails, and that breaks its gang
      }
      const RunEnd worked = fails ? RunEnd::kFailed : RunEnd::kDone;
      ends.emplace_back(name, run.m_stopping ? RunEnd::kStopped : worked);
    } else if (run.m_endsAt == TimePoint::max() &&
               aNow - run.m_startedAt > kGangPatience) {
      ends.emplace_back(name, RunEnd::kGangAlone);
    }
  }
  for (const auto& [name, end] : ends) {
    EndRun(name, end);
  }
  if (lapsed) {
    for (std::uint64_t n = m_forgotten + 1; n <= m_ledger.size(); ++n) {
      m_unknownEnds.insert(n);
    }
  }
}

void JobTargetModel::Restart(TimePoint aNow, WallTime aStarted)
{
  m_record.m_started = aStarted;
  m_bornAt = aNow;
  m_fence = 0;
  m_leaseEnd = TargetTime(0);
  m_running.clear();
  m_highestEnded.clear();
  m_ledger.clear();
  m_forgotten = 0;
  m_unknownEnds.clear();
}

std::string ModelRun::CheckpointAt(TimePoint aNow) const
{
  if (m_plan.m_checkpointBytes == 0 || aNow - m_startedAt < kCheckpointPeriod) {
    return "";
  }
  std::string checkpoint =
    m_checkpointName + std::to_string((aNow - m_startedAt) / kCheckpointPeriod);
  checkpoint.resize(std::max(checkpoint.size(), m_plan.m_checkpointBytes), '.');
  return checkpoint;
}

void JobTargetModel::EndRun(const RunName& aRun, RunEnd aEnd)
{
  const auto run = m_running.find(aRun);
  if (run == m_running.end()) {
    return;
  }
  EndedTask ended;
  ended.m_checkpoint = run->second.CheckpointAt(m_advancedTo);
  m_running.erase(run);
  ended.m_number = m_ledger.size() + 1;
  ended.m_run = aRun;
  ended.m_end = aEnd;
  m_ledger.push_back(ended);
  std::uint32_t& highest = m_highestEnded[aRun.m_task];
  highest = std::max(highest, aRun.m_run);
}

void JobTargetModel::BeginGangWork(const RunName& aRun, TimePoint aNow)
{
  const auto run = m_running.find(aRun);
  if (run != m_running.end() && run->second.m_endsAt == TimePoint::max()) {
    run->second.m_endsAt = aNow + run->second.m_plan.m_workTime;
  }
}

std::uint32_t JobTargetModel::PercentOf(const ModelRun& aRun, TimePoint aNow)
{
  if (aRun.m_endsAt == TimePoint::max()) {
    return 0;
  }
  const Duration left = std::max(Duration::zero(), aRun.m_endsAt - aNow);
  const Duration work = std::max(left, aRun.m_plan.m_workTime);
  return static_cast<std::uint32_t>(100 - 100 * left / work);
}

Resources JobTargetModel::Used() const
{
  Resources used;
  for (const auto& [name, run] : m_running) {
    used += run.m_plan.m_demand;
  }
  return used;
}

bool JobTargetModel::HasEnds(std::uint64_t aAfter) const
{
  return m_ledger.size() > aAfter;
}

TargetTime JobTargetModel::ClockAt(TimePoint aNow) const
{
  return std::chrono::duration_cast<TargetTime>((aNow - m_bornAt) *
                                                m_clockPerMille / 1000);
}

bool JobTargetModel::IsForOtherProcess(const OrderAddress& aTo) const
{
  return aTo.m_started.count() != 0 && aTo.m_started != m_record.m_started;
}

bool JobTargetModel::IsFenced(const OrderAddress& aTo)
{
  m_fence = std::max(m_fence, aTo.m_fence);
  return aTo.m_fence < m_fence;
}

void JobTargetModel::ExtendLease(TargetTime aEnd, TimePoint aNow)
{
  const TargetTime longest = ClockAt(aNow) + kLongestLease;
  m_leaseEnd = std::max(m_leaseEnd, std::min(aEnd, longest));
}

} // namespace lycheestep
