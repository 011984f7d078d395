// Tests that runs of a cancelled job do not go on because the target is slow to
// answer the stops of other runs, or other orders.
#include "target_connection.h"

#include <gmock/gmock.h>

#include <cstdint>
#include <numeric>
#include <vector>

#include "event_log.h"
#include "metrics_registry.h"
#include "slow_stop_target.h"

namespace lycheestep {

namespace {

using testing::Each;
using testing::ElementsAre;
using testing::UnorderedElementsAreArray;

constexpr std::uint32_t kStops = 16;

// Returns the run numbers 1 to aCount.
std::vector<std::uint32_t> RunsUpTo(std::uint32_t aCount)
{
  std::vector<std::uint32_t> runs(aCount);
  std::iota(runs.begin(), runs.end(), 1);
  return runs;
}

class SlowStopConnectionTest : public testing::Test
{
protected:
  SlowStopConnectionTest()
    : m_log("test", m_metrics)
    , m_connection(
        m_target.m_orders,
        m_log,
        m_metrics,
        [] { return true; },
        m_target.MakeHandlers())
  {
  }

  ~SlowStopConnectionTest() override { m_target.ReleaseAll(); }

  void StopRuns(std::uint32_t aCount)
  {
    for (std::uint32_t run = 1; run <= aCount; ++run) {
      m_connection.Stop(SlowStopTarget::MakeStop(run));
    }
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  SlowStopTarget m_target;
  TargetConnection m_connection;
};

} // namespace

// Guards against stops that leave one at a time, so that the last run goes on
// for as long as the target takes to answer all stops before.
TEST_F(SlowStopConnectionTest, AllStopsArriveBeforeTheFirstAnswer)
{
  StopRuns(kStops);
  m_target.AwaitStops(kStops);
  EXPECT_THAT(m_target.StoppedRuns(),
              UnorderedElementsAreArray(RunsUpTo(kStops)));
  EXPECT_TRUE(m_target.Reports().empty());
  m_target.ReleaseAll();
  m_target.AwaitReports(kStops);
  for (const auto& [run, reports] : m_target.Reports()) {
    EXPECT_THAT(reports, ElementsAre(OrderStatus::kDone)) << run;
  }
}

// Guards against a target that is not taken, and so gets no further stops, as
// the hold that takes it waits for the answers to stops.
TEST_F(SlowStopConnectionTest, TakeArrivesWhileStopsAreUnanswered)
{
  StopRuns(kStops);
  m_target.AwaitStops(1);
  m_connection.Hold(SlowStopTarget::MakeHold(), HoldPath::kOrders);
  m_target.AwaitHolds(1);
  EXPECT_TRUE(m_target.Reports().empty());
}

// Guards against starts that wait for the answers to stops.
TEST_F(SlowStopConnectionTest, StartArrivesWhileStopsAreUnanswered)
{
  StopRuns(kStops);
  m_target.AwaitStops(1);
  m_connection.Start(SlowStopTarget::MakeStart(kStops + 1));
  m_target.AwaitStarts(1);
  EXPECT_TRUE(m_target.Reports().empty());
}

// Guards against runs that go on because another run's start is unanswered.
TEST_F(SlowStopConnectionTest, StopsArriveWhileAStartIsUnanswered)
{
  m_connection.Start(SlowStopTarget::MakeStart(kStops + 1));
  m_target.AwaitStarts(1);
  StopRuns(kStops);
  m_target.AwaitStops(kStops);
}

// Guards against runs that go on because the take of their target is
// unanswered.
TEST_F(SlowStopConnectionTest, StopsArriveWhileATakeIsUnanswered)
{
  m_connection.Hold(SlowStopTarget::MakeHold(), HoldPath::kOrders);
  m_target.AwaitHolds(1);
  StopRuns(kStops);
  m_target.AwaitStops(kStops);
}

// Guards against a stop that is never sent, or sent only when it is repeated,
// because it was queued when all senders of stops were busy.
TEST_F(SlowStopConnectionTest, MoreStopsThanSendersAllArrive)
{
  constexpr std::uint32_t kMany = 5 * kStops;
  StopRuns(kMany);
  for (std::uint32_t answered = 0; answered < kMany; ++answered) {
    m_target.AwaitStops(answered + 1);
    m_target.ReleaseStops(1);
    m_target.AwaitReports(answered + 1);
  }
  EXPECT_THAT(m_target.StoppedRuns(),
              UnorderedElementsAreArray(RunsUpTo(kMany)));
  EXPECT_LE(m_target.MostStopsAtOnce(), kStops);
}

// Guards against stops that are dropped without a report when a connection is
// closed, for example because the fleet passes the size up to which orders go
// directly, and against a Close that waits for the target.
TEST_F(SlowStopConnectionTest, ClosedConnectionReportsEveryStop)
{
  constexpr std::uint32_t kMany = 3 * kStops;
  StopRuns(kMany);
  m_target.AwaitStops(kStops);
  m_connection.Close();
  EXPECT_FALSE(m_connection.IsFinished());
  m_target.AwaitReports(kMany - kStops);
  for (const auto& [run, reports] : m_target.Reports()) {
    EXPECT_THAT(reports, ElementsAre(OrderStatus::kWithdrawn)) << run;
  }
  EXPECT_TRUE(m_connection.IsIdle());
  m_target.ReleaseAll();
  m_target.AwaitReports(kMany);
  EXPECT_EQ(m_target.Reports().size(), kMany);
  EXPECT_THAT(
    m_target.Reports(),
    Each(testing::Field(
      &std::pair<const std::uint32_t, std::vector<OrderStatus>>::second,
      testing::SizeIs(1))));
}

// Guards against stops that are sent after the leader's right to send orders
// has ended.
TEST(SlowStopConnection, NoStopLeavesWithoutTheRightToSendOrders)
{
  MetricsRegistry metrics;
  EventLog log("test", metrics);
  SlowStopTarget target;
  TargetConnection connection(
    target.m_orders, log, metrics, [] { return false; }, target.MakeHandlers());
  connection.Stop(SlowStopTarget::MakeStop(1));
  target.AwaitReports(1);
  EXPECT_THAT(target.Reports().at(1), ElementsAre(OrderStatus::kNotSent));
  EXPECT_TRUE(target.StoppedRuns().empty());
}

} // namespace lycheestep
