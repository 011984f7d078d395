// The part of TargetManager that accounts for runs: reserves their capacity,
// sends their starts, and drops those that are over.
#include <algorithm>
#include <vector>

#include "job_effects.h"
#include "run_listener.h"
#include "run_text.h"
#include "target_manager.h"

namespace lycheestep {

namespace {

// The delay before the next start to a target that refused one. It doubles with
// each further refusal in a row, at most kMaxDelayDoublings times: work must
// not wait for seconds beside a target that takes starts again.
constexpr Duration kRefusedStartDelay = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxDelayDoublings = 2;

} // namespace

void TargetManager::ExpectRun(const TargetId& aTarget,
                              const RunName& aRun,
                              const Resources& aDemand,
                              Duration aEstimate)
{
  const auto [found, isNew] = m_targets.try_emplace(aTarget);
  TargetState& target = found->second;
  if (isNew) {
    target.m_record.m_target = aTarget;
    target.m_formerLeaseExpiry = m_formerLeaseExpiry;
  }
  TargetRun run;
  run.m_demand = aDemand;
  run.m_estimate = aEstimate;
  run.m_sent = true;
  if (target.m_runs.emplace(aRun, run).second) {
    target.m_used += aDemand;
  }
}

void TargetManager::Reserve(const TargetId& aTarget,
                            const RunName& aRun,
                            const Resources& aDemand,
                            Duration aEstimate)
{
  TargetState& target = m_targets.at(aTarget);
  TargetRun run;
  run.m_demand = aDemand;
  run.m_process = target.m_record.m_started;
  run.m_estimate = aEstimate;
  if (target.m_runs.emplace(aRun, run).second) {
    target.m_used += aDemand;
  }
}

bool TargetManager::HasUnknownRun(const TaskName& aTask) const
{
  return m_unknownTasks.count(aTask) > 0;
}

void TargetManager::ForgetUnknownTask(const TaskName& aTask)
{
  const auto found = m_unknownTasks.find(aTask);
  if (found != m_unknownTasks.end()) {
    m_unknownTasks.erase(found);
  }
}

void TargetManager::CancelReservation(const TargetId& aTarget,
                                      const RunName& aRun)
{
  const auto found = m_targets.find(aTarget);
  if (found != m_targets.end()) {
    DropRun(found->second, aRun);
  }
}

bool TargetManager::Send(const TargetId& aTarget,
                         const RunName& aRun,
                         const std::string& aPayload,
                         const std::string& aCheckpoint,
                         const std::string& aTicket,
                         TimePoint aNow)
{
  const auto found = m_targets.find(aTarget);
  if (found == m_targets.end()) {
    return false;
  }
  TargetState& target = found->second;
  const auto run = target.m_runs.find(aRun);
  if (run == target.m_runs.end()) {
    return false;
  }
  const bool isSameProcess = run->second.m_process == target.m_record.m_started;
  if (!target.TakesWork(aNow) || !isSameProcess) {
    DropRun(target, aRun);
    return false;
  }
  StartOrder order;
  order.m_to = OrderAddressOf(target);
  order.m_run = aRun;
  order.m_payload = aPayload;
  order.m_checkpoint = aCheckpoint;
  order.m_ticket = aTicket;
  run->second.m_sent = true;
  order.m_leaseEnd = ExtendLeaseEnd(target, aNow);
  target.m_fenceUsed = true;
  run->second.m_startedAt = aNow;
  m_effects.Start(order);
  return true;
}

RunTotals TargetManager::CountRuns() const
{
  RunTotals totals;
  for (const auto& [id, target] : m_targets) {
    ++totals.m_targets;
    totals.m_heldTargets += target.m_phase == TargetPhase::kHeld ? 1 : 0;
    const bool hasAddress = !target.Address().IsNone();
    for (const auto& [name, run] : target.m_runs) {
      totals.m_runs += run.m_sent ? 1 : 0;
      totals.m_withoutAddress += run.m_sent && !hasAddress ? 1 : 0;
      totals.m_toStop += run.m_stop.m_isRequested ? 1 : 0;
    }
  }
  return totals;
}

void TargetManager::WithdrawStart(const TargetId& aTarget, const RunName& aRun)
{
  const TargetState* target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  const auto run = target->m_runs.find(aRun);
  const bool mayWait = run != target->m_runs.end() && run->second.m_sent &&
                       !run->second.m_confirmed;
  if (mayWait) {
    m_effects.Withdraw(WithdrawOrder{ aTarget, aRun });
  }
}

void TargetManager::OnStartAnswer(const StartOrder& aOrder,
                                  const OrderAnswer& aAnswer,
                                  TimePoint aNow)
{
  const auto found = m_targets.find(aOrder.m_to.m_target);
  if (found == m_targets.end()) {
    return;
  }
  TargetState& target = found->second;
  const bool mayBeDone = aAnswer.m_status == OrderStatus::kDone ||
                         aAnswer.m_status == OrderStatus::kUnknown;
  if (mayBeDone) {
    CountLongestLease(target, aNow);
  }
  const auto run = target.m_runs.find(aOrder.m_run);
  const bool current = aOrder.m_to.m_fence == target.m_fence &&
                       target.m_phase == TargetPhase::kHeld;
  if (current && aAnswer.m_status == OrderStatus::kUnknown) {
    // The connection sends no further starts under the token of an unanswered
    // start, even if the target has listed the run.
    MarkUncertain(target, "no answer to a start");
    return;
  }
  if (!current || run == target.m_runs.end() || run->second.m_confirmed) {
    // The target's list of runs has settled this run, or will when the target
    // is taken.
    return;
  }
  switch (aAnswer.m_status) {
    case OrderStatus::kDone:
      run->second.m_confirmed = true;
      run->second.m_confirmedAt = aNow;
      target.m_refusals = 0;
      return;
    case OrderStatus::kFenced:
      m_needsFencingToken = true;
      MarkUncertain(target, "fenced");
      return;
    case OrderStatus::kOtherTarget:
      MarkUncertain(target, "another incarnation answered");
      return;
    case OrderStatus::kNoRoom:
      MarkUncertain(target, "target reports less free capacity than accounted");
      break;
    case OrderStatus::kLeaseOver: // starts wait there for too long
    case OrderStatus::kUnhealthy:
    case OrderStatus::kNotSent:
      target.m_startRetryAt =
        aNow + kRefusedStartDelay *
                 (1U << std::min(target.m_refusals, kMaxDelayDoublings));
      ++target.m_refusals;
      break;
    default:
      break;
  }
  DropRun(target, aOrder.m_run);
  m_listener.OnRunLost(aOrder.m_to.m_target, aOrder.m_run, aAnswer.m_status);
}

void TargetManager::DropSentRuns(TargetState& aTarget,
                                 const char* aReason,
                                 TimePoint aNow)
{
  std::vector<RunName> sent;
  for (const auto& [name, run] : aTarget.m_runs) {
    if (run.m_sent) {
      sent.push_back(name);
    }
  }
  for (const RunName& name : sent) {
    GiveUpRun(aTarget, name, aReason, aNow);
  }
}

void TargetManager::GiveUpRun(TargetState& aTarget,
                              const RunName& aRun,
                              const char* aReason,
                              TimePoint aNow)
{
  const TargetId& target = aTarget.m_record.m_target;
  const auto leaseLeft = ToMilliseconds(aTarget.LeaseExpiry() - aNow);
  const std::string answered =
    aTarget.m_clockKnown
      ? std::to_string(ToMilliseconds(aNow - aTarget.m_clockReadAt))
      : "never";
  m_effects.LogNotable("run-given-up",
                       RunFields(aRun, target) + " reason=\"" + aReason +
                         "\" " + HoldFields(aTarget) +
                         " lease_left_ms=" + std::to_string(leaseLeft) +
                         " answered_ms_ago=" + answered);
  DropRun(aTarget, aRun);
  m_listener.OnRunLost(target, aRun, OrderStatus::kUnknown);
}

void TargetManager::DropRun(TargetState& aTarget, const RunName& aRun)
{
  const auto found = aTarget.m_runs.find(aRun);
  if (found != aTarget.m_runs.end()) {
    aTarget.m_used -= found->second.m_demand;
    if (found->second.m_ofUnknownJob) {
      ForgetUnknownTask(aRun.m_task);
    }
    aTarget.m_runs.erase(found);
  }
}

void TargetManager::DropExpiredRuns(TargetState& aTarget, TimePoint aNow)
{
  const bool anySent =
    std::any_of(aTarget.m_runs.begin(),
                aTarget.m_runs.end(),
                [](const auto& aRun) { return aRun.second.m_sent; });
  if (!anySent || aTarget.LeaseExpiry() > aNow) {
    return;
  }
  MarkUncertain(aTarget, "lease expired");
  aTarget.m_fenceUsed = true;
  DropSentRuns(aTarget, "lease expired", aNow);
}

} // namespace lycheestep
