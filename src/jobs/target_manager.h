#ifndef LYCHEESTEP_TARGET_MANAGER_H
#define LYCHEESTEP_TARGET_MANAGER_H

#include <map>
#include <set>
#include <string>

#include "job_effects.h"
#include "target_state.h"

namespace lycheestep {

class RunListener;

// What the keeper of targets needs to know.
struct TargetManagerSettings
{
  // Lease that each hold gives.
  Duration m_lease = std::chrono::seconds(8);
  // Longest lease that a target grants, with a margin.
  Duration m_longestLease = std::chrono::milliseconds(10400);
  // Longest wait of one hold for an end.
  Duration m_holdWait = std::chrono::milliseconds(1500);
};

// Takes targets, keeps their leases and the account of their room, and says
// what became of runs. Whatever is uncertain about a target (an order without
// answer, another incarnation, a new leader) is settled in one way: take it
// under a higher fencing token, list what it has, and only then go on.
class TargetManager
{
public:
  TargetManager(const TargetManagerSettings& aSettings,
                JobEffects& aEffects,
                RunListener& aListener);

  // The token under which targets are taken from now on; it only grows.
  void SetFencingToken(FencingToken aFence) { m_nextFencingToken = aFence; }

  // Leases that an earlier leader gave are over at aTime.
  void SetFormerLeaseExpiry(TimePoint aTime) { m_formerLeaseExpiry = aTime; }

  // The platform's list says this of a target, or that it is gone.
  void OnTargetListed(const TargetRecord& aRecord, TimePoint aNow);
  void OnTargetUnlisted(const TargetId& aTarget, TimePoint aNow);

  // A run that an earlier leader may have started on a target.
  void ExpectRun(const TargetId& aTarget,
                 const RunName& aRun,
                 const Resources& aDemand);

  // Takes room for a run that is about to be started.
  void Reserve(const TargetId& aTarget,
               const RunName& aRun,
               const Resources& aDemand);

  // Gives room back of a run whose start was never sent.
  void CancelReservation(const TargetId& aTarget, const RunName& aRun);

  // Sends a reserved run. False if the target can't be trusted with it any
  // more; its room is free again then.
  bool Send(const TargetId& aTarget,
            const RunName& aRun,
            const std::string& aPayload,
            const std::string& aCheckpoint,
            const std::string& aTicket,
            TimePoint aNow);

  // Stops a run wherever it is in its life on the target.
  void Stop(const TargetId& aTarget, const RunName& aRun, TimePoint aNow);

  void OnStartAnswer(const StartOrder& aOrder,
                     const OrderAnswer& aAnswer,
                     TimePoint aNow);
  void OnStopAnswer(const StopOrder& aOrder,
                    const OrderAnswer& aAnswer,
                    TimePoint aNow);
  void OnHoldAnswer(const HoldOrder& aOrder,
                    HoldPath aPath,
                    const HoldAnswer& aAnswer,
                    TimePoint aNow);

  // All ends that were reported before the last commit began are stored.
  // NoteCommitBegun marks the point.
  void NoteCommitBegun();
  void NoteCommitDone();

  // A task ended well on a target, or failed there.
  void NoteTaskDone(const TargetId& aTarget);
  void NoteTaskFailed(const TargetId& aTarget, TimePoint aNow);

  // Keeps new tasks away from a target for a while.
  void Quarantine(const TargetId& aTarget, TimePoint aNow);

  // Sends the holds that are due and gives up runs whose lease is over.
  void Tick(TimePoint aNow);

  // Someone else may have a higher token, or a target waits for a new one.
  bool NeedsFencingToken() const { return m_needsFencingToken; }

  const std::map<TargetId, TargetState>& Targets() const { return m_targets; }
  const TargetState* Find(const TargetId& aTarget) const;

  // True while some end waits to be stored.
  bool HasUnstoredEnds() const;

private:
  void Take(TargetState& aTarget, TimePoint aNow);
  void MarkUncertain(TargetState& aTarget, const char* aReason);
  void SendHold(TargetState& aTarget, TimePoint aNow);
  void NoteClock(TargetState& aTarget, TargetTime aClock, TimePoint aNow);
  void ResetForNewIncarnation(TargetState& aTarget,
                              WallTime aStarted,
                              TimePoint aNow);
  void RetireEarlierIncarnations(const TargetRecord& aRecord);
  void OnHoldFailed(TargetState& aTarget,
                    const HoldOrder& aOrder,
                    OrderStatus aStatus,
                    TimePoint aNow);
  void ProcessEndedRuns(TargetState& aTarget,
                        const HoldAnswer& aAnswer,
                        TimePoint aNow);
  void ProcessListedRuns(TargetState& aTarget,
                         const HoldAnswer& aAnswer,
                         HoldPath aPath,
                         TimePoint aNow);
  void DropUnlistedUnknownRuns(TargetState& aTarget,
                               const std::set<RunName>& aListed);
  void DetectMissingRuns(TargetState& aTarget,
                         const std::set<RunName>& aListed);
  void AddUnknownRun(TargetState& aTarget, const RunName& aRun);
  void DropSentRuns(TargetState& aTarget);
  void DropAbsentRuns(TargetState& aTarget, const HoldAnswer& aAnswer);
  void DropRun(TargetState& aTarget, const RunName& aRun);
  void DropExpiredRuns(TargetState& aTarget, TimePoint aNow);
  void ResendStops(TargetState& aTarget, TimePoint aNow);
  bool HoldIsDue(const TargetState& aTarget, TimePoint aNow) const;
  TargetTime ExtendLeaseEnd(TargetState& aTarget, TimePoint aNow) const;
  OrderAddress AddressOf(const TargetState& aTarget) const;
  static std::uint64_t LastEndToForget(const TargetState& aTarget);

  const TargetManagerSettings m_settings;
  JobEffects& m_effects;
  RunListener& m_listener;
  std::map<TargetId, TargetState> m_targets;
  // Ends seen when the commit under way began, by target.
  std::map<TargetId, std::uint64_t> m_committing;
  FencingToken m_nextFencingToken = 0;
  TimePoint m_formerLeaseExpiry;
  bool m_needsFencingToken = false;
};

} // namespace lycheestep

#endif
