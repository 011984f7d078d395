// The part of TargetManager that accounts for runs: reserves their capacity,
// sends their starts and stops, drops those that are over, and quarantines the
// targets on which they fail.
#include <algorithm>
#include <vector>

#include "job_effects.h"
#include "run_listener.h"
#include "run_text.h"
#include "target_manager.h"

namespace lycheestep {

namespace {

// A stop that failed is sent again after this time.
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(400);

// A stop without any report counts as lost after this time. It is longer than
// the timeout of an order.
constexpr Duration kStopReportTimeout = std::chrono::milliseconds(1500);

// A run whose target took the stop ends within 0.9 s. If it is not listed as
// ended after this time, the stop is sent again.
constexpr Duration kStopEndTimeout = std::chrono::seconds(2);

// Returns true if no stop of the run is on its way and one has to be sent.
bool StopIsDue(const TargetRun& aRun, TimePoint aNow)
{
  if (!aRun.m_stopRequested || aRun.m_stopsSent == 0) {
    return aRun.m_stopRequested;
  }
  if (!aRun.m_stopAnswer) {
    return aNow - aRun.m_stopSentAt >= kStopReportTimeout;
  }
  const bool taken = *aRun.m_stopAnswer == OrderStatus::kDone;
  return aNow - aRun.m_stopAnsweredAt >=
         (taken ? kStopEndTimeout : kStopRetryInterval);
}

// Quarantine of a target that refused a start. It doubles with each further
// refusal in a row, at most kMaxQuarantineDoublings times.
constexpr Duration kRefusalQuarantine = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxQuarantineDoublings = 4;

// A target on which this many tasks failed in a row is quarantined. The time
// doubles with each further failure, at most kMaxQuarantineDoublings times.
constexpr std::uint32_t kFailuresBeforeQuarantine = 2;
constexpr Duration kFailureQuarantine = std::chrono::milliseconds(1500);

// Quarantine of a target on which a task made no progress.
constexpr Duration kStallQuarantine = std::chrono::seconds(4);

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
  run.m_estimate = aEstimate;
  if (target.m_runs.emplace(aRun, run).second) {
    target.m_used += aDemand;
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
  if (!target.TakesWork(aNow)) {
    DropRun(target, aRun);
    return false;
  }
  StartOrder order;
  order.m_to = OrderAddressOf(target);
  order.m_run = aRun;
  order.m_payload = aPayload;
  order.m_checkpoint = aCheckpoint;
  order.m_ticket = aTicket;
  order.m_leaseEnd = ExtendLeaseEnd(target, aNow);
  target.m_fenceUsed = true;
  run->second.m_sent = true;
  run->second.m_startedAt = aNow;
  m_effects.Start(order);
  return true;
}

void TargetManager::Stop(const TargetId& aTarget,
                         const RunName& aRun,
                         TimePoint aNow)
{
  const auto found = m_targets.find(aTarget);
  if (found == m_targets.end()) {
    return;
  }
  TargetState& target = found->second;
  const auto run = target.m_runs.find(aRun);
  if (run == target.m_runs.end()) {
    m_effects.Log("stop-without-run",
                  "task=" + TaskText(aRun.m_task) + " run=" +
                    std::to_string(aRun.m_run) + " target=" + aTarget.Text());
    return;
  }
  if (!run->second.m_sent) {
    DropRun(target, aRun);
    return;
  }
  RequestStop(target, aRun, run->second, aNow);
  const bool mayWait = !run->second.m_confirmed;
  if (target.m_phase == TargetPhase::kHeld) {
    SendStops(target, aNow);
  }
  if (mayWait) {
    // The stop may go another way than the start, or may not be sent yet.
    m_effects.Withdraw(WithdrawOrder{ aTarget, aRun });
  }
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
      target.m_quarantinedUntil =
        aNow + kRefusalQuarantine *
                 (1U << std::min(target.m_refusals, kMaxQuarantineDoublings));
      ++target.m_refusals;
      break;
    default:
      break;
  }
  DropRun(target, aOrder.m_run);
  m_listener.OnRunLost(aOrder.m_to.m_target, aOrder.m_run, aAnswer.m_status);
}

void TargetManager::OnStopAnswer(const StopOrder& aOrder,
                                 const OrderAnswer& aAnswer,
                                 TimePoint aNow)
{
  const auto found = m_targets.find(aOrder.m_to.m_target);
  if (found == m_targets.end()) {
    return;
  }
  TargetState& target = found->second;
  target.m_isConnected = aAnswer.m_status != OrderStatus::kNotSent;
  const auto run = target.m_runs.find(aOrder.m_run);
  if (run != target.m_runs.end()) {
    run->second.m_stopAnswer = aAnswer.m_status;
    run->second.m_stopAnsweredAt = aNow;
  }
  if (aAnswer.m_status == OrderStatus::kWithdrawn) {
    return; // a later stop of the run takes its place, or it never started
  }
  if (aAnswer.m_status != OrderStatus::kDone) {
    m_effects.Log("stop-refused",
                  "task=" + TaskText(aOrder.m_run.m_task) +
                    " run=" + std::to_string(aOrder.m_run.m_run) +
                    " target=" + aOrder.m_to.m_target.Text() +
                    " status=" + ToString(aAnswer.m_status));
  }
  const bool current = aOrder.m_to.m_fence >= target.m_fence;
  if (current && aAnswer.m_status == OrderStatus::kFenced) {
    m_needsFencingToken = true;
    MarkUncertain(target, "fenced");
  }
}

void TargetManager::NoteTaskDone(const TargetId& aTarget)
{
  const auto found = m_targets.find(aTarget);
  if (found != m_targets.end()) {
    found->second.m_consecutiveFailures = 0;
  }
}

void TargetManager::NoteTaskFailed(const TargetId& aTarget, TimePoint aNow)
{
  const auto found = m_targets.find(aTarget);
  if (found == m_targets.end()) {
    return;
  }
  TargetState& target = found->second;
  ++target.m_consecutiveFailures;
  if (target.m_consecutiveFailures < kFailuresBeforeQuarantine) {
    return;
  }
  const std::uint32_t doublings =
    target.m_consecutiveFailures - kFailuresBeforeQuarantine;
  target.m_quarantinedUntil =
    aNow +
    kFailureQuarantine * (1U << std::min(doublings, kMaxQuarantineDoublings));
  m_effects.Log("target-rests",
                "target=" + aTarget.Text() + " failures_in_a_row=" +
                  std::to_string(target.m_consecutiveFailures));
}

void TargetManager::Quarantine(const TargetId& aTarget, TimePoint aNow)
{
  const auto found = m_targets.find(aTarget);
  if (found != m_targets.end()) {
    found->second.m_quarantinedUntil = aNow + kStallQuarantine;
  }
}

void TargetManager::DropSentRuns(TargetState& aTarget)
{
  std::vector<RunName> sent;
  for (const auto& [name, run] : aTarget.m_runs) {
    if (run.m_sent) {
      sent.push_back(name);
    }
  }
  for (const RunName& name : sent) {
    DropRun(aTarget, name);
    m_listener.OnRunLost(
      aTarget.m_record.m_target, name, OrderStatus::kUnknown);
  }
}

void TargetManager::DropRun(TargetState& aTarget, const RunName& aRun)
{
  const auto found = aTarget.m_runs.find(aRun);
  if (found != aTarget.m_runs.end()) {
    aTarget.m_used -= found->second.m_demand;
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
  DropSentRuns(aTarget);
}

void TargetManager::RequestStop(TargetState& aTarget,
                                const RunName& aName,
                                TargetRun& aRun,
                                TimePoint aNow)
{
  if (aRun.m_stopRequested) {
    return;
  }
  aRun.m_stopRequested = true;
  aRun.m_stopRequestedAt = aNow;
  m_effects.Log("stop-requested",
                "task=" + TaskText(aName.m_task) +
                  " run=" + std::to_string(aName.m_run) +
                  " target=" + aTarget.m_record.m_target.Text() +
                  " phase=" + ToString(aTarget.m_phase) +
                  " listed=" + (aTarget.m_listed ? "yes" : "no"));
}

void TargetManager::SendStops(TargetState& aTarget, TimePoint aNow)
{
  OrderAddress to = OrderAddressOf(aTarget);
  const bool isUntaken = aTarget.m_phase == TargetPhase::kUntaken;
  if (isUntaken && !aTarget.m_takeHoldInFlight) {
    // No lower token will be used to take the target.
    to.m_fence = std::max(to.m_fence, m_nextFencingToken);
  }
  if (to.m_address.empty() || to.m_fence == 0) {
    return;
  }
  bool maySend = aTarget.m_isConnected || !IsAnyStopUnderWay(aTarget, aNow);
  for (auto& [name, run] : aTarget.m_runs) {
    if (maySend && StopIsDue(run, aNow)) {
      run.m_stopSentAt = aNow;
      run.m_stopAnswer.reset();
      ++run.m_stopsSent;
      m_effects.Stop(StopOrder{ to, name });
      maySend = aTarget.m_isConnected;
    }
  }
}

bool TargetManager::IsAnyStopUnderWay(const TargetState& aTarget,
                                      TimePoint aNow)
{
  return std::any_of(
    aTarget.m_runs.begin(), aTarget.m_runs.end(), [aNow](const auto& aRun) {
      const TargetRun& run = aRun.second;
      return run.m_stopsSent > 0 && !run.m_stopAnswer &&
             aNow - run.m_stopSentAt < kStopReportTimeout;
    });
}

} // namespace lycheestep
