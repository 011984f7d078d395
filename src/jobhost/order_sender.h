#ifndef LYCHEESTEP_ORDER_SENDER_H
#define LYCHEESTEP_ORDER_SENDER_H

#include <functional>

#include "job_effects.h"

namespace lycheestep {

// Callbacks for the answers of a target to start, stop and hold orders. A pace
// order has no answer.
struct OrderAnswerHandlers
{
  std::function<void(const StartOrder&, const OrderAnswer&)> m_started;
  std::function<void(const StopOrder&, const OrderAnswer&)> m_stopped;
  std::function<void(const HoldOrder&, HoldPath, const HoldAnswer&)> m_held;
};

// Sends orders to targets. No function blocks. Each start, stop and hold is
// answered eventually, if only as unknown or not sent, unless the sender is
// closed first.
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
