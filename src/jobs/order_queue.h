#ifndef LYCHEESTEP_ORDER_QUEUE_H
#define LYCHEESTEP_ORDER_QUEUE_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <variant>

#include "lycheestep/target_orders.h"

namespace lycheestep {

// An order that waits to be sent to a target.
struct QueuedOrder
{
  std::variant<StartOrder, StopOrder, PaceOrder, HoldOrder> m_order;
  TimePoint m_queuedAt;
  // True if the order must not be sent: its reason is gone. It is reported as
  // withdrawn.
  bool m_withdrawn = false;
};

// The orders that wait for one connection to a target. Stops and holds leave
// before starts and pace orders, but not without end, and each kind leaves in
// the order of the calls. An order that makes a queued start pointless
// withdraws it: a stop of the same run, or a hold under a higher fencing token,
// after which the leader decides anew. Withdrawn orders leave first.
// Thread-safe.
class OrderQueue
{
public:
  // Each Add queues an order at aNow.
  void Add(const StartOrder& aOrder, TimePoint aNow);
  void Add(const PaceOrder& aOrder, TimePoint aNow);
  // Withdraws the start of the same run. An earlier stop of the run is
  // withdrawn as well, and this one takes its place. If the start is withdrawn,
  // the target never had the run, so the stop is withdrawn as well.
  void Add(const StopOrder& aOrder, TimePoint aNow);
  // Withdraws all starts under a lower fencing token.
  void Add(const HoldOrder& aOrder, TimePoint aNow);

  // Withdraws the starts that aOrder names.
  void Withdraw(const WithdrawOrder& aOrder);

  // Removes and returns the next order. If there is none, waits up to aMaxWait
  // for one, or until Close; the result may then be empty.
  std::optional<QueuedOrder> Take(Duration aMaxWait);

  // Withdraws all queued orders and those that are added later. Take no longer
  // waits.
  void Close();

  // Returns true if Close was called and all orders were taken.
  bool IsDrained() const;

  bool IsEmpty() const;

private:
  void AddTo(std::deque<QueuedOrder>& aQueue, QueuedOrder aOrder);
  // Returns the queue whose first order leaves next; empty if none waits.
  std::deque<QueuedOrder>& NextQueue();
  // Moves the orders of aQueue for which aIsPointless is true to m_withdrawn.
  // Returns true if there are any.
  bool WithdrawFrom(
    std::deque<QueuedOrder>& aQueue,
    const std::function<bool(const QueuedOrder&)>& aIsPointless);

  mutable std::mutex m_mutex;
  std::condition_variable m_ready;
  std::deque<QueuedOrder> m_withdrawn;
  // Stops and holds.
  std::deque<QueuedOrder> m_urgent;
  // Starts and pace orders.
  std::deque<QueuedOrder> m_others;
  // The number of orders that left m_urgent since one left m_others.
  int m_urgentInARow = 0;
  bool m_closed = false;
};

} // namespace lycheestep

#endif
