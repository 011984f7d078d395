// Tests of stops that are repeated faster than a slow target answers them.
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>

#include <gmock/gmock.h>

#include "order_queue.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;

// The number of orders that the target answers in a test.
constexpr int kAnswers = 20;

void AddStop(OrderQueue& aQueue, std::uint32_t aRun)
{
  StopOrder order;
  order.m_run.m_run = aRun;
  aQueue.Add(order, TimePoint());
}

// Returns the next order that is to be sent.
std::optional<QueuedOrder> TakeNext(OrderQueue& aQueue)
{
  auto order = aQueue.Take(milliseconds(0));
  while (order && order->m_withdrawn) {
    order = aQueue.Take(milliseconds(0));
  }
  return order;
}

} // namespace

// Guards against runs of a cancelled job that go on because the stop of another
// run is repeated before theirs is sent.
TEST(RepeatedStop, OtherStopsLeaveAsWell)
{
  OrderQueue queue;
  std::set<std::uint32_t> stopped;
  for (int i = 0; i < kAnswers; ++i) {
    for (const std::uint32_t run : { 1, 2, 3 }) {
      AddStop(queue, run);
    }
    const auto order = TakeNext(queue);
    ASSERT_TRUE(order);
    stopped.insert(std::get<StopOrder>(order->m_order).m_run.m_run);
  }
  EXPECT_THAT(stopped, testing::ElementsAre(1, 2, 3));
}

// Guards against starts that are never sent while a run does not end that is to
// be stopped.
TEST(RepeatedStop, StartsLeaveAsWell)
{
  OrderQueue queue;
  queue.Add(StartOrder(), TimePoint());
  int starts = 0;
  for (int i = 0; i < kAnswers; ++i) {
    AddStop(queue, 1);
    const auto order = TakeNext(queue);
    ASSERT_TRUE(order);
    starts += std::holds_alternative<StartOrder>(order->m_order) ? 1 : 0;
  }
  EXPECT_EQ(starts, 1);
}

} // namespace lycheestep
