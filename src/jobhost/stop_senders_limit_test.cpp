// Tests that the threads for stops stay within the limit of the host, and that
// no stop is left behind when they end.
#include "stop_senders.h"

#include <gmock/gmock.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

#include "event_log.h"
#include "metrics_registry.h"
#include "order_queue.h"
#include "sender_limit.h"
#include "slow_stop_target.h"
#include "target_connection.h"

namespace lycheestep {

namespace {

// A number of stops that is larger than the number of threads for one target.
constexpr std::uint32_t kStops = 40;
constexpr std::size_t kMaxOfTarget = 16;

class StopSendersLimitTest : public testing::Test
{
protected:
  StopSendersLimitTest()
    : m_log("test", m_metrics)
  {
  }

  std::unique_ptr<TargetConnection> Connect(SlowStopTarget& aTarget,
                                            SenderLimit& aLimit)
  {
    return std::make_unique<TargetConnection>(
      aTarget.m_orders,
      m_log,
      m_metrics,
      [] { return true; },
      aTarget.MakeHandlers(),
      aLimit);
  }

  static void StopRuns(TargetConnection& aConnection)
  {
    for (std::uint32_t run = 1; run <= kStops; ++run) {
      aConnection.Stop(SlowStopTarget::MakeStop(run));
    }
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
};

} // namespace

// Guards against threads without end where many targets are slow, and against
// targets that get no stop at all because others use up the limit.
TEST_F(StopSendersLimitTest, EachTargetHasOneThreadAndAllTogetherTheLimit)
{
  constexpr std::size_t kLimit = 20;
  std::array<SlowStopTarget, 4> targets;
  SenderLimit limit(kLimit);
  std::vector<std::unique_ptr<TargetConnection>> connections;
  for (SlowStopTarget& target : targets) {
    connections.push_back(Connect(target, limit));
    StopRuns(*connections.back());
  }
  // 16, 7, 1 and 1: the first thread of each target, and 20 more.
  targets[0].AwaitStops(kMaxOfTarget);
  targets[1].AwaitStops(kLimit - (kMaxOfTarget - 1) + 1);
  targets[2].AwaitStops(1);
  targets[3].AwaitStops(1);
  EXPECT_TRUE(limit.IsReached());
  std::size_t atOnce = 0;
  for (SlowStopTarget& target : targets) {
    EXPECT_LE(target.MostStopsAtOnce(), kMaxOfTarget);
    atOnce += target.MostStopsAtOnce();
  }
  EXPECT_EQ(atOnce, targets.size() + kLimit);
  for (SlowStopTarget& target : targets) {
    target.ReleaseAll();
    target.AwaitReports(kStops);
  }
}

// Guards against a slow target whose stops leave one at a time for as long as
// it is slow, because the limit was reached when they were queued.
TEST_F(StopSendersLimitTest, TargetUsesThreadsThatAnotherOneNoLongerNeeds)
{
  SlowStopTarget former;
  SlowStopTarget slow;
  SenderLimit limit(kMaxOfTarget - 1);
  const auto first = Connect(former, limit);
  const auto second = Connect(slow, limit);
  StopRuns(*first);
  former.AwaitStops(kMaxOfTarget);
  StopRuns(*second);
  slow.AwaitStops(1);
  former.ReleaseAll();
  first->Close();
  while (!first->IsFinished()) {
    std::this_thread::yield();
  }
  slow.ReleaseStops(1);
  slow.AwaitStops(1 + kMaxOfTarget);
  slow.ReleaseAll();
}

// Guards against a stop that stays in the queue because it was added just as
// the last thread ended.
TEST_F(StopSendersLimitTest, StopLeavesAlsoWhileTheLastThreadEnds)
{
  constexpr std::uint32_t kRounds = 20000;
  // Enough to reach from before to after the end of the thread.
  constexpr std::uint32_t kDelays = 500;
  SenderLimit none(0);
  OrderQueue queue;
  std::atomic<std::uint32_t> sent{ 0 };
  StopSenders senders(queue, none, [&](const QueuedOrder&) { ++sent; });
  for (std::uint32_t run = 1; run <= kRounds; ++run) {
    queue.Add(SlowStopTarget::MakeStop(run), TimePoint());
    senders.AddIfNeeded();
    while (sent < run) {
      std::this_thread::yield();
    }
    for (std::uint32_t i = 0; i < run % kDelays; ++i) {
      sent.load();
    }
  }
  queue.Close();
  EXPECT_EQ(sent, kRounds);
}

// Guards against a host that keeps the threads of a wave of stops for ever.
TEST_F(StopSendersLimitTest, ThreadsEndWithoutStops)
{
  SlowStopTarget target;
  SenderLimit limit(kMaxOfTarget);
  OrderQueue queue;
  StopSenders senders(queue, limit, [&](const QueuedOrder& aQueued) {
    const auto& stop = std::get<StopOrder>(aQueued.m_order);
    target.m_orders.Stop(stop, std::chrono::milliseconds(1));
  });
  for (std::uint32_t run = 1; run <= kStops; ++run) {
    queue.Add(SlowStopTarget::MakeStop(run), TimePoint());
    senders.AddIfNeeded();
  }
  target.AwaitStops(kMaxOfTarget);
  target.ReleaseAll();
  while (!senders.IsFinished()) {
    senders.JoinEnded();
    std::this_thread::yield();
  }
  EXPECT_TRUE(queue.IsEmpty());
  for (std::size_t i = 0; i < kMaxOfTarget; ++i) {
    EXPECT_TRUE(limit.TryAcquire());
  }
  queue.Close();
}

// Guards against stops that are not reported, or more than once, when they are
// repeated and the connection is closed while its threads send.
TEST_F(StopSendersLimitTest, EachStopIsReportedOnceAmongOtherOrders)
{
  constexpr std::uint32_t kRounds = 200;
  SlowStopTarget target;
  target.ReleaseAll();
  SenderLimit limit(3);
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    const auto connection = Connect(target, limit);
    for (std::uint32_t run = 1; run <= 10; ++run) {
      connection->Start(SlowStopTarget::MakeStart(run));
      connection->Stop(SlowStopTarget::MakeStop(run));
      connection->Stop(SlowStopTarget::MakeStop(run));
    }
    connection->Hold(SlowStopTarget::MakeHold(), HoldPath::kOrders);
    connection->Close();
    target.AwaitReports((round + 1) * std::size_t(20));
  }
  for (const auto& [run, reports] : target.Reports()) {
    EXPECT_EQ(reports.size(), 2 * kRounds) << run;
  }
}

} // namespace lycheestep
