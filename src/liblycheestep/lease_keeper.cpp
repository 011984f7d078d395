#include "lease_keeper.h"

#include <algorithm>
#include <utility>

#include "attempt_name.h"
#include "backoff.h"
#include "fleet.h"
#include "session_keeper.h"

namespace lycheestep {

namespace {

constexpr Duration kFirstRetry = std::chrono::seconds(1);
constexpr Duration kMostRetry = std::chrono::seconds(8);

// Time between looks at the fleet for new and vanished targets.
constexpr Duration kSyncPeriod = std::chrono::seconds(1);

} // namespace

LeaseKeeper::LeaseKeeper(Fleet& aFleet, SessionKeeper& aSession)
  : m_fleet(aFleet)
  , m_session(aSession)
{
}

void LeaseKeeper::Due(TimePoint aWhen)
{
  m_nextDue = std::min(m_nextDue, aWhen);
}

TimePoint LeaseKeeper::NextWakeup() const
{
  return m_nextDue;
}

void LeaseKeeper::Tick(CoreContext& aContext)
{
  if (aContext.m_now < m_nextDue) {
    return;
  }
  m_nextDue = TimePoint::max();
  if (aContext.m_now >= m_nextSync) {
    SyncTargets(aContext);
    m_nextSync = aContext.m_now + kSyncPeriod;
  }
  Due(m_nextSync);
  CheckLapsed(aContext);
  QueryDue(aContext);
  for (auto& [id, target] : m_targets) {
    if (!target.m_calling && aContext.m_now >= target.m_nextCall) {
      CallTarget(aContext, id);
    }
    if (!target.m_calling) {
      Due(target.m_nextCall);
    }
  }
}

void LeaseKeeper::SyncTargets(CoreContext& aContext)
{
  for (const FleetTarget& known : m_fleet.Targets()) {
    auto inserted = m_targets.try_emplace(known.m_listing.m_id);
    if (inserted.second) {
      // Spread the first calls, so that the later ones are spread as well.
      const Duration period = aContext.m_settings.m_leasePeriod;
      inserted.first->second.m_nextCall =
        aContext.m_now + Jittered(aContext.m_random, period) - period / 2;
    }
  }
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    const Target& target = it->second;
    const bool idle = !target.m_calling && target.m_tasks.empty();
    const bool gone = m_fleet.Find(it->first) == nullptr;
    it = idle && gone ? m_targets.erase(it) : std::next(it);
  }
}

void LeaseKeeper::CallTarget(CoreContext& aContext, const TargetId& aTarget)
{
  Target& target = m_targets[aTarget];
  const TimePoint until = m_session.ReserveUntil();
  if (aContext.m_now >= until) {
    // Without a session others may look after the tasks by now.
    target.m_nextCall = aContext.m_now + kFirstRetry;
    return;
  }
  std::string address;
  if (const FleetTarget* known = m_fleet.Find(aTarget)) {
    address = known->m_listing.m_address;
  }
  RenewLeases renewal;
  renewal.m_renewal.m_leaseTerm = aContext.m_settings.m_leaseTerm;
  target.m_renewing.clear();
  target.m_startedBefore.clear();
  // A call that gets no answer may have renewed. A silent target is therefore
  // only asked: its tasks' leases must lapse some time.
  const bool renew = target.m_failures == 0;
  for (const AttemptId& attempt : target.m_tasks) {
    const Task& task = m_tasks.at(attempt);
    if (address.empty()) {
      address = task.m_task.m_address;
    }
    if (task.m_disowned) {
      continue;
    }
    if (renew) {
      target.m_renewing.insert(attempt);
    }
    if (task.m_task.m_started) {
      target.m_startedBefore.insert(attempt);
    }
  }
  std::set<AttemptId> all = target.m_renewing;
  if (renew) {
    all.insert(target.m_orphans.begin(), target.m_orphans.end());
  }
  renewal.m_renewal.m_renew.assign(all.begin(), all.end());
  target.m_forgetting = std::move(target.m_forget);
  target.m_forget.clear();
  renewal.m_renewal.m_forget.assign(target.m_forgetting.begin(),
                                    target.m_forgetting.end());
  renewal.m_target = aTarget;
  renewal.m_address = std::move(address);
  renewal.m_notAfter = until;
  target.m_calling = true;
  aContext.m_actions.emplace_back(std::move(renewal));
}

LeaseKeeper::Task& LeaseKeeper::Insert(CoreContext& aContext,
                                       const TrackedTask& aTask)
{
  Task& task = m_tasks[aTask.m_attempt];
  task.m_task = aTask;
  task.m_since = aContext.m_now;
  auto inserted = m_targets.try_emplace(aTask.m_target);
  Target& target = inserted.first->second;
  if (inserted.second) {
    target.m_nextCall =
      aContext.m_now +
      Jittered(aContext.m_random, aContext.m_settings.m_leasePeriod);
    Due(target.m_nextCall);
  }
  target.m_tasks.insert(aTask.m_attempt);
  return task;
}

void LeaseKeeper::Track(CoreContext& aContext, const TrackedTask& aTask)
{
  Task& task = Insert(aContext, aTask);
  task.m_hasRoom = true;
  task.m_starting = true;
  task.m_overAt = TimePoint::max();
}

void LeaseKeeper::Adopt(CoreContext& aContext,
                        const TrackedTask& aTask,
                        TimePoint aHolderGone)
{
  if (Tracks(aTask.m_attempt)) {
    return;
  }
  const SchedulerSettings& settings = aContext.m_settings;
  Task& task = Insert(aContext, aTask);
  task.m_task.m_adopted = true;
  task.m_hasRoom = m_fleet.Find(aTask.m_target) != nullptr;
  if (task.m_hasRoom) {
    m_fleet.Take(aTask.m_target, aTask.m_demand);
  }
  // The former holder may be cut off from the table only and go on renewing
  // until its long term ends.
  task.m_notOverBefore = aHolderGone + settings.m_reserveTerm +
                         settings.m_termMargin + settings.m_leaseTerm +
                         settings.m_leaseMargin;
  Contact(aContext, task);
  task.m_mustQuery = true;
  Query(aContext, task);
}

void LeaseKeeper::Disown(const AttemptId& aAttempt)
{
  auto found = m_tasks.find(aAttempt);
  if (found != m_tasks.end()) {
    found->second.m_disowned = true;
  }
}

void LeaseKeeper::Contact(CoreContext& aContext, Task& aTask)
{
  const SchedulerSettings& settings = aContext.m_settings;
  aTask.m_overAt =
    std::max(aContext.m_now + settings.m_leaseTerm + settings.m_leaseMargin,
             aTask.m_notOverBefore);
  Due(aTask.m_overAt);
}

LeaseKeeper::Task LeaseKeeper::Remove(const AttemptId& aAttempt)
{
  auto found = m_tasks.find(aAttempt);
  Task task = std::move(found->second);
  m_tasks.erase(found);
  m_targets[task.m_task.m_target].m_tasks.erase(aAttempt);
  if (task.m_hasRoom) {
    m_fleet.GiveBack(task.m_task.m_target, task.m_task.m_demand);
  }
  return task;
}

void LeaseKeeper::Query(CoreContext& aContext, Task& aTask)
{
  std::string address = aTask.m_task.m_address;
  if (const FleetTarget* known = m_fleet.Find(aTask.m_task.m_target)) {
    address = known->m_listing.m_address;
  }
  aTask.m_querying = true;
  aContext.m_actions.emplace_back(QueryAttempt{
    aTask.m_task.m_target, std::move(address), aTask.m_task.m_attempt });
}

void LeaseKeeper::QueryDue(CoreContext& aContext)
{
  for (auto& [attempt, task] : m_tasks) {
    if (!task.m_mustQuery || task.m_querying) {
      continue;
    }
    if (aContext.m_now >= task.m_nextQuery) {
      Query(aContext, task);
    } else {
      Due(task.m_nextQuery);
    }
  }
}

void LeaseKeeper::CheckLapsed(CoreContext& aContext)
{
  std::vector<AttemptId> lapsed;
  for (const auto& [attempt, task] : m_tasks) {
    const Target& target = m_targets[task.m_task.m_target];
    // A call under way may still reach the target and renew it.
    if (task.m_starting || target.m_calling) {
      continue;
    }
    if (aContext.m_now >= task.m_overAt) {
      lapsed.push_back(attempt);
    } else {
      Due(task.m_overAt);
    }
  }
  for (const AttemptId& attempt : lapsed) {
    Lost(aContext, attempt);
  }
}

void LeaseKeeper::Started(CoreContext& aContext, const AttemptId& aAttempt)
{
  Task& task = m_tasks.at(aAttempt);
  task.m_starting = false;
  task.m_mustQuery = false;
  if (task.m_task.m_started) {
    return;
  }
  task.m_task.m_started = true;
  const TrackedTask copy = task.m_task;
  if (!task.m_disowned && m_listener != nullptr) {
    m_listener->OnTaskStarted(aContext, copy);
  }
}

void LeaseKeeper::Ended(CoreContext& aContext, const TaskReport& aReport)
{
  const Task task = Remove(aReport.m_attempt);
  if (task.m_disowned || m_listener == nullptr) {
    return;
  }
  m_targets[task.m_task.m_target].m_ended.insert(aReport.m_attempt);
  m_listener->OnTaskEnded(aContext, task.m_task, aReport);
}

void LeaseKeeper::NeverStarted(CoreContext& aContext,
                               const AttemptId& aAttempt,
                               const std::string& aWhy)
{
  const Task task = Remove(aAttempt);
  if (!task.m_disowned && m_listener != nullptr) {
    m_listener->OnTaskNeverStarted(aContext, task.m_task, aWhy);
  }
}

void LeaseKeeper::Lost(CoreContext& aContext, const AttemptId& aAttempt)
{
  const Task task = Remove(aAttempt);
  if (!task.m_disowned && m_listener != nullptr) {
    m_listener->OnTaskLost(aContext, task.m_task);
  }
}

void LeaseKeeper::HandleStartAnswered(CoreContext& aContext,
                                      const StartAnswered& aEvent)
{
  if (aEvent.m_status == StartStatus::kRefused && aEvent.m_leaving) {
    if (FleetTarget* known = m_fleet.Find(aEvent.m_target)) {
      known->m_leaving = true;
    }
  }
  auto found = m_tasks.find(aEvent.m_attempt);
  if (found == m_tasks.end() || !found->second.m_starting) {
    ++m_lateAnswers;
    return;
  }
  Task& task = found->second;
  task.m_starting = false;
  Contact(aContext, task);
  switch (aEvent.m_status) {
    case StartStatus::kStarted:
      Started(aContext, aEvent.m_attempt);
      return;
    case StartStatus::kRefused:
    case StartStatus::kNotSent:
      NeverStarted(aContext, aEvent.m_attempt, aEvent.m_detail);
      return;
    case StartStatus::kLost:
      task.m_mustQuery = true;
      Query(aContext, task);
      return;
  }
}

void LeaseKeeper::HandleTaskEnded(CoreContext& aContext,
                                  const TaskEnded& aEvent)
{
  if (!Tracks(aEvent.m_report.m_attempt)) {
    ++m_lateAnswers;
    return;
  }
  Ended(aContext, aEvent.m_report);
}

void LeaseKeeper::HandleTargetReported(CoreContext& aContext,
                                       const TargetReport& aReport)
{
  auto found = m_targets.find(aReport.m_target);
  if (found == m_targets.end() || !found->second.m_calling) {
    ++m_lateAnswers;
    return;
  }
  Target& target = found->second;
  target.m_calling = false;
  const std::set<AttemptId> started = std::move(target.m_startedBefore);
  target.m_startedBefore.clear();
  // Whatever the answer, the call may have renewed the leases until now.
  for (const AttemptId& attempt : target.m_renewing) {
    auto task = m_tasks.find(attempt);
    if (task != m_tasks.end() && !task->second.m_starting) {
      Contact(aContext, task->second);
    }
  }
  target.m_renewing.clear();
  if (!aReport.m_reached) {
    ++target.m_failures;
    target.m_forget.insert(target.m_forgetting.begin(),
                           target.m_forgetting.end());
    target.m_nextCall = aContext.m_now + BackoffDelay(aContext.m_random,
                                                      kFirstRetry,
                                                      kMostRetry,
                                                      target.m_failures);
    Due(target.m_nextCall);
    return;
  }
  // After a silence the next call renews what is left.
  target.m_nextCall = aContext.m_now;
  if (target.m_failures == 0) {
    target.m_nextCall +=
      Jittered(aContext.m_random, aContext.m_settings.m_leasePeriod);
  }
  target.m_failures = 0;
  Due(target.m_nextCall);
  NoteLeaving(aReport);
  for (const TaskReport& report : aReport.m_tasks) {
    HandleReport(aContext, aReport.m_target, report);
  }
  HandleMissing(aContext, aReport, started);
  m_targets[aReport.m_target].m_forgetting.clear();
}

void LeaseKeeper::NoteLeaving(const TargetReport& aReport)
{
  if (FleetTarget* known = m_fleet.Find(aReport.m_target)) {
    known->m_leaving = aReport.m_leaving || known->m_listing.m_leaving;
  }
}

void LeaseKeeper::HandleReport(CoreContext& aContext,
                               const TargetId& aTarget,
                               const TaskReport& aReport)
{
  auto found = m_tasks.find(aReport.m_attempt);
  if (found == m_tasks.end()) {
    HandleUntracked(aContext, aTarget, aReport);
    return;
  }
  if (aReport.m_state == AttemptState::kEnded) {
    Ended(aContext, aReport);
    return;
  }
  if (aReport.m_state != AttemptState::kRunning) {
    return;
  }
  const Task& task = found->second;
  if (task.m_controlled && !task.m_disowned) {
    Control(aContext, aReport.m_attempt, task.m_control);
  }
  Started(aContext, aReport.m_attempt);
}

void LeaseKeeper::HandleUntracked(CoreContext& aContext,
                                  const TargetId& aTarget,
                                  const TaskReport& aReport)
{
  Target& target = m_targets[aTarget];
  const AttemptId& attempt = aReport.m_attempt;
  if (target.m_ended.count(attempt) != 0 ||
      target.m_forget.count(attempt) != 0 ||
      target.m_forgetting.count(attempt) != 0) {
    return;
  }
  const AttemptOwner owner = OwnerOf(attempt);
  const bool ours = owner.m_entry == aContext.m_settings.m_entry &&
                    m_session.WasOurs(owner.m_epoch);
  if (aReport.m_state == AttemptState::kEnded) {
    const TimePoint since =
      target.m_unclaimed.emplace(attempt, aContext.m_now).first->second;
    const bool old =
      aContext.m_now - since > aContext.m_settings.m_recordRetention;
    if (ours || old) {
      m_lateAnswers += ours ? 1 : 0;
      target.m_unclaimed.erase(attempt);
      target.m_forget.insert(attempt);
    }
    return;
  }
  const bool keep = !ours && m_listener != nullptr && m_ownerMayBeDead &&
                    m_ownerMayBeDead(owner.m_entry, owner.m_epoch) &&
                    m_listener->IsKeptAlive(aReport.m_kind);
  if (keep) {
    target.m_orphans.insert(attempt);
  } else {
    target.m_orphans.erase(attempt);
  }
}

void LeaseKeeper::HandleMissing(CoreContext& aContext,
                                const TargetReport& aReport,
                                const std::set<AttemptId>& aStarted)
{
  std::set<AttemptId> reported;
  for (const TaskReport& report : aReport.m_tasks) {
    reported.insert(report.m_attempt);
  }
  Target& target = m_targets[aReport.m_target];
  for (auto it = target.m_orphans.begin(); it != target.m_orphans.end();) {
    it = reported.count(*it) == 0 ? target.m_orphans.erase(it) : std::next(it);
  }
  for (auto it = target.m_unclaimed.begin(); it != target.m_unclaimed.end();) {
    it = reported.count(it->first) == 0 ? target.m_unclaimed.erase(it)
                                        : std::next(it);
  }
  // A task that had started before the call and is not known any more was
  // forgotten by a restart of its target: it is over.
  for (const AttemptId& attempt : aStarted) {
    if (reported.count(attempt) == 0 && Tracks(attempt)) {
      Lost(aContext, attempt);
    }
  }
}

void LeaseKeeper::HandleAttemptAnswered(CoreContext& aContext,
                                        const AttemptAnswered& aEvent)
{
  auto found = m_tasks.find(aEvent.m_report.m_attempt);
  if (found == m_tasks.end()) {
    ++m_lateAnswers;
    return;
  }
  Task& task = found->second;
  task.m_querying = false;
  if (!aEvent.m_reached) {
    ++task.m_failedQueries;
    task.m_nextQuery = aContext.m_now + BackoffDelay(aContext.m_random,
                                                     kFirstRetry,
                                                     kMostRetry,
                                                     task.m_failedQueries);
    Due(task.m_nextQuery);
    return;
  }
  const AttemptId attempt = aEvent.m_report.m_attempt;
  if (aEvent.m_report.m_state == AttemptState::kEnded) {
    Ended(aContext, aEvent.m_report);
    return;
  }
  if (aEvent.m_report.m_state == AttemptState::kRunning) {
    // Renewed at once: a dead holder's lease may be about to lapse.
    Target& target = m_targets[task.m_task.m_target];
    target.m_nextCall = std::min(target.m_nextCall, aContext.m_now);
    Due(aContext.m_now);
    Started(aContext, attempt);
    return;
  }
  // The word of a target that restarted since covers only its present life,
  // and an adopted attempt may have been sent at any time before.
  const Duration upFor = aEvent.m_report.m_targetUpFor;
  const bool covers =
    upFor == Duration::max() ||
    (!task.m_task.m_adopted && upFor > aContext.m_now - task.m_since);
  if (task.m_task.m_started || !covers) {
    Lost(aContext, attempt);
  } else {
    NeverStarted(aContext, attempt, "the target did not start it");
  }
}

void LeaseKeeper::Forget(const TargetId& aTarget, const AttemptId& aAttempt)
{
  auto found = m_targets.find(aTarget);
  if (found != m_targets.end()) {
    found->second.m_ended.erase(aAttempt);
    found->second.m_forget.insert(aAttempt);
  }
}

void LeaseKeeper::Control(CoreContext& aContext,
                          const AttemptId& aAttempt,
                          TaskControl aControl)
{
  auto found = m_tasks.find(aAttempt);
  if (found == m_tasks.end()) {
    return;
  }
  Task& task = found->second;
  task.m_controlled = true;
  task.m_control = aControl;
  std::string address = task.m_task.m_address;
  if (const FleetTarget* known = m_fleet.Find(task.m_task.m_target)) {
    address = known->m_listing.m_address;
  }
  aContext.m_actions.emplace_back(ControlTask{
    task.m_task.m_target, std::move(address), aAttempt, aControl });
}

void LeaseKeeper::AskSoon(CoreContext& aContext, const TargetId& aTarget)
{
  Target& target = m_targets[aTarget];
  target.m_nextCall = aContext.m_now;
  Due(aContext.m_now);
}

bool LeaseKeeper::Tracks(const AttemptId& aAttempt) const
{
  return m_tasks.count(aAttempt) != 0;
}

const TrackedTask* LeaseKeeper::Find(const AttemptId& aAttempt) const
{
  auto found = m_tasks.find(aAttempt);
  return found == m_tasks.end() ? nullptr : &found->second.m_task;
}

} // namespace lycheestep
