#ifndef LYCHEESTEP_TARGET_MANAGER_H
#define LYCHEESTEP_TARGET_MANAGER_H

#include <map>
#include <set>
#include <string>

#include "job_effects.h"
#include "run_totals.h"
#include "stop_monitor.h"
#include "target_address.h"
#include "target_quarantine.h"
#include "target_state.h"

namespace lycheestep {

class RunListener;

// Lease and wait times of a TargetManager.
struct TargetManagerSettings
{
  // How far into the future each start and hold order extends the lease.
  Duration m_lease = std::chrono::seconds(8);
  // The longest lease that a target grants, plus a margin.
  Duration m_longestLease = std::chrono::milliseconds(10400);
  // How long a hold order waits at the target for a run to end.
  Duration m_holdWait = std::chrono::milliseconds(1500);
};

// Takes targets, extends their leases, accounts for their free capacity and
// tells a RunListener what became of each run. When the state of a target is
// uncertain (an order got no reply, another incarnation replied, a new
// leader took over), the manager takes the target under a higher fencing token,
// gets its list of runs and run ends, and only then starts further runs there.
class TargetManager
{
public:
  TargetManager(const TargetManagerSettings& aSettings,
                JobEffects& aEffects,
                RunListener& aListener);

  // Sets the fencing token under which targets are taken from now on. A caller
  // never passes a lower token than before.
  void SetFencingToken(FencingToken aFence) { m_nextFencingToken = aFence; }

  // Sets the time by which all leases granted by earlier leaders have expired.
  void SetFormerLeaseExpiry(TimePoint aTime) { m_formerLeaseExpiry = aTime; }

  // OnTargetListed takes the target's record in the platform's list;
  // OnTargetUnlisted is called when the list no longer has the target.
  void OnTargetListed(const TargetRecord& aRecord, TimePoint aNow);
  void OnTargetUnlisted(const TargetId& aTarget, TimePoint aNow);

  // Notes the address of a target to which an earlier leader gave work. Until
  // the target is listed, it gets no new runs, but it is taken and its runs are
  // stopped or watched.
  void OnTargetRemembered(const TargetAddress& aAddress);

  // Accounts for a run that an earlier leader may have started on the target.
  // aEstimate is the estimated run time of the whole task.
  void ExpectRun(const TargetId& aTarget,
                 const RunName& aRun,
                 const Resources& aDemand,
                 Duration aEstimate);

  // Reserves capacity for a run that is about to be started.
  void Reserve(const TargetId& aTarget,
               const RunName& aRun,
               const Resources& aDemand,
               Duration aEstimate);

  // Returns true if a target lists a run of the task that this leader does not
  // expect there.
  bool HasUnknownRun(const TaskName& aTask) const;

  // Frees the capacity reserved for a run whose start was never sent.
  void CancelReservation(const TargetId& aTarget, const RunName& aRun);

  // Sends the start of a reserved run. Returns false if the reservation is
  // gone, or if the target no longer accepts starts or has another process than
  // the one on which the run was placed; the capacity is free again then.
  bool Send(const TargetId& aTarget,
            const RunName& aRun,
            const std::string& aPayload,
            const std::string& aCheckpoint,
            const std::string& aTicket,
            TimePoint aNow);

  // Stops a run: drops it if its start has not been sent, otherwise sends stop
  // orders until the target lists the end of the run. Does nothing if the run
  // is neither reserved nor sent.
  void Stop(const TargetId& aTarget, const RunName& aRun, TimePoint aNow);

  // Withdraws the start of a run that no target has confirmed. A start that has
  // left is not stopped. If it is withdrawn, the run is reported as lost.
  void WithdrawStart(const TargetId& aTarget, const RunName& aRun);

  // Handle the replies to orders that were sent through JobEffects.
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

  // NoteCommitDone marks all run ends that were reported before the last call
  // of NoteCommitBegun as stored, so that targets may forget them.
  void NoteCommitBegun();
  void NoteCommitDone();

  // Is told of each task that succeeds, fails or stalls on a target.
  TargetQuarantine& Quarantine() { return m_quarantine; }

  // Takes untaken targets, sends the holds and stops that are due, drops runs
  // whose lease has expired, and removes targets that are no longer needed.
  void Tick(TimePoint aNow);

  // Returns true if a target refused an order because it had seen a higher
  // fencing token, or if a target can only be taken under a higher one.
  bool NeedsFencingToken() const { return m_needsFencingToken; }

  const std::map<TargetId, TargetState>& Targets() const { return m_targets; }
  RunTotals CountRuns() const;
  // Returns the sum of the capacities of the listed targets.
  Resources ListedCapacity() const;
  // Returns null when the target is not managed.
  const TargetState* Find(const TargetId& aTarget) const;

  // Returns true while a reported run end is not stored.
  bool HasUnstoredEnds() const;

private:
  // Sends a hold under a fencing token that no start to this target has used.
  // If there is none, makes NeedsFencingToken return true instead.
  void Take(TargetState& aTarget, TimePoint aNow);
  // Marks the target as untaken, so that it gets no starts until it has been
  // taken again. aReason goes into the log.
  void MarkUncertain(TargetState& aTarget, const char* aReason);
  // Withdraws all starts that have not left for the target.
  void WithdrawStarts(const TargetState& aTarget);
  void SendHold(TargetState& aTarget, TimePoint aNow);
  void NoteClock(TargetState& aTarget, TargetTime aClock, TimePoint aNow);
  void ResetForNewIncarnation(TargetState& aTarget,
                              WallTime aStarted,
                              TimePoint aNow);
  // Finds out which targets of the machine have been replaced by a later one.
  void UpdateReplaced(const MachineName& aMachine);
  // Returns true if a later target on the same machine is listed and answers.
  bool HasSuccessor(const TargetRecord& aRecord) const;
  // Notes up to which run end an answered hold let the target forget.
  void NoteEndsForgotten(TargetState& aTarget, const HoldOrder& aOrder);
  // Lets the target be taken again after an answer that does not count.
  void RetryTake(TargetState& aTarget,
                 const HoldOrder& aOrder,
                 HoldPath aPath,
                 TimePoint aNow);
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
  void AddUnknownRun(TargetState& aTarget, const RunName& aRun, TimePoint aNow);
  // Lets runs whose demand is unknown count as the whole capacity.
  static void UpdateUnknownRuns(TargetState& aTarget);
  // Drops all runs whose start was sent and tells the listener. aReason goes
  // into the log.
  void DropSentRuns(TargetState& aTarget, const char* aReason, TimePoint aNow);
  // Drops a run whose start was sent and tells the listener.
  void GiveUpRun(TargetState& aTarget,
                 const RunName& aRun,
                 const char* aReason,
                 TimePoint aNow);
  // Drops the sent runs that a freshly taken target does not list, and tells
  // the listener.
  void DropAbsentRuns(TargetState& aTarget,
                      const HoldAnswer& aAnswer,
                      TimePoint aNow);
  void DropRun(TargetState& aTarget, const RunName& aRun);
  // Notes that a target no longer lists an unknown run of the task.
  void ForgetUnknownTask(const TaskName& aTask);
  void DropExpiredRuns(TargetState& aTarget, TimePoint aNow);
  // Notes that the run is to be stopped.
  void RequestStop(TargetState& aTarget,
                   const RunName& aName,
                   TargetRun& aRun,
                   TimePoint aNow);
  // Sends the stops that are due, also to a target that is not taken: a stop is
  // safe whatever runs there. A target that can't be connected to gets one at a
  // time.
  void SendStops(TargetState& aTarget, TimePoint aNow);
  // Returns true if a stop was sent to the target and not reported.
  static bool IsAnyStopUnderWay(const TargetState& aTarget, TimePoint aNow);
  // Returns true if the target is listed, or may have runs.
  static bool IsNeeded(const TargetState& aTarget, TimePoint aNow);
  bool HoldIsDue(const TargetState& aTarget, TimePoint aNow) const;
  // Moves aTarget.m_leaseEnd to one lease after the target's estimated time at
  // aNow (TargetState::ClockLowerBound) and returns it. Both times are by the
  // target's clock. A lease end that is already later stays as it is. While a
  // run is unlisted, it may be on an incarnation whose clock is behind, which
  // grants the longest lease; m_formerLeaseExpiry accounts for that.
  TargetTime ExtendLeaseEnd(TargetState& aTarget, TimePoint aNow) const;
  // Counts the longest lease from aNow on while a run is unlisted. Called when
  // an order that extends the lease is made, and again when the target may have
  // carried one out, as orders wait on their way.
  void CountLongestLease(TargetState& aTarget, TimePoint aNow) const;
  OrderAddress OrderAddressOf(const TargetState& aTarget) const;
  static std::uint64_t LastEndToForget(const TargetState& aTarget);

  const TargetManagerSettings m_settings;
  JobEffects& m_effects;
  RunListener& m_listener;
  StopMonitor m_stopMonitor;
  std::map<TargetId, TargetState> m_targets;
  TargetQuarantine m_quarantine;
  // The number of the last run end processed of each target when the commit in
  // progress began. Targets whose run ends are all stored have no entry.
  std::map<TargetId, std::uint64_t> m_committing;
  // The tasks of the unknown runs on all targets, one entry for each run.
  std::multiset<TaskName> m_unknownTasks;
  FencingToken m_nextFencingToken = 0;
  TimePoint m_formerLeaseExpiry;
  bool m_needsFencingToken = false;
};

} // namespace lycheestep

#endif
