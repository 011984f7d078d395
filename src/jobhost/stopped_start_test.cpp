// Tests that a start which waits for its target does not outlive its reason.
#include "target_connection.h"

#include <gmock/gmock.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <vector>

#include "boot_clock.h"
#include "event_log.h"
#include "metrics_registry.h"
#include "mock_target_orders.h"
#include "sender_limit.h"

namespace lycheestep {

namespace {

using testing::_;
using testing::ElementsAre;
using testing::NiceMock;

StartOrder MakeStart(std::uint32_t aRun)
{
  StartOrder order;
  order.m_to.m_target = TargetId("t1");
  order.m_to.m_fence = 1;
  order.m_run.m_run = aRun;
  return order;
}

StopOrder MakeStop(std::uint32_t aRun)
{
  const StartOrder start = MakeStart(aRun);
  return StopOrder{ start.m_to, start.m_run };
}

// A connection to a target that does not answer its first start until the test
// lets it. Records the starts that reach the target.
class StoppedStartTest : public testing::Test
{
protected:
  StoppedStartTest()
    : m_log("test", m_metrics)
    , m_released(m_release.get_future().share())
  {
    ON_CALL(m_orders, Start(_, _))
      .WillByDefault([this](const StartOrder& aOrder, Duration) {
        {
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_started.push_back(aOrder.m_run.m_run);
        }
        m_changed.notify_all();
        m_released.wait();
        return OrderAnswer{ OrderStatus::kDone, TargetTime(0) };
      });
  }

  // Starts run 1 and returns when the target has the order.
  void BlockConnection(TargetConnection& aConnection)
  {
    aConnection.Start(MakeStart(1));
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_started.empty(); });
  }

  // Lets the target answer, and waits until aCount starts are reported.
  void AwaitAnswers(std::size_t aCount)
  {
    m_release.set_value();
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return m_answered.size() >= aCount; });
  }

  // Returns handlers that record the answers to starts.
  OrderAnswerHandlers Handlers()
  {
    OrderAnswerHandlers handlers;
    handlers.m_started = [this](const StartOrder& aOrder,
                                const OrderAnswer& aAnswer) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_answered[aOrder.m_run.m_run] = aAnswer.m_status;
      m_changed.notify_all();
    };
    handlers.m_stopped = [](const StopOrder&, const OrderAnswer&) {};
    handlers.m_held = [](const HoldOrder&, HoldPath, const HoldAnswer&) {};
    return handlers;
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  NiceMock<MockTargetOrders> m_orders;
  std::promise<void> m_release;
  std::shared_future<void> m_released;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  // The run numbers of the starts that reached the target.
  std::vector<std::uint32_t> m_started;
  // What was reported of each start, by its run number.
  std::map<std::uint32_t, OrderStatus> m_answered;
};

} // namespace

// Guards against starts that leave after their job was cancelled.
TEST_F(StoppedStartTest, StartThatWaitsIsNotSentAfterItsStop)
{
  TargetConnection connection(
    m_orders, m_log, m_metrics, [] { return true; }, Handlers());
  BlockConnection(connection);
  connection.Start(MakeStart(2));
  connection.Stop(MakeStop(2));
  AwaitAnswers(2);
  const std::lock_guard<std::mutex> lock(m_mutex);
  EXPECT_THAT(m_started, ElementsAre(1));
}

// Guards against starts that leave long after their job was cancelled, because
// the cancellations became unknown while they waited for their target.
TEST_F(StoppedStartTest, StartThatWaitsIsNotSentOnceStartsAreNotAllowed)
{
  std::atomic<bool> mayStart{ true };
  TargetConnection connection(
    m_orders,
    m_log,
    m_metrics,
    [] { return true; },
    Handlers(),
    SenderLimit::OfHost(),
    [&mayStart] { return mayStart ? TimePoint::max() : BootClockNow(); });
  BlockConnection(connection);
  connection.Start(MakeStart(2));
  mayStart = false;
  AwaitAnswers(2);
  const std::lock_guard<std::mutex> lock(m_mutex);
  EXPECT_THAT(m_started, ElementsAre(1));
  EXPECT_EQ(m_answered.at(2), OrderStatus::kNotSent);
  EXPECT_NE(m_metrics.Render().find(
              "lycheestep_starts_dropped_total{reason=\"cancellations\"} 1"),
            std::string::npos);
}

// Guards against jobs that never end because the fleet passes the size up to
// which orders go directly, and the starts that wait are dropped unreported.
TEST_F(StoppedStartTest, ClosedConnectionReportsEveryStartThatWaits)
{
  TargetConnection connection(
    m_orders, m_log, m_metrics, [] { return true; }, Handlers());
  BlockConnection(connection);
  constexpr std::uint32_t kWaiting = 50;
  for (std::uint32_t run = 2; run < 2 + kWaiting; ++run) {
    connection.Start(MakeStart(run));
  }
  connection.Close();
  connection.Start(MakeStart(2 + kWaiting));
  AwaitAnswers(2 + kWaiting);
  const std::lock_guard<std::mutex> lock(m_mutex);
  EXPECT_THAT(m_started, ElementsAre(1));
  EXPECT_EQ(m_answered.at(1), OrderStatus::kDone);
  for (std::uint32_t run = 2; run <= 2 + kWaiting; ++run) {
    EXPECT_EQ(m_answered.at(run), OrderStatus::kWithdrawn) << run;
  }
}

} // namespace lycheestep
