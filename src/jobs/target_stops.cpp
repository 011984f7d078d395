// The part of TargetManager that stops runs.
#include <algorithm>

#include "job_effects.h"
#include "run_text.h"
#include "target_manager.h"

namespace lycheestep {

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
    m_effects.LogNotable("stop-without-run", RunFields(aRun, aTarget));
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

void TargetManager::OnStopAnswer(const StopOrder& aOrder,
                                 const OrderAnswer& aAnswer,
                                 TimePoint aNow)
{
  const auto found = m_targets.find(aOrder.m_to.m_target);
  if (found == m_targets.end()) {
    return;
  }
  TargetState& target = found->second;
  if (aOrder.m_route == OrderRoute::kUsual) {
    target.m_isConnected = aAnswer.m_status != OrderStatus::kNotSent;
  }
  const auto run = target.m_runs.find(aOrder.m_run);
  if (run != target.m_runs.end()) {
    run->second.m_stop.NoteAnswer(aOrder.m_route, aAnswer.m_status, aNow);
  }
  if (aAnswer.m_status == OrderStatus::kWithdrawn) {
    return; // a later stop of the run takes its place, or it never started
  }
  if (aAnswer.m_status != OrderStatus::kDone) {
    m_effects.LogNotable("stop-refused",
                         RunFields(aOrder.m_run, aOrder.m_to.m_target) +
                           " status=" + ToString(aAnswer.m_status) +
                           " route=" + ToString(aOrder.m_route));
  }
  const bool current = aOrder.m_to.m_fence >= target.m_fence;
  if (current && aAnswer.m_status == OrderStatus::kFenced) {
    m_needsFencingToken = true;
    MarkUncertain(target, "fenced");
  }
}

void TargetManager::RequestStop(TargetState& aTarget,
                                const RunName& aName,
                                TargetRun& aRun,
                                TimePoint aNow)
{
  if (aRun.m_stop.m_isRequested) {
    return;
  }
  aRun.m_stop.m_isRequested = true;
  aRun.m_stop.m_requestedAt = aNow;
  m_effects.LogNotable("stop-requested",
                       RunFields(aName, aTarget.m_record.m_target) +
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
  if (to.m_address.IsNone() || to.m_fence == 0) {
    return;
  }
  bool maySend = aTarget.m_isConnected || !IsAnyStopUnderWay(aTarget, aNow);
  for (auto& [name, run] : aTarget.m_runs) {
    if (maySend && run.m_stop.IsDue(aNow)) {
      run.m_stop.NoteSent(aNow);
      m_effects.Stop(StopOrder{ to, name });
      maySend = aTarget.m_isConnected;
    }
    if (run.m_stop.IsDueByAnotherHost(aTarget.m_isConnected, aNow)) {
      const std::uint32_t earlier = run.m_stop.m_otherHostCount;
      run.m_stop.NoteSentByAnotherHost(aNow);
      m_effects.Stop(StopOrder{ to, name, OrderRoute::kAnotherHost, earlier });
    }
  }
}

bool TargetManager::IsAnyStopUnderWay(const TargetState& aTarget,
                                      TimePoint aNow)
{
  return std::any_of(
    aTarget.m_runs.begin(), aTarget.m_runs.end(), [aNow](const auto& aRun) {
      return aRun.second.m_stop.IsUnderWay(aNow);
    });
}

} // namespace lycheestep
