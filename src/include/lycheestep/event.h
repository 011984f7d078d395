#ifndef LYCHEESTEP_EVENT_H
#define LYCHEESTEP_EVENT_H

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

// Everything that can happen to the decision core. Events are values: the
// services make them on their own threads and the control thread hands them
// to Scheduler::Handle one by one.

// A caller sent a request.
struct RequestSubmitted
{
  CallerTicket m_ticket = 0;
  Request m_request;
};

// A caller asks what became of a request.
struct ResultRequested
{
  CallerTicket m_ticket = 0;
  RequestId m_request;
};

// A caller takes a request back.
struct CancelRequested
{
  CallerTicket m_ticket = 0;
  RequestId m_request;
};

// Somebody asks why a request waits or where it went.
struct ExplainRequested
{
  CallerTicket m_ticket = 0;
  RequestId m_request;
};

// The caller hung up: an answer to the ticket would reach nobody.
struct CallerLeft
{
  CallerTicket m_ticket = 0;
};

// An operator sent a command.
struct OperatorAsked
{
  CallerTicket m_ticket = 0;
  OperatorCommand m_command;
};

// The table answered a transaction or a read.
struct TableAnswered
{
  TableTicket m_ticket = 0;
  TableAnswer m_answer;
};

// The platform's host list was read. m_reached is false when it could not be
// read; the former list stays in force then.
struct HostListAnswered
{
  bool m_reached = false;
  // The list is the one that was last answered; m_targets is empty then.
  bool m_unchanged = false;
  std::vector<TargetListing> m_targets;
};

// A target answered a TaskStart, or did not.
struct StartAnswered
{
  TargetId m_target;
  AttemptId m_attempt;
  StartStatus m_status = StartStatus::kLost;
  // Why it refused, for the log.
  std::string m_detail;
  // Set with kRefused: the target is leaving.
  bool m_leaving = false;
  // Time the call took.
  Duration m_latency = Duration::zero();
};

// A task ended and the target said so without being asked. Implies that it
// had started.
struct TaskEnded
{
  TargetId m_target;
  TaskReport m_report;
  // Time from the start call to this answer.
  Duration m_latency = Duration::zero();
};

// A target answered a lease renewal or did not.
struct TargetReported
{
  TargetReport m_report;
};

// A target answered what it knows of one attempt. m_reached is false when it
// could not be asked.
struct AttemptAnswered
{
  TargetId m_target;
  bool m_reached = false;
  TaskReport m_report;
};

// A message of another entry host arrived and was authenticated.
struct PeerMessageReceived
{
  EntryId m_from;
  std::shared_ptr<const proto::PeerMessage> m_message;
};

// Nothing happened but the passing of time. Sent whenever the time of
// Scheduler::NextWakeup is reached; harmless at any other time.
struct TimePassed
{};

// Stop gracefully: no new work, finish what is in flight, release grants.
struct StopRequested
{};

// Any of the above.
using Event = std::variant<RequestSubmitted,
                           ResultRequested,
                           CancelRequested,
                           ExplainRequested,
                           CallerLeft,
                           OperatorAsked,
                           TableAnswered,
                           HostListAnswered,
                           StartAnswered,
                           TaskEnded,
                           TargetReported,
                           AttemptAnswered,
                           PeerMessageReceived,
                           TimePassed,
                           StopRequested>;

} // namespace lycheestep

#endif
