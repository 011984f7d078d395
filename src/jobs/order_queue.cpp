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

std::optional<QueuedOrder> OrderQueue::Take(Duration aMaxWait)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  const auto hasOrders = [this] {
    return !m_withdrawn.empty() || !m_urgent.empty() || !m_others.empty();
  };
  if (aMaxWait > Duration::zero()) {
    m_ready.wait_for(lock, aMaxWait, [&] { return m_closed || hasOrders(); });
  }
  std::deque<QueuedOrder>& queue = NextQueue();
  if (queue.empty()) {
    return std::nullopt;
  }
  m_urgentInARow = &queue == &m_urgent ? m_urgentInARow + 1 : 0;
  QueuedOrder order = std::move(queue.front());
  queue.pop_front();
  return order;
}

std::deque<QueuedOrder>& OrderQueue::NextQueue()
{
  if (!m_withdrawn.empty()) {
    return m_withdrawn;
  }
  const bool othersAreDue =
    !m_others.empty() && m_urgentInARow >= kMaxUrgentInARow;
  return m_urgent.empty() || othersAreDue ? m_others : m_urgent;
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
  m_ready.notify_all();
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
  (withdrawn ? m_withdrawn : aQueue).push_back(std::move(aOrder));
  m_ready.notify_one();
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
    m_ready.notify_one();
  }
  return any;
}

} // namespace lycheestep
