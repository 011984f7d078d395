#ifndef LYCHEESTEP_LEASE_KEEPER_H
#define LYCHEESTEP_LEASE_KEEPER_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core_context.h"
#include "lycheestep/event.h"
#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class Fleet;
class SessionKeeper;

// One attempt that this host looks after at a target.
struct TrackedTask
{
  AttemptId m_attempt;
  RequestId m_request;
  KindName m_kind;
  TargetId m_target;
  std::string m_address;
  Resources m_demand;
  // Position among the tasks of a gang or service.
  int m_index = 0;
  // True when it was taken over from another host's record.
  bool m_adopted = false;
  // True once the target said that it started.
  bool m_started = false;
};

// Told what became of tracked tasks. Exactly one of OnTaskEnded,
// OnTaskNeverStarted and OnTaskLost is called for each.
class TaskListener
{
public:
  virtual ~TaskListener() = default;

  // The target said for the first time that the task runs.
  virtual void OnTaskStarted(CoreContext& aContext,
                             const TrackedTask& aTask) = 0;

  // The task ended with the whole report. The target keeps the result until
  // LeaseKeeper::Forget.
  virtual void OnTaskEnded(CoreContext& aContext,
                           const TrackedTask& aTask,
                           const TaskReport& aReport) = 0;

  // The task did not start and never will.
  virtual void OnTaskNeverStarted(CoreContext& aContext,
                                  const TrackedTask& aTask,
                                  const std::string& aWhy) = 0;

  // The target can't be reached and the lease lapsed, margin included: the
  // task may have run, is over, and its result is lost. A repeatable one may
  // be started elsewhere.
  virtual void OnTaskLost(CoreContext& aContext, const TrackedTask& aTask) = 0;

  // Whether a dead host's task of that kind is to be kept alive by renewal
  // alone while its record can't be read. Must be false for repeatable kinds:
  // they may be started again after their lease lapsed.
  virtual bool IsKeptAlive(const KindName& aKind) = 0;
};

// Looks after running tasks: renews all leases of a target in one call each
// m_leasePeriod, matches answers to attempts, and finds out what became of
// tasks whose target went silent. Every target is asked each m_leasePeriod,
// also without own tasks there, so that tasks of dead hosts are seen.
class LeaseKeeper
{
public:
  LeaseKeeper(Fleet& aFleet, SessionKeeper& aSession);

  void SetListener(TaskListener* aListener) { m_listener = aListener; }

  // Sends what is due.
  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const;

  // Looks after a task whose room was taken by Fleet::Take, from the moment
  // its StartTask is sent; gives the room back when it is over.
  void Track(CoreContext& aContext, const TrackedTask& aTask);

  // Looks after a dead host's task named by its record: takes its room and
  // asks its target for it. aHolderGone is the moment from which its former
  // holder's session is known to be ended.
  void Adopt(CoreContext& aContext,
             const TrackedTask& aTask,
             TimePoint aHolderGone);

  // The record of a task went to another host, which looks after the task
  // from now on: this host renews it no more and tells nobody of it, but
  // counts its room until it is over.
  void Disown(const AttemptId& aAttempt);

  // The answers of targets.
  void HandleStartAnswered(CoreContext& aContext, const StartAnswered& aEvent);
  void HandleTaskEnded(CoreContext& aContext, const TaskEnded& aEvent);
  void HandleTargetReported(CoreContext& aContext, const TargetReport& aReport);
  void HandleAttemptAnswered(CoreContext& aContext,
                             const AttemptAnswered& aEvent);

  // The result is safe: the target may forget the attempt.
  void Forget(const TargetId& aTarget, const AttemptId& aAttempt);

  // Asks the target to stop, checkpoint or throttle the task, again with
  // each later report that still shows it, until it has ended.
  void Control(CoreContext& aContext,
               const AttemptId& aAttempt,
               TaskControl aControl);

  // Asks the target for a report soon.
  void AskSoon(CoreContext& aContext, const TargetId& aTarget);

  // True when the attempt is looked after here.
  bool Tracks(const AttemptId& aAttempt) const;
  const TrackedTask* Find(const AttemptId& aAttempt) const;
  std::size_t Running() const { return m_tasks.size(); }

  // Answers about attempts that aren't looked after here (any more).
  std::uint64_t LateAnswers() const { return m_lateAnswers; }

  // Tells whether an entry host may be dead and whether its records can't be
  // read now, so that its tasks are kept alive by renewal alone.
  using OwnerMayBeDead =
    std::function<bool(const EntryId& aEntry, std::uint64_t aEpoch)>;
  void SetOwnerMayBeDead(OwnerMayBeDead aPredicate)
  {
    m_ownerMayBeDead = std::move(aPredicate);
  }

private:
  struct Task
  {
    TrackedTask m_task;
    // When its start was sent, or its adoption began.
    TimePoint m_since;
    // The task is over at this time if nothing reaches its target any more:
    // the end of the last call that could have renewed it, lease and margin.
    TimePoint m_overAt;
    // Never over before this time: the former holder may renew until then.
    TimePoint m_notOverBefore;
    // True while the answer to the start is awaited.
    bool m_starting = false;
    bool m_disowned = false;
    // True when its room stands in the fleet.
    bool m_hasRoom = false;
    // The target has to be asked for it.
    bool m_mustQuery = false;
    bool m_querying = false;
    int m_failedQueries = 0;
    TimePoint m_nextQuery;
    bool m_controlled = false;
    TaskControl m_control = TaskControl::kStop;
  };

  // One target's calls.
  struct Target
  {
    bool m_calling = false;
    TimePoint m_nextCall;
    int m_failures = 0;
    std::set<AttemptId> m_tasks;
    // Ended attempts whose results are not safe yet.
    std::set<AttemptId> m_ended;
    // Ended attempts to be forgotten with the next call, and those that the
    // call under way names.
    std::set<AttemptId> m_forget;
    std::set<AttemptId> m_forgetting;
    // Tasks that the call under way renews, and those that had started when
    // it was sent.
    std::set<AttemptId> m_renewing;
    std::set<AttemptId> m_startedBefore;
    // Tasks of dead hosts to keep alive.
    std::set<AttemptId> m_orphans;
    // Ended attempts of unknown owners, with the time they were first seen.
    std::map<AttemptId, TimePoint> m_unclaimed;
  };

  void SyncTargets(CoreContext& aContext);
  void CallTarget(CoreContext& aContext, const TargetId& aTarget);
  void Query(CoreContext& aContext, Task& aTask);
  void QueryDue(CoreContext& aContext);
  void CheckLapsed(CoreContext& aContext);
  void HandleReport(CoreContext& aContext,
                    const TargetId& aTarget,
                    const TaskReport& aReport);
  void HandleUntracked(CoreContext& aContext,
                       const TargetId& aTarget,
                       const TaskReport& aReport);
  void HandleMissing(CoreContext& aContext,
                     const TargetReport& aReport,
                     const std::set<AttemptId>& aStarted);
  void NoteLeaving(const TargetReport& aReport);
  void Started(CoreContext& aContext, const AttemptId& aAttempt);
  void Ended(CoreContext& aContext, const TaskReport& aReport);
  void NeverStarted(CoreContext& aContext,
                    const AttemptId& aAttempt,
                    const std::string& aWhy);
  void Lost(CoreContext& aContext, const AttemptId& aAttempt);
  void Contact(CoreContext& aContext, Task& aTask);
  Task Remove(const AttemptId& aAttempt);
  Task& Insert(CoreContext& aContext, const TrackedTask& aTask);
  void Due(TimePoint aWhen);

  Fleet& m_fleet;
  SessionKeeper& m_session;
  TaskListener* m_listener = nullptr;
  OwnerMayBeDead m_ownerMayBeDead;
  std::map<AttemptId, Task> m_tasks;
  std::map<TargetId, Target> m_targets;
  // When Tick has something to do next.
  TimePoint m_nextDue;
  TimePoint m_nextSync;
  std::uint64_t m_lateAnswers = 0;
};

} // namespace lycheestep

#endif
