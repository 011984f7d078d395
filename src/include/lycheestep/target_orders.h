#ifndef LYCHEESTEP_TARGET_ORDERS_H
#define LYCHEESTEP_TARGET_ORDERS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lycheestep/network_address.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A target's own steady clock. Compared only with other readings of the same
// incarnation of that target.
using TargetTime = std::chrono::milliseconds;

// Grows with each change of who may order a target; a target obeys nothing
// below the highest that it has seen.
using FencingToken = std::uint64_t;

// Where an order goes.
struct OrderAddress
{
  TargetId m_target;
  NetworkAddress m_address;
  FencingToken m_fence = 0;
  // When the process of the target started that the order is meant for. No
  // other process carries out a start or a hold. Zero if the sender does not
  // know the process: whichever gets the order carries it out.
  WallTime m_started{ 0 };
};

// Starts one run.
struct StartOrder
{
  OrderAddress m_to;
  RunName m_run;
  std::string m_payload;
  // Everything on the target is killed then unless the lease is extended.
  TargetTime m_leaseEnd{ 0 };
  // Empty: from the beginning.
  std::string m_checkpoint;
  // The advisor's permission; empty where none is needed.
  std::string m_ticket;
  // The order does not leave this host after this time of the host's boot
  // clock. The target does not get it.
  TimePoint m_notAfter = TimePoint::max();
};

// The host that sends an order to its target.
enum class OrderRoute
{
  kUsual,       // the one that sends all other orders to the target
  kAnotherHost, // one that sends no other orders to the target
};

// Stops one run; the target never starts that run afterwards.
struct StopOrder
{
  OrderAddress m_to;
  RunName m_run;
  OrderRoute m_route = OrderRoute::kUsual;
  // How many stops of the run were sent by other hosts before this one, so that
  // each goes by another host.
  std::uint32_t m_earlierTries = 0;
};

// Withdraws starts that still wait on their way to a target. The target never
// sees this order, and a start that has left is not affected.
struct WithdrawOrder
{
  TargetId m_target;
  // Empty: all starts for the target.
  std::optional<RunName> m_run;
};

// Lets one run work at a share of its speed.
struct PaceOrder
{
  OrderAddress m_to;
  RunName m_run;
  std::uint32_t m_percent = 100;
};

// Extends the lease of all that runs, forgets ends up to a number and asks
// what runs and what has ended.
struct HoldOrder
{
  OrderAddress m_to;
  // Zero: the lease is left as it is.
  TargetTime m_leaseEnd{ 0 };
  // Ends up to this number are stored and may be forgotten.
  std::uint64_t m_forgetEnds = 0;
  // The answer waits this long for an end.
  Duration m_wait = Duration::zero();
};

// How a target answered a start, stop or pace.
enum class OrderStatus
{
  kDone,          // done, or it was so already
  kFenced,        // a higher fencing token has been seen
  kOldRun,        // the run number is not above an ended one
  kLeaseOver,     // the lease end lies in the past
  kNoRoom,        // it does not fit
  kTicketRefused, // the ticket is missing or no longer valid
  kUnhealthy,     // the target refused without doing anything
  kMalformed,     // the order is wrong
  kOtherTarget,   // another incarnation listens at the address
  kNotSent,       // no connection: it had no effect
  kUnknown,       // no answer: it may have taken effect, or may yet
  kWithdrawn,     // its reason was gone before it was sent: it had no effect
};

// The names of a route and of an order's status, for logs.
const char* ToString(OrderRoute aRoute);
const char* ToString(OrderStatus aStatus);

// A target's answer to a start, stop or pace.
struct OrderAnswer
{
  OrderStatus m_status = OrderStatus::kUnknown;
  TargetTime m_targetClock{ 0 };
};

// How a run ended.
enum class RunEnd
{
  kDone,
  kFailed,     // by its own fault or the target's
  kStopped,    // by an order
  kLapsed,     // its lease ran out
  kGangBroken, // another member of the gang ended
  kGangAlone,  // the other members did not come in time
};

// The name of an end, for logs.
const char* ToString(RunEnd aEnd);

// A run that a target works on.
struct RunningTask
{
  RunName m_run;
  // The newest checkpoint; empty for none.
  std::string m_checkpoint;
  std::uint32_t m_percentDone = 0;
  // A serving task: tail of its response times in milliseconds; any other:
  // thousandths of a core in use.
  std::int64_t m_load = 0;
};

// A run that has ended on a target.
struct EndedTask
{
  // Rises by one with each end in one incarnation of the target.
  std::uint64_t m_number = 0;
  RunName m_run;
  RunEnd m_end = RunEnd::kStopped;
  std::string m_checkpoint;
};

// A target's answer to a hold.
struct HoldAnswer
{
  OrderStatus m_status = OrderStatus::kUnknown;
  TargetTime m_targetClock{ 0 };
  // When the answering incarnation started; zero if it does not say.
  WallTime m_started{ 0 };
  std::vector<RunningTask> m_running;
  std::vector<EndedTask> m_ended;
};

// Carries orders to targets and waits for their answers. Safe from any
// thread.
class TargetOrders
{
public:
  virtual ~TargetOrders() = default;

  virtual OrderAnswer Start(const StartOrder& aOrder, Duration aTimeout) = 0;
  virtual OrderAnswer Stop(const StopOrder& aOrder, Duration aTimeout) = 0;
  virtual OrderAnswer Pace(const PaceOrder& aOrder, Duration aTimeout) = 0;

  // aTimeout counts beyond the order's own wait.
  virtual HoldAnswer Hold(const HoldOrder& aOrder, Duration aTimeout) = 0;
};

} // namespace lycheestep

#endif
