#ifndef LYCHEESTEP_JOB_EFFECTS_H
#define LYCHEESTEP_JOB_EFFECTS_H

#include <string>
#include <vector>

#include "lycheestep/advice.h"
#include "lycheestep/row_store.h"
#include "lycheestep/target_orders.h"

namespace lycheestep {

class MetricsSink;

// The connection to a target that carries a hold order. A hold order extends
// the lease of all runs on the target unless its m_leaseEnd is zero, allows the
// target to forget run ends that are stored, and asks which runs are on the
// target and which have ended. There are two connections, so that starts and
// stops never queue behind a hold that waits at the target for a run to end.
enum class HoldPath
{
  kWatch,  // holds that may wait for a run to end
  kOrders, // starts, stops and the hold that takes the target; never waits
};

// Side effects of the leader's decisions: commits, orders to targets, calls of
// the advisor and log lines. No function blocks; the replies arrive later as
// calls of JobScheduler.
class JobEffects
{
public:
  virtual ~JobEffects() = default;

  // Writes and removes rows in one transaction with the leader's own row, if
  // this host still leads. The caller starts the next commit only after the
  // previous one is done.
  virtual void Commit(std::vector<RowWrite> aWrites,
                      std::vector<RowKey> aRemovals) = 0;

  // Send orders to targets. Hold uses the connection that aPath names.
  virtual void Start(const StartOrder& aOrder) = 0;
  virtual void Stop(const StopOrder& aOrder) = 0;
  virtual void Pace(const PaceOrder& aOrder) = 0;
  virtual void Hold(const HoldOrder& aOrder, HoldPath aPath) = 0;

  // Withdraws starts that were sent here and have not left yet, wherever they
  // wait. Each one that is withdrawn is reported with OrderStatus::kWithdrawn.
  virtual void Withdraw(const WithdrawOrder& aOrder) = 0;

  // Closes the connections to a target that is no longer needed.
  virtual void Forget(const TargetId& aTarget) = 0;

  // Returns true if a host is free to call the advisor, or is expected to be
  // free by the time that a request reaches it.
  virtual bool CanAsk() const = 0;

  // Calls the advisor from this host or another one. The advisor is expected to
  // take aServiceTime for the call. JobScheduler always receives an
  // AdviceAnswer; if the advisor did not reply, its m_answered is false.
  virtual void Ask(const AdviceRequest& aRequest, Duration aServiceTime) = 0;

  virtual AdvisorUse GetAdvisorUse() const = 0;

  // Writes one line to the log: the event's name, followed by aFields, which
  // are "name=value" pairs.
  virtual void Log(const std::string& aEvent, const std::string& aFields) = 0;

  // As Log, but the line is not left out in favour of those of Log. For events
  // about work that did not end well.
  virtual void LogNotable(const std::string& aEvent,
                          const std::string& aFields) = 0;

  // As Log, but the line is written even if the log is over its rate limit. For
  // events that sum up or explain many others.
  virtual void LogUnlimited(const std::string& aEvent,
                            const std::string& aFields) = 0;

  virtual MetricsSink& Metrics() = 0;
};

} // namespace lycheestep

#endif
