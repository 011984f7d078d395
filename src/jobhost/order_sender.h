#ifndef LYCHEESTEP_ORDER_SENDER_H
#define LYCHEESTEP_ORDER_SENDER_H

#include <functional>

#include "job_effects.h"

namespace lycheestep {

// What comes back from a target.
struct OrderAnswerHandlers
{
  std::function<void(const StartOrder&, const OrderAnswer&)> m_started;
  std::function<void(const StopOrder&, const OrderAnswer&)> m_stopped;
  std::function<void(const HoldOrder&, HoldPath, const HoldAnswer&)> m_held;
};

// The way of orders to targets. No function waits; each start, stop and hold
// is answered sooner or later, unless the way was closed.
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
