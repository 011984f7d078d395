// Tests that runs of a cancelled job do not go on because a carrier waits for
// the answers to other stops, and that each answer names its order.
#include "order_carrier.h"

#include <gmock/gmock.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "boot_clock.h"
#include "event_log.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "order_messages.h"
#include "slow_stop_target.h"

namespace lycheestep {

namespace {

constexpr std::uint32_t kStops = 16;

// Returns a message without orders of a leader that may send orders.
proto::JobPeerMessage MakeMessage()
{
  proto::JobPeerMessage message;
  message.set_incarnation(7);
  message.set_address("leader:1");
  message.mutable_carried_orders()->set_not_after_ms(ToMilliseconds(
    BootClockNow().time_since_epoch() + std::chrono::seconds(100)));
  return message;
}

// A carrier with a target that does not answer. Records the status that is sent
// for each order.
class SlowStopCarrierTest : public testing::Test
{
protected:
  SlowStopCarrierTest()
    : m_log("test", m_metrics)
    , m_carrier(
        m_target.m_orders,
        m_log,
        m_metrics,
        [this](const std::string& /*aAddress*/,
               const proto::JobPeerMessage& aMessage) {
          const std::lock_guard<std::mutex> lock(m_mutex);
          for (const auto& answer : aMessage.carried_answers().answer()) {
            m_statuses[answer.id()] = DecodeOrderAnswer(answer).m_status;
          }
          m_answerSent.notify_all();
        })
  {
  }

  ~SlowStopCarrierTest() override { m_target.ReleaseAll(); }

  void CarryStop(std::uint64_t aId, std::uint32_t aRun, FencingToken aFence = 1)
  {
    proto::JobPeerMessage message = MakeMessage();
    proto::CarriedOrder& carried =
      *message.mutable_carried_orders()->add_order();
    EncodeStop(SlowStopTarget::MakeStop(aRun, aFence), carried);
    carried.set_id(aId);
    m_carrier.Carry(message);
  }

  void AwaitAnswers(std::size_t aCount)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_answerSent.wait(lock, [&] { return m_statuses.size() >= aCount; });
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  SlowStopTarget m_target;
  std::mutex m_mutex;
  std::condition_variable m_answerSent;
  std::map<std::uint64_t, OrderStatus> m_statuses;
  OrderCarrier m_carrier;
};

} // namespace

// Guards against carried stops that leave one at a time, so that the last run
// goes on for as long as the target takes to answer all stops before.
TEST_F(SlowStopCarrierTest, AllStopsArriveBeforeTheFirstAnswer)
{
  for (std::uint32_t run = 1; run <= kStops; ++run) {
    CarryStop(run, run);
  }
  m_target.AwaitStops(kStops);
  m_target.ReleaseAll();
  AwaitAnswers(kStops);
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const auto& [id, status] : m_statuses) {
    EXPECT_EQ(status, OrderStatus::kDone) << id;
  }
}

// Guards against an answer to a stop that is sent to the leader as the answer
// to another stop of the same run, under another fencing token, because the two
// are answered in another order than they came.
TEST_F(SlowStopCarrierTest, AnswersOfOneRunNameTheirOrders)
{
  ON_CALL(m_target.m_orders, Stop(testing::_, testing::_))
    .WillByDefault([this](const StopOrder& aOrder, Duration) {
      if (aOrder.m_to.m_fence == 1) {
        // The first stop is answered after the second one is reported.
        AwaitAnswers(1);
        return OrderAnswer{ OrderStatus::kFenced, TargetTime(0) };
      }
      return OrderAnswer{ OrderStatus::kDone, TargetTime(0) };
    });
  CarryStop(11, 1, 1);
  CarryStop(12, 1, 2);
  AwaitAnswers(2);
  const std::lock_guard<std::mutex> lock(m_mutex);
  EXPECT_EQ(m_statuses.at(11), OrderStatus::kFenced);
  EXPECT_EQ(m_statuses.at(12), OrderStatus::kDone);
}

// Guards against a process that ends when a carrier stops while several stops
// are on their way.
TEST_F(SlowStopCarrierTest, StopsWhileStopsAreUnanswered)
{
  for (std::uint32_t run = 1; run <= 3 * kStops; ++run) {
    CarryStop(run, run);
  }
  m_target.AwaitStops(kStops);
  m_target.ReleaseAll();
  m_carrier.Stop();
  EXPECT_FALSE(m_carrier.IsCarrying());
}

} // namespace lycheestep
