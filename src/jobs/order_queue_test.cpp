#include "order_queue.h"

#include <chrono>
#include <set>
#include <vector>

#include <gmock/gmock.h>
#include <rapidcheck.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;

StartOrder MakeStart(std::uint32_t aRun, FencingToken aFence = 1)
{
  StartOrder order;
  order.m_to.m_fence = aFence;
  order.m_run.m_run = aRun;
  return order;
}

StopOrder MakeStop(std::uint32_t aRun)
{
  StopOrder order;
  order.m_run.m_run = aRun;
  return order;
}

HoldOrder MakeHold(FencingToken aFence)
{
  HoldOrder order;
  order.m_to.m_fence = aFence;
  return order;
}

WithdrawOrder MakeWithdrawal(std::uint32_t aRun)
{
  WithdrawOrder order;
  order.m_run = RunName{ TaskName(), aRun };
  return order;
}

// Takes all orders that are queued.
std::vector<QueuedOrder> TakeAll(OrderQueue& aQueue)
{
  std::vector<QueuedOrder> taken;
  while (!aQueue.IsEmpty()) {
    taken.push_back(*aQueue.Take(milliseconds(0)));
  }
  return taken;
}

// Returns the run numbers of the starts in aOrders that are to be sent.
std::vector<std::uint32_t> StartsToSend(const std::vector<QueuedOrder>& aOrders)
{
  std::vector<std::uint32_t> runs;
  for (const QueuedOrder& order : aOrders) {
    const auto* start = std::get_if<StartOrder>(&order.m_order);
    if (start != nullptr && !order.m_withdrawn) {
      runs.push_back(start->m_run.m_run);
    }
  }
  return runs;
}

template<typename Order>
bool Holds(const QueuedOrder& aQueued)
{
  return std::holds_alternative<Order>(aQueued.m_order);
}

// Plays random calls of a queue and notes which starts became pointless.
class QueueGame
{
public:
  void Play(int aMove, std::uint32_t aRun)
  {
    switch (aMove) {
      case 0:
      case 1:
        m_queue.Add(MakeStart(++m_lastRun, m_fence), TimePoint());
        m_waiting.insert(m_lastRun);
        ++m_added;
        return;
      case 2:
        m_queue.Add(MakeStop(aRun), TimePoint());
        WithdrawIfWaiting(aRun);
        ++m_added;
        return;
      case 3:
        m_queue.Add(MakeHold(++m_fence), TimePoint());
        m_pointless.insert(m_waiting.begin(), m_waiting.end());
        ++m_added;
        return;
      case 4:
        m_queue.Withdraw(MakeWithdrawal(aRun));
        WithdrawIfWaiting(aRun);
        return;
      default:
        if (const auto order = m_queue.Take(milliseconds(0))) {
          Check({ *order });
        }
    }
  }

  void Finish()
  {
    Check(TakeAll(m_queue));
    RC_ASSERT(m_taken == m_added);
  }

  std::uint32_t LastRun() const { return m_lastRun; }

private:
  void WithdrawIfWaiting(std::uint32_t aRun)
  {
    if (m_waiting.count(aRun) > 0) {
      m_pointless.insert(aRun);
    }
  }

  void Check(const std::vector<QueuedOrder>& aTaken)
  {
    m_taken += aTaken.size();
    for (const std::uint32_t sent : StartsToSend(aTaken)) {
      RC_ASSERT(m_pointless.count(sent) == 0U);
      m_waiting.erase(sent);
    }
  }

  OrderQueue m_queue;
  std::uint32_t m_lastRun = 0;
  FencingToken m_fence = 1;
  std::size_t m_added = 0;
  std::size_t m_taken = 0;
  // The runs whose starts were added and not sent.
  std::set<std::uint32_t> m_waiting;
  std::set<std::uint32_t> m_pointless;
};

} // namespace

TEST(OrderQueue, StopsAndHoldsLeaveBeforeStarts)
{
  OrderQueue queue;
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(MakeStart(2), TimePoint());
  queue.Add(MakeStop(7), TimePoint());
  queue.Add(MakeHold(1), TimePoint());
  const std::vector<QueuedOrder> taken = TakeAll(queue);
  ASSERT_EQ(taken.size(), 4U);
  EXPECT_TRUE(Holds<StopOrder>(taken[0]));
  EXPECT_TRUE(Holds<HoldOrder>(taken[1]));
  EXPECT_THAT(StartsToSend(taken), testing::ElementsAre(1, 2));
}

TEST(OrderQueue, StopWithdrawsTheStartOfItsRun)
{
  OrderQueue queue;
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(MakeStart(2), TimePoint());
  queue.Add(MakeStop(1), TimePoint());
  const std::vector<QueuedOrder> taken = TakeAll(queue);
  ASSERT_EQ(taken.size(), 3U);
  EXPECT_THAT(StartsToSend(taken), testing::ElementsAre(2));
  EXPECT_TRUE(taken[0].m_withdrawn);
  EXPECT_TRUE(Holds<StopOrder>(taken[1]) && taken[1].m_withdrawn);
}

TEST(OrderQueue, RepeatedStopLeavesOnce)
{
  OrderQueue queue;
  queue.Add(MakeStop(1), TimePoint());
  queue.Add(MakeStop(1), TimePoint());
  const std::vector<QueuedOrder> taken = TakeAll(queue);
  ASSERT_EQ(taken.size(), 2U);
  EXPECT_NE(taken[0].m_withdrawn, taken[1].m_withdrawn);
}

TEST(OrderQueue, HoldWithdrawsStartsUnderLowerTokens)
{
  OrderQueue queue;
  queue.Add(MakeStart(1, 4), TimePoint());
  queue.Add(MakeStart(2, 5), TimePoint());
  queue.Add(MakeHold(5), TimePoint());
  EXPECT_THAT(StartsToSend(TakeAll(queue)), testing::ElementsAre(2));
}

TEST(OrderQueue, WithdrawalNamesOneStartOrAll)
{
  OrderQueue queue;
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(MakeStart(2), TimePoint());
  queue.Withdraw(MakeWithdrawal(1));
  EXPECT_THAT(StartsToSend(TakeAll(queue)), testing::ElementsAre(2));
  queue.Add(MakeStart(3), TimePoint());
  queue.Add(MakeStart(4), TimePoint());
  queue.Withdraw(WithdrawOrder());
  EXPECT_THAT(StartsToSend(TakeAll(queue)), testing::IsEmpty());
}

TEST(OrderQueue, ClosedQueueReturnsAllOrdersAsWithdrawn)
{
  OrderQueue queue;
  queue.Add(MakeStart(1), TimePoint());
  queue.Add(MakeHold(1), TimePoint());
  queue.Close();
  queue.Add(MakeStop(2), TimePoint());
  EXPECT_FALSE(queue.IsDrained());
  for (int i = 0; i < 3; ++i) {
    const auto taken = queue.Take(milliseconds(0));
    ASSERT_TRUE(taken);
    EXPECT_TRUE(taken->m_withdrawn);
  }
  EXPECT_TRUE(queue.IsDrained());
  EXPECT_FALSE(queue.Take(std::chrono::hours(1)));
}

TEST(OrderQueue, NoStartLeavesAfterItsWithdrawal)
{
  const bool held =
    rc::check("each order leaves once, and no start that is pointless", [] {
      QueueGame game;
      const auto moves =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
      for (const int move : moves) {
        game.Play(move,
                  *rc::gen::inRange<std::uint32_t>(1, game.LastRun() + 2));
      }
      game.Finish();
    });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
