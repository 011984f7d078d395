#ifndef LYCHEESTEP_LIVE_REQUEST_H
#define LYCHEESTEP_LIVE_REQUEST_H

#include <cstddef>
#include <deque>
#include <string>
#include <system_error>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/request.h"
#include "lycheestep/resources.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"
#include "lycheestep/work_kind.h"

namespace lycheestep {

// Where a live request stands at this host.
enum class RequestStage
{
  kRecording,   // its record is being written; nothing is acknowledged yet
  kWaiting,     // in the admission queue
  kDispatching, // placed; the dispatched write is on its way
  kActive,      // at least one task was sent to a target
  kForwarded,   // handed to a peer, whose answer is awaited
  kFinishing,   // over; its last record write is on its way
};

// Where one task of a request stands.
enum class TaskStage
{
  kIdle,    // placed nowhere
  kPlaced,  // holds its demand on a target, not sent yet
  kSent,    // sent to its target: it may run
  kRunning, // the target said that it runs
  kEnded,   // over; m_report is its last report
};

// One task of a live request.
struct LiveTask
{
  TaskStage m_stage = TaskStage::kIdle;
  AttemptId m_attempt;
  TargetId m_target;
  Resources m_demand;
  // When the target said that it runs.
  TimePoint m_startedAt;
  // The scheduler asked the target to stop it.
  bool m_stopping = false;
  // It is asked to save its state and stop, and runs again later.
  bool m_checkpointing = false;
  // Resume from the last checkpoint at the next start.
  bool m_resume = false;
  // The last report, for a task that has ended.
  TaskReport m_report;
};

// One request that this host looks after, from its arrival until it is
// answered for good.
struct LiveRequest
{
  Request m_request;
  // The kind as it stood when the request arrived.
  WorkKind m_kind;
  TimePoint m_arrived;
  // Latest start.
  TimePoint m_deadline;
  // First start of any of its tasks; the epoch of the clock until then.
  TimePoint m_firstStart;
  RequestStage m_stage = RequestStage::kRecording;
  // True when a row of the table stands for it.
  bool m_recorded = false;
  bool m_cancelled = false;
  // True once an attempt of it ran or may have run: "not run" is ruled out.
  bool m_mayHaveRun = false;
  // Callers of this host who wait for the answer.
  std::vector<CallerTicket> m_waiters;
  // Entry hosts that forwarded it here and wait for the answer.
  std::vector<EntryId> m_forwarders;
  std::vector<LiveTask> m_tasks;
  int m_retries = 0;
  // The latest reasons, for explain; bounded.
  std::deque<std::string> m_history;

  // Why the tasks that are still out are being stopped; empty: they aren't.
  std::error_code m_stopReason;
  // A gang whose members are all stopped before it runs again as a whole.
  bool m_restarting = false;
  // Waits this long before its tasks go back to the queue; the epoch of the
  // clock: it is not waiting for a retry.
  TimePoint m_retryAt;
  // When the answer of the peer that it was forwarded to is given up.
  TimePoint m_forwardUntil;

  // True when a task is or may be at a target.
  bool AnyTaskOut() const;

  // Tasks that have to be placed.
  int IdleTasks() const;

  // True when callers are told that it is accepted and ask again later.
  bool IsAnsweredLater() const { return m_kind.m_form != WorkForm::kRequest; }

  // The task with that attempt, or null.
  LiveTask* FindTask(const AttemptId& aAttempt);

  // Adds a line to the history and drops the oldest beyond the bound.
  void Note(std::string aLine);
};

} // namespace lycheestep

#endif
