#ifndef LYCHEESTEP_RUN_STOP_H
#define LYCHEESTEP_RUN_STOP_H

#include <cstdint>
#include <optional>

#include "lycheestep/target_orders.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The stop of a run, from its request until the target lists the run's end. The
// order is idempotent and is sent again when it failed or had no effect.
struct RunStop
{
  // True once the run is to end, and since when.
  bool m_isRequested = false;
  TimePoint m_requestedAt;
  // The number of stop orders that were sent, and when the last one was.
  std::uint32_t m_sentCount = 0;
  TimePoint m_sentAt;
  OrderRoute m_sentBy = OrderRoute::kUsual;
  // What was reported of the last order, and when; nothing while the order is
  // on its way.
  std::optional<OrderStatus> m_answer;
  TimePoint m_answeredAt;

  // Returns true if an order is on its way and does not count as lost.
  bool IsUnderWay(TimePoint aNow) const;

  // Returns true if no report came of the last order in time.
  bool IsLost(TimePoint aNow) const;

  // Returns true if an order has to be sent.
  bool IsDue(TimePoint aNow) const;

  // Notes that an order was sent.
  void NoteSent(OrderRoute aRoute, TimePoint aNow);
};

} // namespace lycheestep

#endif
