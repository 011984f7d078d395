#ifndef LYCHEESTEP_ACTION_H
#define LYCHEESTEP_ACTION_H

#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/operator_command.h"
#include "lycheestep/request.h"
#include "lycheestep/table.h"
#include "lycheestep/target_protocol.h"

namespace lycheestep {

namespace proto {
class PeerMessage;
}

// Everything that the decision core can ask the services to do. Scheduler
// only returns actions; it never performs one. An action that fails comes
// back as an event.

// Answer a caller. Each ticket is answered exactly once.
struct AnswerCaller
{
  CallerTicket m_ticket = 0;
  Answer m_answer;
};

// Answer ExplainRequested: one sentence a line, the latest reason last. No
// lines: the id is not known here.
struct AnswerExplain
{
  CallerTicket m_ticket = 0;
  std::vector<std::string> m_lines;
};

// Answer an operator.
struct AnswerOperator
{
  CallerTicket m_ticket = 0;
  OperatorReply m_reply;
};

// Commit a transaction; comes back as TableAnswered.
struct TransactTable
{
  TableTicket m_ticket = 0;
  TableTransaction m_transaction;
};

// Read rows; comes back as TableAnswered.
struct ReadTable
{
  TableTicket m_ticket = 0;
  TableQuery m_query;
};

// Read the platform's host list; comes back as HostListAnswered.
struct FetchHostList
{};

// Start a task; comes back as StartAnswered, or as TaskEnded when the task
// ended before its start was answered. m_notAfter is the end of the right to
// do so: the service reads the clock right before it sends and answers
// kNotSent when the time has passed.
struct StartTask
{
  TargetId m_target;
  std::string m_address;
  TaskStart m_start;
  TimePoint m_notAfter;
};

// Renew leases and fetch the target's report; comes back as TargetReported.
// With nothing to renew it is a plain question.
struct RenewLeases
{
  TargetId m_target;
  std::string m_address;
  LeaseRenewal m_renewal;
  TimePoint m_notAfter;
};

// Stop, checkpoint or throttle a task. The effect shows in later reports.
struct ControlTask
{
  TargetId m_target;
  std::string m_address;
  AttemptId m_attempt;
  TaskControl m_control = TaskControl::kStop;
};

// Ask a target what it knows of an attempt; comes back as AttemptAnswered.
// A target that never started it will never start it after this.
struct QueryAttempt
{
  TargetId m_target;
  std::string m_address;
  AttemptId m_attempt;
};

// Send a message to another entry host of that address. May be lost.
struct SendPeerMessage
{
  EntryId m_to;
  std::string m_address;
  std::shared_ptr<const proto::PeerMessage> m_message;
};

// How a decision ended, for the decision log and the metrics.
enum class DecisionKind
{
  kAdmitted,
  kRefused,
  kPlaced,
  kForwarded,
  kRetried,
  kFinished,
  kStopped,
};

// One routing or placement decision: one log line and a few metrics.
struct LogDecision
{
  DecisionKind m_decision = DecisionKind::kPlaced;
  RequestId m_request;
  KindName m_kind;
  // Empty when no target was chosen.
  TargetId m_target;
  // One short sentence.
  std::string m_why;
  std::size_t m_candidates = 0;
  Duration m_waited = Duration::zero();
};

// A short sentence about the host's own state, under the prefix of a part:
// "grants", "records", "catalogue", "members", "targets".
struct LogNote
{
  std::string m_part;
  std::string m_text;
  bool m_warning = false;
};

// The graceful stop is complete: the process may exit.
struct StopCompleted
{};

// Any of the above.
using Action = std::variant<AnswerCaller,
                            AnswerExplain,
                            AnswerOperator,
                            TransactTable,
                            ReadTable,
                            FetchHostList,
                            StartTask,
                            RenewLeases,
                            ControlTask,
                            QueryAttempt,
                            SendPeerMessage,
                            LogDecision,
                            LogNote,
                            StopCompleted>;

// Actions in the order in which they have to be performed.
using ActionList = std::vector<Action>;

} // namespace lycheestep

#endif
