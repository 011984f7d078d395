// The part of TargetManager that processes replies to hold orders: the runs and
// run ends that a target lists, restarts of targets, and failed holds.
#include <algorithm>
#include <utility>

#include "job_effects.h"
#include "run_listener.h"
#include "run_text.h"
#include "target_manager.h"

namespace lycheestep {

namespace {

// The most run ends that a target lists in one reply.
constexpr std::size_t kMaxEndsPerAnswer = 500;

// The first and the longest delay before the next hold to a target after a hold
// that failed.
constexpr Duration kInitialHoldRetry = std::chrono::milliseconds(100);
constexpr Duration kMaxHoldRetry = std::chrono::milliseconds(800);

Duration HoldRetryDelay(std::uint32_t aFailures)
{
  const Duration delay = kInitialHoldRetry * (1U << std::min(aFailures, 4U));
  return std::min(delay, kMaxHoldRetry);
}

} // namespace

void TargetManager::OnHoldAnswer(const HoldOrder& aOrder,
                                 HoldPath aPath,
                                 const HoldAnswer& aAnswer,
                                 TimePoint aNow)
{
  const auto found = m_targets.find(aOrder.m_to.m_target);
  if (found == m_targets.end()) {
    return;
  }
  TargetState& target = found->second;
  (aPath == HoldPath::kWatch ? target.m_watchHoldInFlight
                             : target.m_takeHoldInFlight) = false;
  if (aAnswer.m_status != OrderStatus::kDone) {
    OnHoldFailed(target, aOrder, aAnswer.m_status, aNow);
    return;
  }
  const WallTime knownStart = target.m_record.m_started;
  const bool otherIncarnation = knownStart.count() != 0 &&
                                aAnswer.m_started.count() != 0 &&
                                knownStart != aAnswer.m_started;
  const bool isOfOtherAddress = aOrder.m_to.m_address != target.Address();
  const bool isOfFormer =
    otherIncarnation && isOfOtherAddress && aAnswer.m_started < knownStart;
  if (otherIncarnation && !isOfFormer) {
    // The wall clock may have been set back, so that an earlier start may be
    // that of a later incarnation.
    ResetForNewIncarnation(target, aAnswer.m_started, aNow);
    return;
  }
  const bool isNotSent = aOrder.m_to.m_started.count() != 0 &&
                         aAnswer.m_started.count() != 0 &&
                         aOrder.m_to.m_started != aAnswer.m_started;
  if (isOfOtherAddress || isNotSent) {
    RetryTake(target, aOrder, aPath, aNow);
    return;
  }
  if (knownStart.count() == 0) {
    target.m_record.m_started = aAnswer.m_started;
  }
  target.m_holdFailures = 0;
  const bool answersAgain = !std::exchange(target.m_answersHolds, true);
  target.m_answeredAddress = aOrder.m_to.m_address;
  NoteEndsForgotten(target, aOrder);
  if (answersAgain) {
    UpdateReplaced(target.m_record.m_machine);
  }
  NoteClock(target, aAnswer.m_targetClock, aNow);
  ProcessEndedRuns(target, aAnswer, aNow);
  const bool taken = aPath == HoldPath::kOrders &&
                     target.m_phase == TargetPhase::kTaking &&
                     aOrder.m_to.m_fence == target.m_fence;
  ProcessListedRuns(target, aAnswer, aPath, aNow);
  if (!taken) {
    return;
  }
  if (aAnswer.m_ended.size() >= kMaxEndsPerAnswer) {
    target.m_phase = TargetPhase::kUntaken; // more run ends remain to be listed
    return;
  }
  DropAbsentRuns(target, aAnswer, aNow);
  target.m_phase = TargetPhase::kHeld;
  m_effects.Log("target-taken",
                "target=" + aOrder.m_to.m_target.Text() + " " +
                  HoldFields(target) +
                  " running=" + std::to_string(aAnswer.m_running.size()) +
                  " ended=" + std::to_string(aAnswer.m_ended.size()));
}

void TargetManager::NoteEndsForgotten(TargetState& aTarget,
                                      const HoldOrder& aOrder)
{
  if (aOrder.m_forgetEnds <= aTarget.m_lastEndForgotten) {
    return;
  }
  aTarget.m_lastEndForgotten = aOrder.m_forgetEnds;
  m_effects.Log("ends-forgotten",
                "target=" + aTarget.m_record.m_target.Text() + " " +
                  HoldFields(aTarget) +
                  " up_to=" + std::to_string(aOrder.m_forgetEnds));
}

void TargetManager::RetryTake(TargetState& aTarget,
                              const HoldOrder& aOrder,
                              HoldPath aPath,
                              TimePoint aNow)
{
  const bool wasTaking = aPath == HoldPath::kOrders &&
                         aTarget.m_phase == TargetPhase::kTaking &&
                         aOrder.m_to.m_fence == aTarget.m_fence;
  if (wasTaking) {
    MarkUncertain(aTarget, "another target answered");
    aTarget.m_retryAt = aNow + kInitialHoldRetry;
  }
}

void TargetManager::OnHoldFailed(TargetState& aTarget,
                                 const HoldOrder& aOrder,
                                 OrderStatus aStatus,
                                 TimePoint aNow)
{
  const bool mayBeExtended =
    aStatus == OrderStatus::kUnknown && aOrder.m_leaseEnd.count() > 0;
  if (mayBeExtended) {
    CountLongestLease(aTarget, aNow);
  }
  if (aOrder.m_to.m_fence != aTarget.m_fence) {
    return;
  }
  if (aTarget.m_phase == TargetPhase::kTaking) {
    aTarget.m_phase = TargetPhase::kUntaken;
  }
  if (aStatus == OrderStatus::kFenced) {
    m_needsFencingToken = true;
    MarkUncertain(aTarget, "fenced");
  }
  const bool answered = std::exchange(aTarget.m_answersHolds, false);
  if (answered) {
    UpdateReplaced(aTarget.m_record.m_machine);
  }
  if (aTarget.m_holdFailures == 0) {
    m_effects.Log("target-silent",
                  "target=" + aTarget.m_record.m_target.Text() +
                    " status=" + ToString(aStatus));
  }
  const bool mayBeElsewhere =
    aOrder.m_to.m_address == aTarget.Address() &&
    (aStatus == OrderStatus::kNotSent || aStatus == OrderStatus::kUnknown ||
     aStatus == OrderStatus::kOtherTarget);
  if (mayBeElsewhere) {
    aTarget.TryOtherAddress();
  }
  aTarget.m_retryAt = aNow + HoldRetryDelay(aTarget.m_holdFailures);
  ++aTarget.m_holdFailures;
}

void TargetManager::NoteClock(TargetState& aTarget,
                              TargetTime aClock,
                              TimePoint aNow)
{
  if (!aTarget.m_clockKnown || aTarget.m_clock < aClock) {
    aTarget.m_clockKnown = true;
    aTarget.m_clock = aClock;
    aTarget.m_clockReadAt = aNow;
  }
}

void TargetManager::ResetForNewIncarnation(TargetState& aTarget,
                                           WallTime aStarted,
                                           TimePoint aNow)
{
  m_effects.Log("target-restarted",
                "target=" + aTarget.m_record.m_target.Text() +
                  " started=" + std::to_string(aStarted.count()));
  aTarget.m_record.m_started = aStarted;
  aTarget.m_answeredAddress = NetworkAddress();
  aTarget.m_usesAnsweredAddress = false;
  aTarget.m_phase = TargetPhase::kUntaken;
  aTarget.m_clockKnown = false;
  aTarget.m_leaseEnd = TargetTime(0);
  // A start of a leader of an earlier release may still reach this process.
  aTarget.m_formerLeaseExpiry = aNow + m_settings.m_longestLease;
  aTarget.m_lastEndSeen = 0;
  aTarget.m_lastEndStored = 0;
  aTarget.m_lastEndForgotten = 0;
  aTarget.m_answersHolds = false;
  UpdateReplaced(aTarget.m_record.m_machine);
  aTarget.m_holdFailures = 0;
  aTarget.m_retryAt = aNow;
  aTarget.m_startRetryAt = aNow;
  aTarget.m_refusals = 0;
  aTarget.m_failures = FailureEvidence();
  m_committing.erase(aTarget.m_record.m_target);
  WithdrawStarts(aTarget);
}

void TargetManager::ProcessEndedRuns(TargetState& aTarget,
                                     const HoldAnswer& aAnswer,
                                     TimePoint aNow)
{
  for (const EndedTask& ended : aAnswer.m_ended) {
    if (ended.m_number <= aTarget.m_lastEndSeen) {
      continue;
    }
    aTarget.m_lastEndSeen = ended.m_number;
    const auto run = aTarget.m_runs.find(ended.m_run);
    if (run != aTarget.m_runs.end()) {
      m_stopMonitor.OnRunEnded(run->second, aNow);
    }
    DropRun(aTarget, ended.m_run);
    m_listener.OnRunEnded(aTarget.m_record.m_target, ended, aNow);
  }
}

void TargetManager::ProcessListedRuns(TargetState& aTarget,
                                      const HoldAnswer& aAnswer,
                                      HoldPath aPath,
                                      TimePoint aNow)
{
  std::set<RunName> listed;
  for (const RunningTask& task : aAnswer.m_running) {
    listed.insert(task.m_run);
    const auto run = aTarget.m_runs.find(task.m_run);
    if (run == aTarget.m_runs.end()) {
      AddUnknownRun(aTarget, task.m_run, aNow);
      continue;
    }
    run->second.m_isListed = true;
    if (!run->second.m_confirmed) {
      run->second.m_confirmed = true;
      run->second.m_confirmedAt = aNow;
      run->second.m_startedAt = std::max(run->second.m_startedAt, aNow);
    }
    if (run->second.m_percentDone != task.m_percentDone) {
      run->second.m_percentDone = task.m_percentDone;
      run->second.m_percentAt = aNow;
    }
    if (!run->second.m_ofUnknownJob) {
      m_listener.OnRunProgress(aTarget.m_record.m_target, task, aNow);
    }
  }
  if (aPath != HoldPath::kWatch) {
    return;
  }
  DropUnlistedUnknownRuns(aTarget, listed);
  if (aAnswer.m_ended.size() < kMaxEndsPerAnswer) {
    DetectMissingRuns(aTarget, listed);
  }
}

// Replies on one HoldPath arrive in the order of their holds, so a run of an
// unknown job that the newest reply does not list has ended.
void TargetManager::DropUnlistedUnknownRuns(TargetState& aTarget,
                                            const std::set<RunName>& aListed)
{
  for (auto it = aTarget.m_runs.begin(); it != aTarget.m_runs.end();) {
    const bool over =
      it->second.m_ofUnknownJob && aListed.count(it->first) == 0;
    if (over) {
      aTarget.m_used -= it->second.m_demand;
      ForgetUnknownTask(it->first.m_task);
    }
    it = over ? aTarget.m_runs.erase(it) : std::next(it);
  }
}

// Marks the target as uncertain if a run that was confirmed before the hold was
// sent is missing from the reply and its end was not reported either. A former
// leader may have read the end, and let the target forget it.
void TargetManager::DetectMissingRuns(TargetState& aTarget,
                                      const std::set<RunName>& aListed)
{
  const bool missing = std::any_of(
    aTarget.m_runs.begin(), aTarget.m_runs.end(), [&](const auto& aEntry) {
      const TargetRun& run = aEntry.second;
      return run.m_sent && run.m_confirmed &&
             run.m_confirmedAt < aTarget.m_lastHoldSent &&
             aListed.count(aEntry.first) == 0;
    });
  if (missing && aTarget.m_phase == TargetPhase::kHeld) {
    aTarget.m_fenceUsed = true;
    MarkUncertain(aTarget, "a run is missing");
  }
}

void TargetManager::AddUnknownRun(TargetState& aTarget,
                                  const RunName& aRun,
                                  TimePoint aNow)
{
  m_effects.LogNotable("run-unknown",
                       "target=" + aTarget.m_record.m_target.Text() +
                         " task=" + TaskText(aRun.m_task) +
                         " run=" + std::to_string(aRun.m_run));
  TargetRun run;
  run.m_sent = true;
  run.m_confirmed = true;
  run.m_confirmedAt = TimePoint::max();
  run.m_isListed = true;
  run.m_ofUnknownJob = true;
  RequestStop(aTarget, aRun, run, aNow);
  aTarget.m_runs.emplace(aRun, run);
  m_unknownTasks.insert(aRun.m_task);
  UpdateUnknownRuns(aTarget);
}

// No other run is sent to the target until the unknown ones have ended. The
// capacity of a target that is not listed yet becomes known later.
void TargetManager::UpdateUnknownRuns(TargetState& aTarget)
{
  for (auto& [name, run] : aTarget.m_runs) {
    if (run.m_ofUnknownJob) {
      aTarget.m_used -= run.m_demand;
      run.m_demand = aTarget.m_record.m_capacity;
      aTarget.m_used += run.m_demand;
    }
  }
}

void TargetManager::DropAbsentRuns(TargetState& aTarget,
                                   const HoldAnswer& aAnswer,
                                   TimePoint aNow)
{
  std::set<RunName> listed;
  for (const RunningTask& task : aAnswer.m_running) {
    listed.insert(task.m_run);
  }
  std::vector<RunName> absent;
  for (const auto& [name, run] : aTarget.m_runs) {
    if (run.m_sent && listed.count(name) == 0) {
      absent.push_back(name);
    }
  }
  for (const RunName& name : absent) {
    GiveUpRun(aTarget, name, "not listed by its target", aNow);
  }
}

} // namespace lycheestep
