#ifndef LYCHEESTEP_REQUEST_H
#define LYCHEESTEP_REQUEST_H

#include <cstdint>
#include <string>
#include <system_error>

#include "lycheestep/id.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Names one caller that waits for an answer at this process. Never reused
// within a process; zero is no caller.
using CallerTicket = std::uint64_t;

// One request as it enters an entry host.
struct Request
{
  RequestId m_id;
  KindName m_kind;
  CustomerName m_customer;
  // Passed to the target as it is.
  std::string m_body;
  // Time from arrival within which it has to start; zero: the kind's.
  Duration m_deadline = Duration::zero();
  // Entry hosts that have forwarded it so far.
  int m_hops = 0;
  // The caller says that it has sent this id to no host before. Without that
  // a host can't rule out that another one took the request, and says
  // "unknown" where it would say "not run".
  bool m_firstTry = true;
};

// What became of a request. There is no fourth case.
enum class Outcome
{
  kDone,    // it ran and the whole answer is here
  kNotRun,  // it was never sent, or the target refused it before the start
  kUnknown, // it may have run; ask again by its id
};

// "done", "not_run" or "unknown".
const char* ToString(Outcome aOutcome);

// The answer to one caller's one request.
struct Answer
{
  RequestId m_request;
  Outcome m_outcome = Outcome::kUnknown;
  // True for durable work that is accepted and will be answered by id later;
  // m_outcome is then kUnknown and m_error empty.
  bool m_pending = false;
  // True when the id is known to no host: nothing is claimed about a run.
  bool m_notFound = false;
  // Why it was refused or failed; empty when all is well. A task that ran
  // and failed has outcome kDone and kTaskFailed.
  std::error_code m_error;
  // One sentence for people: the limit that held, what no target had, ...
  std::string m_detail;
  // The whole answer of the task.
  std::string m_body;
  // When a refused caller may try again; zero: no use in trying again.
  Duration m_retryAfter = Duration::zero();
  // Where it ran; empty when it did not.
  TargetId m_target;
  // Time from arrival to start.
  Duration m_waited = Duration::zero();
};

} // namespace lycheestep

#endif
