#ifndef LYCHEESTEP_SLOW_STOP_TARGET_H
#define LYCHEESTEP_SLOW_STOP_TARGET_H

#include <gmock/gmock.h>

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "mock_target_orders.h"
#include "order_sender.h"

namespace lycheestep {

// A mocked target that answers no start, stop or hold until the test releases
// orders of that kind. Records the orders that reach it and what is reported of
// them. All waits are for conditions, without a limit of time.
class SlowStopTarget
{
public:
  SlowStopTarget()
  {
    using testing::_;
    ON_CALL(m_orders, Start(_, _))
      .WillByDefault([this](const StartOrder& aOrder, Duration) {
        Answer(m_starts, aOrder.m_run.m_run);
        return OrderAnswer{ OrderStatus::kDone, TargetTime(0) };
      });
    ON_CALL(m_orders, Stop(_, _))
      .WillByDefault([this](const StopOrder& aOrder, Duration) {
        Answer(m_stops, aOrder.m_run.m_run);
        return OrderAnswer{ OrderStatus::kDone, TargetTime(0) };
      });
    ON_CALL(m_orders, Hold(_, _))
      .WillByDefault([this](const HoldOrder&, Duration) {
        Answer(m_holds, 0);
        HoldAnswer answer;
        answer.m_status = OrderStatus::kDone;
        return answer;
      });
  }

  // Returns the address of orders for this target.
  static OrderAddress MakeAddress(FencingToken aFence = 1)
  {
    OrderAddress to;
    to.m_target = TargetId("t1");
    to.m_fence = aFence;
    return to;
  }

  static StartOrder MakeStart(std::uint32_t aRun)
  {
    StartOrder order;
    order.m_to = MakeAddress();
    order.m_run.m_run = aRun;
    return order;
  }

  static StopOrder MakeStop(std::uint32_t aRun, FencingToken aFence = 1)
  {
    StopOrder order;
    order.m_to = MakeAddress(aFence);
    order.m_run.m_run = aRun;
    return order;
  }

  static HoldOrder MakeHold()
  {
    HoldOrder order;
    order.m_to = MakeAddress();
    return order;
  }

  // Let the target answer orders of one kind at once from now on.
  void ReleaseStarts() { Release(m_starts); }
  void ReleaseStops() { Release(m_stops); }
  void ReleaseAll()
  {
    Release(m_starts);
    Release(m_stops);
    Release(m_holds);
  }

  // Lets the target answer aCount more stops.
  void ReleaseStops(std::size_t aCount)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stops.m_allowed += aCount;
    m_changed.notify_all();
  }

  // Wait until the target has received aCount orders of one kind.
  void AwaitStarts(std::size_t aCount) { Await(m_starts, aCount); }
  void AwaitStops(std::size_t aCount) { Await(m_stops, aCount); }
  void AwaitHolds(std::size_t aCount) { Await(m_holds, aCount); }

  // Waits until aCount answers to stops are reported.
  void AwaitReports(std::size_t aCount)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return m_reportCount >= aCount; });
  }

  // Returns handlers that record the answers to stops.
  OrderAnswerHandlers MakeHandlers()
  {
    OrderAnswerHandlers handlers;
    handlers.m_started = [](const StartOrder&, const OrderAnswer&) {};
    handlers.m_stopped = [this](const StopOrder& aOrder,
                                const OrderAnswer& aAnswer) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_reports[aOrder.m_run.m_run].push_back(aAnswer.m_status);
      ++m_reportCount;
      m_changed.notify_all();
    };
    handlers.m_held = [](const HoldOrder&, HoldPath, const HoldAnswer&) {};
    return handlers;
  }

  // Returns what was reported of the stops of each run.
  std::map<std::uint32_t, std::vector<OrderStatus>> Reports()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_reports;
  }

  // Returns the runs of the stops that the target has received, in the order in
  // which they came.
  std::vector<std::uint32_t> StoppedRuns()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stops.m_received;
  }

  // Returns the largest number of stops that were unanswered at the same time.
  std::size_t MostStopsAtOnce()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stops.m_mostAtOnce;
  }

  testing::NiceMock<MockTargetOrders> m_orders;

private:
  // The orders of one kind.
  struct Kind
  {
    // The runs of the orders that the target has received.
    std::vector<std::uint32_t> m_received;
    // The number of orders that the target may answer.
    std::size_t m_allowed = 0;
    bool m_released = false;
    std::size_t m_unanswered = 0;
    std::size_t m_mostAtOnce = 0;
  };

  // Receives an order and returns when the target may answer it.
  void Answer(Kind& aKind, std::uint32_t aRun)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    aKind.m_received.push_back(aRun);
    ++aKind.m_unanswered;
    aKind.m_mostAtOnce = std::max(aKind.m_mostAtOnce, aKind.m_unanswered);
    m_changed.notify_all();
    m_changed.wait(lock,
                   [&] { return aKind.m_released || aKind.m_allowed > 0; });
    if (!aKind.m_released) {
      --aKind.m_allowed;
    }
    --aKind.m_unanswered;
  }

  void Release(Kind& aKind)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    aKind.m_released = true;
    m_changed.notify_all();
  }

  void Await(const Kind& aKind, std::size_t aCount)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return aKind.m_received.size() >= aCount; });
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  Kind m_starts;
  Kind m_stops;
  Kind m_holds;
  std::map<std::uint32_t, std::vector<OrderStatus>> m_reports;
  std::size_t m_reportCount = 0;
};

} // namespace lycheestep

#endif
