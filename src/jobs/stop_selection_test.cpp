// Tests that stops can be taken from a queue apart from the other orders, so
// that neither waits for the other and none is lost or taken twice.
#include <chrono>
#include <cstdint>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

#include <gmock/gmock.h>
#include <rapidcheck.h>

#include "order_queue.h"

namespace lycheestep {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

StartOrder MakeStart(std::uint32_t aRun)
{
  StartOrder order;
  order.m_run.m_run = aRun;
  return order;
}

StopOrder MakeStop(std::uint32_t aRun)
{
  StopOrder order;
  order.m_run.m_run = aRun;
  return order;
}

template<typename Order>
bool Holds(const std::optional<QueuedOrder>& aQueued)
{
  return aQueued && std::holds_alternative<Order>(aQueued->m_order);
}

// Returns true if aQueued may be returned for aSelection.
bool MayBeTaken(const QueuedOrder& aQueued, OrderSelection aSelection)
{
  const bool isStop =
    std::holds_alternative<StopOrder>(aQueued.m_order) && !aQueued.m_withdrawn;
  return aSelection == OrderSelection::kAll ||
         isStop == (aSelection == OrderSelection::kStops);
}

// Takes all stops that are to be sent, and returns their run numbers.
std::vector<std::uint32_t> TakeStops(OrderQueue& aQueue)
{
  std::vector<std::uint32_t> runs;
  while (const auto stop =
           aQueue.Take(milliseconds(0), OrderSelection::kStops)) {
    runs.push_back(std::get<StopOrder>(stop->m_order).m_run.m_run);
  }
  return runs;
}

} // namespace

// Guards against stops that wait for the answer to a start or a take, and
// starts and takes that wait for the answer to a stop.
TEST(StopSelection, StopsAndOtherOrdersLeaveApart)
{
  OrderQueue queue;
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(MakeStop(2), TimePoint());
  queue.Add(HoldOrder(), TimePoint());
  queue.Add(MakeStop(3), TimePoint());
  const auto hold = queue.Take(milliseconds(0), OrderSelection::kAllButStops);
  EXPECT_TRUE(Holds<HoldOrder>(hold));
  const auto start = queue.Take(milliseconds(0), OrderSelection::kAllButStops);
  EXPECT_TRUE(Holds<StartOrder>(start));
  EXPECT_FALSE(queue.Take(milliseconds(0), OrderSelection::kAllButStops));
  EXPECT_THAT(TakeStops(queue), testing::ElementsAre(2, 3));
  EXPECT_TRUE(queue.IsEmpty());
}

// Guards against starts that never leave because they count on stops that are
// taken apart.
TEST(StopSelection, HoldsWithoutEndLetStartsLeave)
{
  OrderQueue queue;
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(MakeStop(2), TimePoint());
  int holds = 0;
  const auto takeNext = [&] {
    queue.Add(HoldOrder(), TimePoint());
    return queue.Take(milliseconds(0), OrderSelection::kAllButStops);
  };
  while (Holds<HoldOrder>(takeNext())) {
    ASSERT_LE(++holds, 16);
  }
  EXPECT_EQ(holds, 16);
}

// Guards against a withdrawn stop that is sent, and one that is never reported.
TEST(StopSelection, WithdrawnStopsLeaveWithTheOtherOrders)
{
  OrderQueue queue;
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(MakeStop(1), TimePoint());
  queue.Add(MakeStop(2), TimePoint());
  queue.Close();
  EXPECT_FALSE(queue.Take(hours(1), OrderSelection::kStops));
  for (int i = 0; i < 3; ++i) {
    const auto taken =
      queue.Take(milliseconds(0), OrderSelection::kAllButStops);
    ASSERT_TRUE(taken);
    EXPECT_TRUE(taken->m_withdrawn);
  }
  EXPECT_TRUE(queue.IsDrained());
}

// Guards against threads that are started for other orders than stops.
TEST(StopSelection, OnlyAStopThatWaitsIsUnattended)
{
  OrderQueue queue;
  EXPECT_FALSE(queue.HasUnattendedStop());
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(HoldOrder(), TimePoint());
  EXPECT_FALSE(queue.HasUnattendedStop());
  queue.Add(MakeStop(2), TimePoint());
  EXPECT_TRUE(queue.HasUnattendedStop());
  EXPECT_TRUE(queue.Take(hours(1), OrderSelection::kStops));
  EXPECT_FALSE(queue.HasUnattendedStop());
}

// Guards against a call that sleeps on while an order of its selection waits,
// because another call was woken for it.
TEST(StopSelection, EachOrderWakesACallOfItsSelection)
{
  constexpr std::uint32_t kOrders = 2000;
  OrderQueue queue;
  const auto takeAll = [&](OrderSelection aSelection) {
    for (std::uint32_t i = 0; i < kOrders; ++i) {
      while (!queue.Take(hours(1), aSelection)) {
      }
    }
  };
  std::thread stops([&] { takeAll(OrderSelection::kStops); });
  std::thread others([&] { takeAll(OrderSelection::kAllButStops); });
  for (std::uint32_t run = 1; run <= kOrders; ++run) {
    queue.Add(MakeStop(run), TimePoint());
    queue.Add(MakeStart(kOrders + run), TimePoint());
  }
  stops.join();
  others.join();
  EXPECT_TRUE(queue.IsEmpty());
}

// Guards against orders that are lost, taken twice or taken by the wrong call.
TEST(StopSelection, EachOrderIsTakenOnceByACallOfItsSelection)
{
  const bool held = rc::check("each order is taken once", [] {
    OrderQueue queue;
    std::size_t added = 0;
    std::size_t taken = 0;
    const auto take = [&](OrderSelection aSelection) {
      const auto order = queue.Take(milliseconds(0), aSelection);
      if (order) {
        ++taken;
        RC_ASSERT(MayBeTaken(*order, aSelection));
      }
      return order.has_value();
    };
    const auto moves =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int move : moves) {
      const auto run = *rc::gen::inRange<std::uint32_t>(1, 5);
      added += move < 3 ? 1 : 0;
      switch (move) {
        case 0:
          queue.Add(MakeStart(run), TimePoint());
          break;
        case 1:
          queue.Add(MakeStop(run), TimePoint());
          break;
        case 2:
          queue.Add(HoldOrder(), TimePoint());
          break;
        case 3:
          take(OrderSelection::kStops);
          break;
        case 4:
          take(OrderSelection::kAllButStops);
          break;
        default:
          take(OrderSelection::kAll);
      }
    }
    while (take(OrderSelection::kStops)) {
    }
    while (take(OrderSelection::kAllButStops)) {
    }
    RC_ASSERT(queue.IsEmpty());
    RC_ASSERT(taken == added);
  });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
