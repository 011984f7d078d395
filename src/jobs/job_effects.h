#ifndef LYCHEESTEP_JOB_EFFECTS_H
#define LYCHEESTEP_JOB_EFFECTS_H

#include <string>
#include <vector>

#include "lycheestep/advice.h"
#include "lycheestep/row_store.h"
#include "lycheestep/target_orders.h"

namespace lycheestep {

// Which of a target's two connections carries a hold: one waits for ends, the
// other carries starts and stops and must never wait.
enum class HoldPath
{
  kWatch,
  kOrders,
};

// What the leader's decisions cause outside. No function waits; the answers
// come back as calls of JobScheduler.
class JobEffects
{
public:
  virtual ~JobEffects() = default;

  // Writes rows together with the leader's own row, on condition that this
  // host still leads. One commit is under way at a time.
  virtual void Commit(std::vector<RowWrite> aWrites,
                      std::vector<RowKey> aRemovals) = 0;

  virtual void Start(const StartOrder& aOrder) = 0;
  virtual void Stop(const StopOrder& aOrder) = 0;
  virtual void Pace(const PaceOrder& aOrder) = 0;
  virtual void Hold(const HoldOrder& aOrder, HoldPath aPath) = 0;

  // Drops the connections to a target that is no longer needed.
  virtual void Forget(const TargetId& aTarget) = 0;

  // True when some host is free, or nearly, to ask the advisor.
  virtual bool CanAsk() const = 0;

  // Asks the advisor, by this host or another one. The advisor needs aTurn for
  // the call. An answer always comes, though it may say that there was none.
  virtual void Ask(const AdviceRequest& aRequest, Duration aTurn) = 0;

  // One line of the log: what happened, as "name=value" pairs after it.
  virtual void Log(const std::string& aEvent, const std::string& aFields) = 0;
};

} // namespace lycheestep

#endif
