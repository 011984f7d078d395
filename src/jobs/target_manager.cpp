#include "target_manager.h"

#include <algorithm>
#include <set>
#include <utility>

#include "job_effects.h"
#include "run_listener.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// How long after a stop order the next one for the same run is sent.
constexpr Duration kStopRetryInterval = std::chrono::milliseconds(400);

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
{
}

void TargetManager::OnTargetListed(const TargetRecord& aRecord, TimePoint aNow)
{
  RetireEarlierIncarnations(aRecord);
  const auto [found, isNew] = m_targets.try_emplace(aRecord.m_target);
  TargetState& target = found->second;
  if (isNew) {
    target.m_formerLeaseExpiry = m_formerLeaseExpiry;
  }
  const WallTime knownStart = target.m_record.m_started;
  const bool restarted = !isNew && knownStart.count() != 0 &&
                         aRecord.m_started.count() != 0 &&
                         knownStart != aRecord.m_started;
  if (restarted && aRecord.m_started < knownStart) {
    return; // a record of an older incarnation, delivered late
  }
  target.m_record = aRecord;
  target.m_listed = true;
  if (restarted) {
    ResetForNewIncarnation(target, aRecord.m_started, aNow);
  }
}

void TargetManager::RetireEarlierIncarnations(const TargetRecord& aRecord)
{
  if (aRecord.m_machine.Empty()) {
    return;
  }
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    TargetState& other = it->second;
    const bool earlier = it->first != aRecord.m_target &&
                         other.m_record.m_machine == aRecord.m_machine &&
                         other.m_record.m_started < aRecord.m_started;
    if (!earlier) {
      ++it;
      continue;
    }
    DropSentRuns(other);
    m_effects.Forget(it->first);
    it = m_targets.erase(it);
  }
}

void TargetManager::OnTargetUnlisted(const TargetId& aTarget,
                                     TimePoint /*aNow*/)
{
  const auto found = m_targets.find(aTarget);
  if (found != m_targets.end()) {
    found->second.m_listed = false;
  }
}

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
  order.m_to = AddressOf(target);
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
    return;
  }
  if (!run->second.m_sent) {
    DropRun(target, aRun);
    return;
  }
  run->second.m_stopRequested = true;
  ResendStops(target, aNow);
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
                                 TimePoint /*aNow*/)
{
  const auto found = m_targets.find(aOrder.m_to.m_target);
  if (found == m_targets.end()) {
    return;
  }
  TargetState& target = found->second;
  const bool current = aOrder.m_to.m_fence == target.m_fence;
  if (current && aAnswer.m_status == OrderStatus::kFenced) {
    m_needsFencingToken = true;
    MarkUncertain(target, "fenced");
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

void TargetManager::Tick(TimePoint aNow)
{
  m_needsFencingToken = false;
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    TargetState& target = it->second;
    DropExpiredRuns(target, aNow);
    const bool needed = target.m_listed || !target.m_runs.empty() ||
                        target.m_lastEndSeen != target.m_lastEndStored;
    if (!needed) {
      m_effects.Forget(it->first);
      it = m_targets.erase(it);
      continue;
    }
    const bool reachable =
      !target.m_record.m_address.empty() && target.m_retryAt <= aNow;
    if (reachable && target.m_phase == TargetPhase::kUntaken &&
        !target.m_takeHoldInFlight) {
      Take(target, aNow);
    } else if (reachable && HoldIsDue(target, aNow)) {
      SendHold(target, aNow);
    }
    ResendStops(target, aNow);
    ++it;
  }
}

Resources TargetManager::ListedCapacity() const
{
  Resources sum;
  for (const auto& [id, target] : m_targets) {
    if (target.m_listed) {
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
  order.m_to = AddressOf(aTarget);
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
}

void TargetManager::SendHold(TargetState& aTarget, TimePoint aNow)
{
  HoldOrder order;
  order.m_to = AddressOf(aTarget);
  if (aTarget.m_holdFailures == 0) {
    // An unanswered hold may have extended the lease. The next one must not
    // extend it again, or the lease of a lost target would never expire.
    order.m_leaseEnd = ExtendLeaseEnd(aTarget, aNow);
  }
  order.m_forgetEnds = LastEndToForget(aTarget);
  const bool hasUnstoredEnds = aTarget.m_lastEndSeen != aTarget.m_lastEndStored;
  order.m_wait = hasUnstoredEnds ? Duration::zero() : m_settings.m_holdWait;
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

void TargetManager::ResendStops(TargetState& aTarget, TimePoint aNow)
{
  if (aTarget.m_phase != TargetPhase::kHeld) {
    return;
  }
  for (auto& [name, run] : aTarget.m_runs) {
    if (run.m_stopRequested && aNow - run.m_stopSentAt >= kStopRetryInterval) {
      run.m_stopSentAt = aNow;
      m_effects.Stop(StopOrder{ AddressOf(aTarget), name });
    }
  }
}

// Returns the number of the last run end that the next hold allows the target
// to forget; zero if the hold allows none. Each incarnation numbers its run
// ends from the beginning, so a number meant for the former incarnation could
// make a new one under the same id forget run ends that it has not reported. A
// number is therefore sent only if the last hold succeeded and m_lastEndStored
// is higher than m_lastEndForgotten.
std::uint64_t TargetManager::LastEndToForget(const TargetState& aTarget)
{
  const bool hasNewEnds = aTarget.m_lastEndStored > aTarget.m_lastEndForgotten;
  return hasNewEnds && aTarget.m_answersHolds ? aTarget.m_lastEndStored : 0;
}

TargetTime TargetManager::ExtendLeaseEnd(TargetState& aTarget,
                                         TimePoint aNow) const
{
  const auto lease =
    std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.m_lease);
  const TargetTime end = aTarget.ClockLowerBound(aNow) + lease;
  aTarget.m_leaseEnd = std::max(aTarget.m_leaseEnd, end);
  return aTarget.m_leaseEnd;
}

OrderAddress TargetManager::AddressOf(const TargetState& aTarget) const
{
  return OrderAddress{ aTarget.m_record.m_target,
                       aTarget.m_record.m_address,
                       aTarget.m_fence };
}

} // namespace lycheestep
