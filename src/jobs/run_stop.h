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
  // The number of stop orders that the usual host was to send, and when the
  // last one was.
  std::uint32_t m_sentCount = 0;
  TimePoint m_sentAt;
  // The same of those by other hosts.
  std::uint32_t m_otherHostCount = 0;
  TimePoint m_otherHostAt;
  // True once an order by the usual host found no connection, or got no answer
  // or no report in time.
  bool m_hasFailed = false;
  // What was reported of the last order by the usual host, or that any host's
  // order was done, and when; nothing while the usual host's is on its way.
  std::optional<OrderStatus> m_answer;
  TimePoint m_answeredAt;

  // Returns true if an order is on its way and does not count as lost.
  bool IsUnderWay(TimePoint aNow) const;

  // Returns true if the usual host has to send an order.
  bool IsDue(TimePoint aNow) const;

  // Returns true if another host has to send an order as well, as the usual one
  // may be unable to reach the target. aIsConnected is false if the usual host
  // has no connection. A host that fails delays no order of another one.
  bool IsDueByAnotherHost(bool aIsConnected, TimePoint aNow) const;

  // Note that an order was sent, and what was reported of one.
  void NoteSent(TimePoint aNow);
  void NoteSentByAnotherHost(TimePoint aNow);
  void NoteAnswer(OrderRoute aRoute, OrderStatus aStatus, TimePoint aNow);
};

} // namespace lycheestep

#endif
