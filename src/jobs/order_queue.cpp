#include "order_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheestep {

namespace {

// After this many stops and holds one start leaves, so that stops which are
// repeated do not hold up all starts.
constexpr int kMaxUrgentInARow = 16;

QueuedOrder MakeQueuedOrder(
  std::variant<StartOrder, StopOrder, PaceOrder, HoldOrder> aOrder,
  TimePoint aNow)
{
  QueuedOrder queued;
  queued.m_order = std::move(aOrder);
  queued.m_queuedAt = aNow;
  return queued;
}

// Returns true if aQueued is an order of the type Order for the run.
template<typename Order>
bool IsFor(const QueuedOrder& aQueued, const RunName& aRun)
{
  const auto* order = std::get_if<Order>(&aQueued.m_order);
  return order != nullptr && order->m_run == aRun;
}

// Returns true if aQueued, which is to be sent, belongs to aSelection.
bool BelongsTo(const QueuedOrder& aQueued, OrderSelection aSelection)
{
  const bool isStop = std::holds_alternative<StopOrder>(aQueued.m_order);
  return aSelection == OrderSelection::kAll ||
         isStop == (aSelection == OrderSelection::kStops);
}

} // namespace

void OrderQueue::Add(const StartOrder& aOrder, TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  AddTo(m_others, MakeQueuedOrder(aOrder, aNow));
}

void OrderQueue::Add(const PaceOrder& aOrder, TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  AddTo(m_others, MakeQueuedOrder(aOrder, aNow));
}

void OrderQueue::Add(const StopOrder& aOrder, TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const bool neverStarted =
    WithdrawFrom(m_others, [&](const QueuedOrder& aQueued) {
      return IsFor<StartOrder>(aQueued, aOrder.m_run);
    });
  const auto earlier = std::find_if(
    m_urgent.begin(), m_urgent.end(), [&](const QueuedOrder& aQueued) {
      return IsFor<StopOrder>(aQueued, aOrder.m_run);
    });
  if (earlier != m_urgent.end()) {
    AddTo(m_withdrawn, *earlier);
    earlier->m_order = aOrder;
    return;
  }
  AddTo(neverStarted ? m_withdrawn : m_urgent, MakeQueuedOrder(aOrder, aNow));
}

void OrderQueue::Add(const HoldOrder& aOrder, TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  WithdrawFrom(m_others, [&](const QueuedOrder& aQueued) {
    const auto* start = std::get_if<StartOrder>(&aQueued.m_order);
    return start != nullptr && start->m_to.m_fence < aOrder.m_to.m_fence;
  });
  AddTo(m_urgent, MakeQueuedOrder(aOrder, aNow));
}

void OrderQueue::Withdraw(const WithdrawOrder& aOrder)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  WithdrawFrom(m_others, [&](const QueuedOrder& aQueued) {
    const auto* start = std::get_if<StartOrder>(&aQueued.m_order);
    return start != nullptr && (!aOrder.m_run || start->m_run == *aOrder.m_run);
  });
}

std::optional<QueuedOrder> OrderQueue::Take(Duration aMaxWait,
                                            OrderSelection aSelection)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  if (aMaxWait > Duration::zero()) {
    Takers& takers = TakersOf(aSelection);
    ++takers.m_waiting;
    takers.m_ready.wait_for(
      lock, aMaxWait, [&] { return m_closed || CanTake(aSelection); });
    --takers.m_waiting;
  }
  return RemoveNext(aSelection);
}

bool OrderQueue::HasUnattendedStop() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto stops = std::count_if(
    m_urgent.begin(), m_urgent.end(), [](const QueuedOrder& aQueued) {
      return BelongsTo(aQueued, OrderSelection::kStops);
    });
  const auto index = static_cast<std::size_t>(OrderSelection::kStops);
  return static_cast<std::size_t>(stops) > m_takers[index].m_waiting;
}

OrderQueue::Takers& OrderQueue::TakersOf(OrderSelection aSelection)
{
  return m_takers[static_cast<std::size_t>(aSelection)];
}

bool OrderQueue::CanTake(OrderSelection aSelection) const
{
  const bool othersWait = !m_withdrawn.empty() || !m_others.empty();
  return HasUrgent(aSelection) ||
         (othersWait && aSelection != OrderSelection::kStops);
}

bool OrderQueue::HasUrgent(OrderSelection aSelection) const
{
  return std::any_of(
    m_urgent.begin(), m_urgent.end(), [&](const QueuedOrder& aQueued) {
      return BelongsTo(aQueued, aSelection);
    });
}

std::optional<QueuedOrder> OrderQueue::RemoveNext(OrderSelection aSelection)
{
  if (!CanTake(aSelection)) {
    return std::nullopt;
  }
  if (aSelection == OrderSelection::kStops) {
    return RemoveUrgent(aSelection);
  }
  const bool othersAreDue =
    !m_others.empty() && m_urgentInARow >= kMaxUrgentInARow;
  if (m_withdrawn.empty() && !othersAreDue && HasUrgent(aSelection)) {
    ++m_urgentInARow;
    return RemoveUrgent(aSelection);
  }
  m_urgentInARow = 0;
  return RemoveFirst(m_withdrawn.empty() ? m_others : m_withdrawn);
}

QueuedOrder OrderQueue::RemoveFirst(std::deque<QueuedOrder>& aQueue)
{
  QueuedOrder order = std::move(aQueue.front());
  aQueue.pop_front();
  return order;
}

QueuedOrder OrderQueue::RemoveUrgent(OrderSelection aSelection)
{
  const auto found = std::find_if(
    m_urgent.begin(), m_urgent.end(), [&](const QueuedOrder& aQueued) {
      return BelongsTo(aQueued, aSelection);
    });
  QueuedOrder order = std::move(*found);
  m_urgent.erase(found);
  return order;
}

void OrderQueue::Close()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    const auto all = [](const QueuedOrder&) { return true; };
    WithdrawFrom(m_urgent, all);
    WithdrawFrom(m_others, all);
  }
  for (Takers& takers : m_takers) {
    takers.m_ready.notify_all();
  }
}

bool OrderQueue::IsDrained() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_closed && m_withdrawn.empty();
}

bool OrderQueue::IsEmpty() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_withdrawn.empty() && m_urgent.empty() && m_others.empty();
}

void OrderQueue::AddTo(std::deque<QueuedOrder>& aQueue, QueuedOrder aOrder)
{
  const bool withdrawn = m_closed || &aQueue == &m_withdrawn;
  aOrder.m_withdrawn = withdrawn;
  std::deque<QueuedOrder>& queue = withdrawn ? m_withdrawn : aQueue;
  queue.push_back(std::move(aOrder));
  NotifyOne(queue);
}

void OrderQueue::NotifyOne(const std::deque<QueuedOrder>& aQueue)
{
  const bool isStop =
    &aQueue == &m_urgent && BelongsTo(aQueue.back(), OrderSelection::kStops);
  TakersOf(OrderSelection::kAll).m_ready.notify_one();
  TakersOf(isStop ? OrderSelection::kStops : OrderSelection::kAllButStops)
    .m_ready.notify_one();
}

bool OrderQueue::WithdrawFrom(
  std::deque<QueuedOrder>& aQueue,
  const std::function<bool(const QueuedOrder&)>& aIsPointless)
{
  const auto kept = std::stable_partition(
    aQueue.begin(), aQueue.end(), [&](const QueuedOrder& aQueued) {
      return !aIsPointless(aQueued);
    });
  const bool any = kept != aQueue.end();
  for (auto order = kept; order != aQueue.end(); ++order) {
    order->m_withdrawn = true;
    m_withdrawn.push_back(std::move(*order));
  }
  aQueue.erase(kept, aQueue.end());
  if (any) {
    NotifyOne(m_withdrawn);
  }
  return any;
}

} // namespace lycheestep
