#include "target_manager.h"

#include <algorithm>

#include "job_effects.h"

namespace lycheestep {

namespace {

// The least number of holds sent in the time of one lease, also while run ends
// wait to be stored.
constexpr int kHoldsPerLease = 4;

} // namespace

TargetManager::TargetManager(const TargetManagerSettings& aSettings,
                             JobEffects& aEffects,
                             RunListener& aListener)
  : m_settings(aSettings)
  , m_effects(aEffects)
  , m_listener(aListener)
  , m_stopMonitor(aEffects)
  , m_quarantine(m_targets, aEffects)
{
}

void TargetManager::OnTargetListed(const TargetRecord& aRecord, TimePoint aNow)
{
  const auto [found, isNew] = m_targets.try_emplace(aRecord.m_target);
  TargetState& target = found->second;
  if (isNew) {
    target.m_formerLeaseExpiry = m_formerLeaseExpiry;
  }
  const WallTime knownStart = target.m_record.m_started;
  const bool restarted = !isNew && knownStart.count() != 0 &&
                         aRecord.m_started.count() != 0 &&
                         knownStart != aRecord.m_started;
  if (restarted && aRecord.m_started < knownStart && target.m_answersHolds) {
    return; // a record of an older incarnation, delivered late
  }
  const bool beginsToDrain = aRecord.m_draining && !target.m_record.m_draining;
  if (aRecord.m_address != target.m_record.m_address) {
    // The target may have moved, or the row may be wrong.
    target.m_usesAnsweredAddress = target.m_answersHolds;
  }
  target.m_record = aRecord;
  if (aRecord.m_started.count() == 0) {
    target.m_record.m_started = knownStart;
  }
  target.m_listed = true;
  UpdateUnknownRuns(target);
  if (beginsToDrain) {
    WithdrawStarts(target);
  }
  if (restarted) {
    ResetForNewIncarnation(target, aRecord.m_started, aNow);
  }
  UpdateReplaced(aRecord.m_machine);
}

// That a machine has a later target says nothing of the runs on the former one,
// which may still end them, so that they are not given up. Nor does the list
// alone say it, as others may write there.
void TargetManager::UpdateReplaced(const MachineName& aMachine)
{
  if (aMachine.Empty()) {
    return;
  }
  for (auto& [id, target] : m_targets) {
    if (target.m_record.m_machine != aMachine) {
      continue;
    }
    const bool isReplaced = HasSuccessor(target.m_record);
    if (isReplaced && !target.m_isReplaced) {
      m_effects.Log("target-replaced",
                    "target=" + id.Text() + " machine=" + aMachine.Text());
      WithdrawStarts(target);
    }
    target.m_isReplaced = isReplaced;
  }
}

bool TargetManager::HasSuccessor(const TargetRecord& aRecord) const
{
  return std::any_of(
    m_targets.begin(), m_targets.end(), [&aRecord](const auto& aEntry) {
      const TargetState& other = aEntry.second;
      return other.m_listed && other.m_answersHolds &&
             other.m_record.m_machine == aRecord.m_machine &&
             other.m_record.m_target != aRecord.m_target &&
             aRecord.m_started < other.m_record.m_started;
    });
}

void TargetManager::OnTargetRemembered(const TargetAddress& aAddress)
{
  const auto [found, isNew] = m_targets.try_emplace(aAddress.m_target);
  TargetState& target = found->second;
  if (isNew) {
    target.m_formerLeaseExpiry = m_formerLeaseExpiry;
  }
  target.m_remembered = true;
  target.m_answeredAddress = aAddress.m_address;
  if (!target.m_listed) {
    target.m_record.m_target = aAddress.m_target;
    target.m_record.m_address = aAddress.m_address;
    target.m_record.m_dataCentre = aAddress.m_dataCentre;
  }
}

void TargetManager::OnTargetUnlisted(const TargetId& aTarget,
                                     TimePoint /*aNow*/)
{
  const auto found = m_targets.find(aTarget);
  if (found != m_targets.end()) {
    found->second.m_listed = false;
    WithdrawStarts(found->second);
    UpdateReplaced(found->second.m_record.m_machine);
  }
}

void TargetManager::NoteCommitBegun()
{
  m_committing.clear();
  for (const auto& [id, target] : m_targets) {
    if (target.m_lastEndSeen != target.m_lastEndStored) {
      m_committing[id] = target.m_lastEndSeen;
    }
  }
}

void TargetManager::NoteCommitDone()
{
  for (const auto& [id, seen] : m_committing) {
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
      found->second.m_lastEndStored = seen;
    }
  }
  m_committing.clear();
}

bool TargetManager::HasUnstoredEnds() const
{
  return std::any_of(
    m_targets.begin(), m_targets.end(), [](const auto& aEntry) {
      return aEntry.second.m_lastEndSeen != aEntry.second.m_lastEndStored;
    });
}

void TargetManager::Tick(TimePoint aNow)
{
  m_needsFencingToken = false;
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    TargetState& target = it->second;
    DropExpiredRuns(target, aNow);
    if (!IsNeeded(target, aNow)) {
      m_effects.Forget(it->first);
      it = m_targets.erase(it);
      continue;
    }
    const bool reachable =
      !target.Address().IsNone() && target.m_retryAt <= aNow;
    if (reachable && target.m_phase == TargetPhase::kUntaken &&
        !target.m_takeHoldInFlight) {
      Take(target, aNow);
    } else if (reachable && HoldIsDue(target, aNow)) {
      SendHold(target, aNow);
    }
    SendStops(target, aNow);
    ++it;
  }
  m_stopMonitor.Tick(m_targets, aNow);
}

bool TargetManager::IsNeeded(const TargetState& aTarget, TimePoint aNow)
{
  const bool mayHaveRuns = aTarget.m_remembered &&
                           aTarget.m_phase != TargetPhase::kHeld &&
                           aTarget.m_formerLeaseExpiry > aNow;
  return aTarget.m_listed || mayHaveRuns || !aTarget.m_runs.empty() ||
         aTarget.m_lastEndSeen != aTarget.m_lastEndStored;
}

Resources TargetManager::ListedCapacity() const
{
  Resources sum;
  for (const auto& [id, target] : m_targets) {
    if (target.IsInService()) {
      sum += target.m_record.m_capacity;
    }
  }
  return sum;
}

const TargetState* TargetManager::Find(const TargetId& aTarget) const
{
  const auto found = m_targets.find(aTarget);
  return found != m_targets.end() ? &found->second : nullptr;
}

void TargetManager::Take(TargetState& aTarget, TimePoint aNow)
{
  const bool needsNewToken = aTarget.m_fence == 0 || aTarget.m_fenceUsed;
  if (needsNewToken && m_nextFencingToken <= aTarget.m_fence) {
    m_needsFencingToken = true;
    return;
  }
  aTarget.m_fence = std::max(aTarget.m_fence, m_nextFencingToken);
  aTarget.m_fenceUsed = false;
  aTarget.m_phase = TargetPhase::kTaking;
  aTarget.m_takeHoldInFlight = true;
  HoldOrder order;
  order.m_to = OrderAddressOf(aTarget);
  if (aTarget.m_clockKnown && aTarget.m_holdFailures == 0) {
    order.m_leaseEnd = ExtendLeaseEnd(aTarget, aNow);
  }
  m_effects.Hold(order, HoldPath::kOrders);
}

void TargetManager::MarkUncertain(TargetState& aTarget, const char* aReason)
{
  aTarget.m_phase = TargetPhase::kUntaken;
  m_effects.Log("target-uncertain",
                "target=" + aTarget.m_record.m_target.Text() + " reason=\"" +
                  aReason + "\"");
  WithdrawStarts(aTarget);
}

void TargetManager::WithdrawStarts(const TargetState& aTarget)
{
  const bool anyMayWait = std::any_of(
    aTarget.m_runs.begin(), aTarget.m_runs.end(), [](const auto& aRun) {
      return aRun.second.m_sent && !aRun.second.m_confirmed;
    });
  if (anyMayWait) {
    m_effects.Withdraw(
      WithdrawOrder{ aTarget.m_record.m_target, std::nullopt });
  }
}

void TargetManager::SendHold(TargetState& aTarget, TimePoint aNow)
{
  HoldOrder order;
  order.m_to = OrderAddressOf(aTarget);
  if (aTarget.m_holdFailures == 0) {
    // An unanswered hold may have extended the lease. The next one must not
    // extend it again, or the lease of a lost target would never expire.
    order.m_leaseEnd = ExtendLeaseEnd(aTarget, aNow);
  }
  order.m_forgetEnds = LastEndToForget(aTarget);
  // Until the target may forget its ends, there is nothing to wait for.
  const bool hasEnds = aTarget.m_lastEndSeen != aTarget.m_lastEndStored ||
                       aTarget.m_lastEndStored > aTarget.m_lastEndForgotten;
  const bool waits = !hasEnds || order.m_forgetEnds > 0;
  order.m_wait = waits ? m_settings.m_holdWait : Duration::zero();
  aTarget.m_watchHoldInFlight = true;
  aTarget.m_lastHoldSent = aNow;
  m_effects.Hold(order, HoldPath::kWatch);
}

bool TargetManager::HoldIsDue(const TargetState& aTarget, TimePoint aNow) const
{
  if (aTarget.m_phase != TargetPhase::kHeld || aTarget.m_watchHoldInFlight) {
    return false;
  }
  const bool hasUnstoredEnds = aTarget.m_lastEndSeen != aTarget.m_lastEndStored;
  const Duration maxInterval = m_settings.m_lease / kHoldsPerLease;
  return !hasUnstoredEnds || aNow - aTarget.m_lastHoldSent >= maxInterval;
}

// Returns the number of the last run end that the next hold allows the target
// to forget; zero if the hold allows none. Each process numbers its run ends
// from the beginning, so the number counts for the process alone that the hold
// names.
std::uint64_t TargetManager::LastEndToForget(const TargetState& aTarget)
{
  const bool hasNewEnds = aTarget.m_lastEndStored > aTarget.m_lastEndForgotten;
  const bool namesProcess = aTarget.m_record.m_started.count() != 0;
  return hasNewEnds && namesProcess ? aTarget.m_lastEndStored : 0;
}

TargetTime TargetManager::ExtendLeaseEnd(TargetState& aTarget,
                                         TimePoint aNow) const
{
  const auto lease =
    std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.m_lease);
  const TargetTime end = aTarget.ClockLowerBound(aNow) + lease;
  aTarget.m_leaseEnd = std::max(aTarget.m_leaseEnd, end);
  CountLongestLease(aTarget, aNow);
  return aTarget.m_leaseEnd;
}

void TargetManager::CountLongestLease(TargetState& aTarget,
                                      TimePoint aNow) const
{
  if (aTarget.HasUnlistedStart()) {
    aTarget.m_formerLeaseExpiry =
      std::max(aTarget.m_formerLeaseExpiry, aNow + m_settings.m_longestLease);
  }
}

OrderAddress TargetManager::OrderAddressOf(const TargetState& aTarget) const
{
  return OrderAddress{ aTarget.m_record.m_target,
                       aTarget.Address(),
                       aTarget.m_fence,
                       aTarget.m_record.m_started };
}

} // namespace lycheestep
