#ifndef LYCHEESTEP_ORDER_QUEUE_H
#define LYCHEESTEP_ORDER_QUEUE_H

#include <array>
#include <condition_variable>
#include <cstddef>
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

// The orders that a call of OrderQueue::Take may return.
enum class OrderSelection
{
  kAll,
  // All orders that are to be sent but stops, and all that are withdrawn.
  kAllButStops,
  // Stops that are to be sent.
  kStops,
};

// The orders that wait to be sent to a target. Stops and holds leave before
// starts and pace orders, but not without end, and each kind leaves in the
// order of the calls. An order that makes a queued start pointless withdraws
// it: a stop of the same run, or a hold under a higher fencing token, after
// which the leader decides anew. Withdrawn orders leave first. Stops can be
// taken apart from the other orders, so that neither waits for the other.
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
  // for one, or until Close; the result may then be empty. Only orders of
  // aSelection are returned.
  std::optional<QueuedOrder> Take(
    Duration aMaxWait,
    OrderSelection aSelection = OrderSelection::kAll);

  // Returns true if more stops are to be sent than calls of Take wait for
  // OrderSelection::kStops.
  bool HasUnattendedStop() const;

  // Withdraws all queued orders and those that are added later. Take no longer
  // waits.
  void Close();

  // Returns true if Close was called and all orders were taken.
  bool IsDrained() const;

  bool IsEmpty() const;

private:
  // The calls of Take that wait for orders of one selection.
  struct Takers
  {
    std::condition_variable m_ready;
    std::size_t m_waiting = 0;
  };

  void AddTo(std::deque<QueuedOrder>& aQueue, QueuedOrder aOrder);
  Takers& TakersOf(OrderSelection aSelection);
  // Return true if there is an order of aSelection.
  bool CanTake(OrderSelection aSelection) const;
  bool HasUrgent(OrderSelection aSelection) const;
  // Removes and returns the next order of aSelection, if there is one.
  std::optional<QueuedOrder> RemoveNext(OrderSelection aSelection);
  // Remove and return the first order of a queue, or the first one in m_urgent
  // that belongs to aSelection. There must be one.
  static QueuedOrder RemoveFirst(std::deque<QueuedOrder>& aQueue);
  QueuedOrder RemoveUrgent(OrderSelection aSelection);
  // Wakes a call of Take that may return an order which was added to aQueue.
  void NotifyOne(const std::deque<QueuedOrder>& aQueue);
  // Moves the orders of aQueue for which aIsPointless is true to m_withdrawn.
  // Returns true if there are any.
  bool WithdrawFrom(
    std::deque<QueuedOrder>& aQueue,
    const std::function<bool(const QueuedOrder&)>& aIsPointless);

  mutable std::mutex m_mutex;
  // Indexed by OrderSelection.
  std::array<Takers, 3> m_takers;
  std::deque<QueuedOrder> m_withdrawn;
  // Stops and holds.
  std::deque<QueuedOrder> m_urgent;
  // Starts and pace orders.
  std::deque<QueuedOrder> m_others;
  // The number of orders that left m_urgent since one left m_others. Does not
  // count those taken as OrderSelection::kStops.
  int m_urgentInARow = 0;
  bool m_closed = false;
};

} // namespace lycheestep

#endif
