#ifndef LYCHEESTEP_ORDER_SENDER_H
#define LYCHEESTEP_ORDER_SENDER_H

#include <functional>

#include "job_effects.h"

namespace lycheestep {

// Callbacks that report the results of start, stop and hold orders. The result
// of a pace order is not reported. A hold order extends the lease of all tasks
// that run on a target, lets the target forget ended runs that are stored
// already, and asks which runs are in progress and which have ended.
struct OrderAnswerHandlers
{
  std::function<void(const StartOrder&, const OrderAnswer&)> m_started;
  std::function<void(const StopOrder&, const OrderAnswer&)> m_stopped;
  std::function<void(const HoldOrder&, HoldPath, const HoldAnswer&)> m_held;
};

// Sends orders to targets. No function blocks. The result of each start, stop
// and hold is reported to OrderAnswerHandlers: the target's reply, or the
// status kUnknown, kNotSent or kWithdrawn if there is none.
class OrderSender
{
public:
  virtual ~OrderSender() = default;

  virtual void Start(const StartOrder& aOrder) = 0;
  virtual void Stop(const StopOrder& aOrder) = 0;
  virtual void Pace(const PaceOrder& aOrder) = 0;
  virtual void Hold(const HoldOrder& aOrder, HoldPath aPath) = 0;
};

} // namespace lycheestep

#endif
