#ifndef LYCHEESTEP_TARGET_PROTOCOL_H
#define LYCHEESTEP_TARGET_PROTOCOL_H

#include <string>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A target as the platform's host list shows it. The list lags.
struct TargetListing
{
  TargetId m_id;
  DataCentreName m_dataCentre;
  RackName m_rack;
  // Where the target listens: "127.0.0.1:9001".
  std::string m_address;
  Resources m_capacity;
  // True when the target is about to leave: it gets no new work.
  bool m_leaving = false;
};

// Asks a target to start one task.
struct TaskStart
{
  AttemptId m_attempt;
  RequestId m_request;
  KindName m_kind;
  // What the task may take.
  Resources m_demand;
  // The target ends the task when no renewal came for this long.
  Duration m_leaseTerm = std::chrono::seconds(60);
  // True when the answer is wanted as soon as the task ends; false when the
  // next lease renewal may bring it.
  bool m_waitForEnd = true;
  // Resume from the task's last checkpoint if there is one.
  bool m_resume = false;
  std::string m_body;
};

// How a TaskStart ended at the target.
enum class StartStatus
{
  kStarted, // the task runs
  kRefused, // the target says that it did not start it
  kNotSent, // it never left this process, or no connection could be made
  kLost,    // no answer: it may have started
};

// What a target says of one attempt.
enum class AttemptState
{
  kNeverStarted, // and never will: the target remembers this answer and
                 // refuses the attempt if it should still arrive
  kRunning,
  kEnded,
};

// One task as its target reports it. Usage lags.
struct TaskReport
{
  AttemptId m_attempt;
  RequestId m_request;
  KindName m_kind;
  AttemptState m_state = AttemptState::kRunning;
  // What the task was given, and what it was last seen to use.
  Resources m_demand;
  Resources m_usage;
  // Time since the start; at the end, the whole run time.
  Duration m_ranFor = Duration::zero();
  // Time left until the lease lapses, as the target counts it.
  Duration m_leaseLeft = Duration::zero();
  // For an ended task: whether it succeeded, whether it was stopped by the
  // scheduler or its lease, and its whole answer.
  bool m_succeeded = false;
  bool m_stopped = false;
  // For kNeverStarted: time since the target lost its memory by a restart. It
  // knows nothing of what it ran before, so its word counts only for an
  // attempt that was sent within this time. The greatest value: it never
  // restarted since it joined.
  Duration m_targetUpFor = Duration::max();
  std::string m_body;
};

// Renews many leases at one target in one call; the target answers with a
// TargetReport.
struct LeaseRenewal
{
  Duration m_leaseTerm = std::chrono::seconds(60);
  std::vector<AttemptId> m_renew;
  // Ended attempts whose results are safe here: the target may forget them.
  std::vector<AttemptId> m_forget;
};

// What a target says of itself.
struct TargetReport
{
  TargetId m_target;
  // False when the target did not answer; nothing else is set then.
  bool m_reached = false;
  bool m_leaving = false;
  Resources m_capacity;
  // Time the call took, for the concurrency limit.
  Duration m_latency = Duration::zero();
  // Every task that runs, and every ended one not yet forgotten, whichever
  // entry host started it.
  std::vector<TaskReport> m_tasks;
};

// What a target can be asked to do with a running task.
enum class TaskControl
{
  kStop,       // gracefully: it finishes what is in flight
  kCheckpoint, // save its state, then stop
  kThrottle,   // hold it to its demand
};

} // namespace lycheestep

#endif
