#ifndef LYCHEESTEP_TARGET_MODEL_H
#define LYCHEESTEP_TARGET_MODEL_H

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// What a task really does, whatever its kind declares.
struct TaskBehaviour
{
  // From start to end; Duration::max() runs until it is stopped.
  Duration m_runTime = std::chrono::seconds(1);
  // What it really uses.
  Resources m_usage;
  bool m_succeeds = true;
  // Its whole answer.
  std::string m_answer;
  // True when a graceful stop lets it run to its own end, as a request does;
  // false when it ends m_stopTime after it was asked.
  bool m_finishesOnStop = true;
  Duration m_stopTime = std::chrono::milliseconds(100);
};

// How a task came to its end.
enum class TaskEnd
{
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,      // asked to stop
  kCheckpointed, // asked to checkpoint
  kLapsed,       // its lease was not renewed
  kDied,         // with its target
};

// One task that started, for the checks.
struct TaskRecord
{
  AttemptId m_attempt;
  RequestId m_request;
  KindName m_kind;
  Resources m_demand;
  TimePoint m_started;
  // Meaningless while m_end is kRunning.
  TimePoint m_ended;
  TaskEnd m_end = TaskEnd::kRunning;
};

// Why a start was refused.
enum class RefusalCause
{
  kNoRoom,
  kLeaving,
  kForbidden, // the attempt was queried before it arrived
};

// One start that was refused, for the checks.
struct RefusedStart
{
  AttemptId m_attempt;
  RequestId m_request;
  TimePoint m_time;
  RefusalCause m_cause = RefusalCause::kNoRoom;
};

// Everything that a target was asked to start, in order of time. Kept over
// the target's own deaths.
struct TargetLedger
{
  std::vector<TaskRecord> m_tasks;
  std::vector<RefusedStart> m_refused;
  // Starts that arrived again while or after their attempt ran; none ran
  // twice.
  std::size_t m_duplicates = 0;
  // Most of each resource that was ever given out at once.
  Resources m_peak;
  // Calls of any sort.
  std::size_t m_calls = 0;
};

// The answer to a TaskStart.
struct StartReply
{
  // kStarted or kRefused.
  StartStatus m_status = StartStatus::kRefused;
  std::string m_detail;
  // Set with kRefused: the target is leaving.
  bool m_leaving = false;
};

// Progress that checkpoints saved, shared by all targets as the platform's
// object store is.
struct CheckpointStore
{
  std::map<RequestId, Duration> m_progress;
};

// One target in memory: it holds to its real limits and refuses what does not
// fit. A passive state machine: the caller passes the time, which never goes
// back, and calls Advance to let tasks end.
class TargetModel
{
public:
  // aUsageLag: a task's usage shows in reports this long after its start.
  // aCheckpoints outlives the model.
  TargetModel(TargetListing aListing,
              Duration aUsageLag,
              CheckpointStore& aCheckpoints);

  // Starts a task, or says why not. An attempt that runs or has ended is not
  // started again: the answer is kStarted, because it has.
  StartReply Start(const TaskStart& aStart,
                   const TaskBehaviour& aBehaviour,
                   TimePoint aNow);

  // Renews leases, forgets ended tasks, and reports everything.
  TargetReport Renew(const LeaseRenewal& aRenewal, TimePoint aNow);

  // Stops, checkpoints or throttles a running task; nothing for others.
  void Control(const AttemptId& aAttempt, TaskControl aControl, TimePoint aNow);

  // What is known of an attempt. One that never started never will.
  TaskReport Query(const AttemptId& aAttempt, TimePoint aNow);

  // Ends the tasks whose time has come by aNow and returns all that ended
  // since the last call, in the order of their ends.
  std::vector<TaskReport> Advance(TimePoint aNow);

  // The time of the next end; TimePoint::max() when nothing runs.
  TimePoint NextEnd() const;

  // Leaving by the list alone, or by the target's own word as well: only the
  // latter makes it refuse starts.
  void Leave(bool aByOwnWord, TimePoint aNow);
  void Return();

  // From now on every task that starts fails within a millisecond.
  void SetFailing(bool aFailing) { m_failing = aFailing; }

  // Ends everything and forgets everything but the ledger. A dead target is
  // called by nobody until Restart.
  void Die(TimePoint aNow);
  void Restart() { m_alive = true; }
  bool IsAlive() const { return m_alive; }

  // As the host list shows it.
  const TargetListing& Listing() const { return m_listing; }

  // Since when it leaves by either word, if it does.
  std::optional<TimePoint> LeavingSince() const { return m_leavingSince; }

  // What running tasks were given.
  const Resources& Given() const { return m_given; }

  const TargetLedger& Ledger() const { return m_ledger; }

private:
  struct Task
  {
    TaskReport m_report;
    TaskBehaviour m_behaviour;
    TimePoint m_started;
    TimePoint m_naturalEnd;
    TimePoint m_leaseUntil;
    // Set by kStop and kCheckpoint.
    TimePoint m_stopAt = TimePoint::max();
    TaskEnd m_stopCause = TaskEnd::kStopped;
    // Progress from an earlier checkpoint.
    Duration m_resumed = Duration::zero();
    std::size_t m_record = 0;
  };

  static TimePoint EndOf(const Task& aTask);
  static TimePoint Later(TimePoint aFrom, Duration aBy);
  StartReply Refuse(const TaskStart& aStart,
                    RefusalCause aCause,
                    const std::string& aDetail,
                    TimePoint aNow);
  void AddTask(const TaskStart& aStart,
               const TaskBehaviour& aBehaviour,
               TimePoint aNow);
  void EndDueTasks(TimePoint aNow);
  void EndTask(Task& aTask, TaskEnd aCause, TimePoint aWhen);
  TaskReport ReportOf(const Task& aTask, TimePoint aNow) const;

  TargetListing m_listing;
  Duration m_usageLag;
  CheckpointStore& m_checkpoints;
  std::map<AttemptId, Task> m_tasks;
  // Running attempts by the time of their end.
  std::set<std::pair<TimePoint, AttemptId>> m_ends;
  std::set<AttemptId> m_forbidden;
  std::vector<TaskReport> m_newlyEnded;
  Resources m_given;
  std::optional<TimePoint> m_leavingSince;
  bool m_leavingByOwnWord = false;
  bool m_failing = false;
  bool m_alive = true;
  // When it last forgot everything.
  std::optional<TimePoint> m_diedAt;
  TargetLedger m_ledger;
};

} // namespace lycheestep

#endif
