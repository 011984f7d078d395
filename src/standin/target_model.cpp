#include "target_model.h"

#include <algorithm>
#include <utility>

namespace lycheestep {

namespace {

// A failing target ends its tasks this soon.
constexpr Duration kFailureTime = std::chrono::milliseconds(1);

} // namespace

TargetModel::TargetModel(TargetListing aListing,
                         Duration aUsageLag,
                         CheckpointStore& aCheckpoints)
  : m_listing(std::move(aListing))
  , m_usageLag(aUsageLag)
  , m_checkpoints(aCheckpoints)
{
}

StartReply TargetModel::Start(const TaskStart& aStart,
                              const TaskBehaviour& aBehaviour,
                              TimePoint aNow)
{
  ++m_ledger.m_calls;
  EndDueTasks(aNow);
  if (m_tasks.count(aStart.m_attempt) > 0) {
    ++m_ledger.m_duplicates;
    StartReply known;
    known.m_status = StartStatus::kStarted;
    return known;
  }
  if (m_forbidden.count(aStart.m_attempt) > 0) {
    return Refuse(
      aStart, RefusalCause::kForbidden, "attempt was given up", aNow);
  }
  if (m_leavingByOwnWord) {
    return Refuse(aStart, RefusalCause::kLeaving, "target is leaving", aNow);
  }
  if (!(m_given + aStart.m_demand).FitsIn(m_listing.m_capacity)) {
    return Refuse(aStart, RefusalCause::kNoRoom, "no room", aNow);
  }
  AddTask(aStart, aBehaviour, aNow);
  StartReply started;
  started.m_status = StartStatus::kStarted;
  return started;
}

StartReply TargetModel::Refuse(const TaskStart& aStart,
                               RefusalCause aCause,
                               const std::string& aDetail,
                               TimePoint aNow)
{
  m_ledger.m_refused.push_back(
    { aStart.m_attempt, aStart.m_request, aNow, aCause });
  StartReply reply;
  reply.m_detail = aDetail;
  reply.m_leaving = aCause == RefusalCause::kLeaving;
  return reply;
}

void TargetModel::AddTask(const TaskStart& aStart,
                          const TaskBehaviour& aBehaviour,
                          TimePoint aNow)
{
  Task task;
  task.m_behaviour = aBehaviour;
  if (m_failing) {
    task.m_behaviour.m_runTime = kFailureTime;
    task.m_behaviour.m_succeeds = false;
    task.m_behaviour.m_answer = "target failed";
  }
  if (aStart.m_resume) {
    auto saved = m_checkpoints.m_progress.find(aStart.m_request);
    if (saved != m_checkpoints.m_progress.end()) {
      task.m_resumed = saved->second;
    }
  }
  task.m_started = aNow;
  task.m_naturalEnd =
    std::max(aNow, Later(aNow, task.m_behaviour.m_runTime) - task.m_resumed);
  task.m_leaseUntil = Later(aNow, aStart.m_leaseTerm);
  task.m_report.m_attempt = aStart.m_attempt;
  task.m_report.m_request = aStart.m_request;
  task.m_report.m_kind = aStart.m_kind;
  task.m_report.m_demand = aStart.m_demand;
  task.m_record = m_ledger.m_tasks.size();
  m_ledger.m_tasks.push_back({ aStart.m_attempt,
                               aStart.m_request,
                               aStart.m_kind,
                               aStart.m_demand,
                               aNow,
                               TimePoint{},
                               TaskEnd::kRunning });
  m_given += aStart.m_demand;
  m_ledger.m_peak = Resources::Max(m_ledger.m_peak, m_given);
  m_ends.emplace(EndOf(task), aStart.m_attempt);
  m_tasks.emplace(aStart.m_attempt, std::move(task));
}

TargetReport TargetModel::Renew(const LeaseRenewal& aRenewal, TimePoint aNow)
{
  ++m_ledger.m_calls;
  EndDueTasks(aNow);
  for (const AttemptId& attempt : aRenewal.m_renew) {
    auto found = m_tasks.find(attempt);
    if (found == m_tasks.end() ||
        found->second.m_report.m_state != AttemptState::kRunning) {
      continue;
    }
    Task& task = found->second;
    m_ends.erase({ EndOf(task), attempt });
    task.m_leaseUntil = Later(aNow, aRenewal.m_leaseTerm);
    m_ends.emplace(EndOf(task), attempt);
  }
  for (const AttemptId& attempt : aRenewal.m_forget) {
    auto found = m_tasks.find(attempt);
    if (found != m_tasks.end() &&
        found->second.m_report.m_state == AttemptState::kEnded) {
      // A copy of its start that is still under way must not run it again.
      m_forbidden.insert(attempt);
      m_tasks.erase(found);
    }
  }
  TargetReport report;
  report.m_target = m_listing.m_id;
  report.m_reached = true;
  report.m_leaving = m_leavingByOwnWord;
  report.m_capacity = m_listing.m_capacity;
  for (const auto& [attempt, task] : m_tasks) {
    report.m_tasks.push_back(ReportOf(task, aNow));
  }
  return report;
}

void TargetModel::Control(const AttemptId& aAttempt,
                          TaskControl aControl,
                          TimePoint aNow)
{
  ++m_ledger.m_calls;
  EndDueTasks(aNow);
  auto found = m_tasks.find(aAttempt);
  if (found == m_tasks.end() ||
      found->second.m_report.m_state != AttemptState::kRunning) {
    return;
  }
  Task& task = found->second;
  if (aControl == TaskControl::kThrottle) {
    task.m_behaviour.m_usage =
      Resources::Min(task.m_behaviour.m_usage, task.m_report.m_demand);
    return;
  }
  const bool checkpoint = aControl == TaskControl::kCheckpoint;
  if (!checkpoint && task.m_behaviour.m_finishesOnStop) {
    return;
  }
  m_ends.erase({ EndOf(task), aAttempt });
  task.m_stopAt =
    std::min(task.m_stopAt, Later(aNow, task.m_behaviour.m_stopTime));
  task.m_stopCause = checkpoint ? TaskEnd::kCheckpointed : TaskEnd::kStopped;
  m_ends.emplace(EndOf(task), aAttempt);
}

TaskReport TargetModel::Query(const AttemptId& aAttempt, TimePoint aNow)
{
  ++m_ledger.m_calls;
  EndDueTasks(aNow);
  auto found = m_tasks.find(aAttempt);
  if (found != m_tasks.end()) {
    return ReportOf(found->second, aNow);
  }
  m_forbidden.insert(aAttempt);
  TaskReport never;
  never.m_attempt = aAttempt;
  never.m_state = AttemptState::kNeverStarted;
  if (m_diedAt) {
    never.m_targetUpFor = aNow - *m_diedAt;
  }
  return never;
}

std::vector<TaskReport> TargetModel::Advance(TimePoint aNow)
{
  EndDueTasks(aNow);
  return std::exchange(m_newlyEnded, {});
}

TimePoint TargetModel::NextEnd() const
{
  return m_ends.empty() ? TimePoint::max() : m_ends.begin()->first;
}

void TargetModel::Leave(bool aByOwnWord, TimePoint aNow)
{
  if (!m_leavingSince) {
    m_leavingSince = aNow;
  }
  m_listing.m_leaving = true;
  m_leavingByOwnWord = m_leavingByOwnWord || aByOwnWord;
}

void TargetModel::Return()
{
  m_leavingSince.reset();
  m_listing.m_leaving = false;
  m_leavingByOwnWord = false;
}

void TargetModel::Die(TimePoint aNow)
{
  EndDueTasks(aNow);
  for (auto& [attempt, task] : m_tasks) {
    if (task.m_report.m_state == AttemptState::kRunning) {
      EndTask(task, TaskEnd::kDied, aNow);
    }
  }
  m_tasks.clear();
  m_ends.clear();
  m_forbidden.clear();
  m_newlyEnded.clear();
  m_alive = false;
  m_diedAt = aNow;
}

TimePoint TargetModel::EndOf(const Task& aTask)
{
  return std::min({ aTask.m_naturalEnd, aTask.m_leaseUntil, aTask.m_stopAt });
}

TimePoint TargetModel::Later(TimePoint aFrom, Duration aBy)
{
  return aBy > TimePoint::max() - aFrom ? TimePoint::max() : aFrom + aBy;
}

void TargetModel::EndDueTasks(TimePoint aNow)
{
  while (!m_ends.empty() && m_ends.begin()->first <= aNow) {
    const auto [when, attempt] = *m_ends.begin();
    m_ends.erase(m_ends.begin());
    Task& task = m_tasks.find(attempt)->second;
    TaskEnd cause =
      task.m_behaviour.m_succeeds ? TaskEnd::kSucceeded : TaskEnd::kFailed;
    if (when < task.m_naturalEnd) {
      cause = when == task.m_stopAt ? task.m_stopCause : TaskEnd::kLapsed;
    }
    EndTask(task, cause, when);
    m_newlyEnded.push_back(ReportOf(task, when));
  }
}

void TargetModel::EndTask(Task& aTask, TaskEnd aCause, TimePoint aWhen)
{
  TaskReport& report = aTask.m_report;
  report.m_state = AttemptState::kEnded;
  report.m_ranFor = aWhen - aTask.m_started;
  report.m_succeeded = aCause == TaskEnd::kSucceeded;
  report.m_stopped = aCause == TaskEnd::kStopped ||
                     aCause == TaskEnd::kCheckpointed ||
                     aCause == TaskEnd::kLapsed;
  report.m_usage = aTask.m_behaviour.m_usage;
  if (!report.m_stopped) {
    report.m_body = aTask.m_behaviour.m_answer;
  }
  if (aCause == TaskEnd::kCheckpointed) {
    m_checkpoints.m_progress[report.m_request] =
      aTask.m_resumed + report.m_ranFor;
  }
  m_given -= report.m_demand;
  TaskRecord& record = m_ledger.m_tasks[aTask.m_record];
  record.m_ended = aWhen;
  record.m_end = aCause;
}

TaskReport TargetModel::ReportOf(const Task& aTask, TimePoint aNow) const
{
  TaskReport report = aTask.m_report;
  if (report.m_state != AttemptState::kRunning) {
    return report;
  }
  report.m_ranFor = aNow - aTask.m_started;
  report.m_leaseLeft = aTask.m_leaseUntil - aNow;
  if (report.m_ranFor >= m_usageLag) {
    report.m_usage = aTask.m_behaviour.m_usage;
  }
  return report;
}

} // namespace lycheestep
