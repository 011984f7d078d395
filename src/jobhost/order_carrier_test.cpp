#include "order_carrier.h"

#include <gmock/gmock.h>

#include <chrono>
#include <future>
#include <thread>

#include "boot_clock.h"
#include "event_log.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "mock_target_orders.h"
#include "order_messages.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;
using testing::_;
using testing::NiceMock;

OrderAnswer DoneAt(TargetTime aClock)
{
  return OrderAnswer{ OrderStatus::kDone, aClock };
}

// A carrier with mocked targets. Records the replies that it sent.
class OrderCarrierTest : public testing::Test
{
protected:
  OrderCarrierTest()
    : m_log("test", m_metrics)
    , m_carrier(m_orders,
                m_log,
                m_metrics,
                [this](const std::string& aAddress,
                       const proto::JobPeerMessage& aMessage) {
                  EXPECT_NE(aMessage.to_incarnation(), 0U);
                  const std::lock_guard<std::mutex> lock(m_mutex);
                  for (const auto& answer :
                       aMessage.carried_answers().answer()) {
                    m_answers.emplace_back(aAddress, answer);
                  }
                  m_answerSent.notify_all();
                })
  {
  }

  // Makes a message without orders from the leader at aAddress. Orders in it
  // may be sent for aValid from now on.
  static proto::JobPeerMessage Message(std::uint64_t aIncarnation,
                                       const std::string& aAddress,
                                       Duration aValid)
  {
    proto::JobPeerMessage message;
    message.set_incarnation(aIncarnation);
    message.set_address(aAddress);
    message.mutable_carried_orders()->set_not_after_ms(
      ToMilliseconds(BootClockNow().time_since_epoch() + aValid));
    return message;
  }

  static void AddStart(proto::JobPeerMessage& aMessage, std::uint64_t aId)
  {
    StartOrder order;
    order.m_to.m_target = TargetId("t1");
    order.m_to.m_fence = 1;
    order.m_run.m_run = static_cast<std::uint32_t>(aId);
    proto::CarriedOrder* carried =
      aMessage.mutable_carried_orders()->add_order();
    EncodeStart(order, *carried);
    carried->set_id(aId);
  }

  // Waits until the carrier has sent aCount replies.
  void AwaitAnswers(std::size_t aCount)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_answerSent.wait(lock, [&] { return m_answers.size() >= aCount; });
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  NiceMock<MockTargetOrders> m_orders;
  std::mutex m_mutex;
  std::condition_variable m_answerSent;
  std::vector<std::pair<std::string, proto::CarriedAnswer>> m_answers;
  OrderCarrier m_carrier;
};

} // namespace

TEST_F(OrderCarrierTest, EachAnswerNamesItsOrder)
{
  ON_CALL(m_orders, Start(_, _))
    .WillByDefault([](const StartOrder& aOrder, Duration) {
      return DoneAt(TargetTime(aOrder.m_run.m_run * 10));
    });
  proto::JobPeerMessage message = Message(7, "leader:1", seconds(100));
  for (std::uint64_t id = 1; id <= 20; ++id) {
    AddStart(message, id);
  }
  m_carrier.Carry(message);
  AwaitAnswers(20);
  for (const auto& [address, answer] : m_answers) {
    EXPECT_EQ(address, "leader:1");
    EXPECT_EQ(answer.target_clock_ms(),
              static_cast<std::int64_t>(answer.id() * 10));
  }
}

TEST_F(OrderCarrierTest, NothingIsSentAfterTheRightToSendHasEnded)
{
  EXPECT_CALL(m_orders, Start(_, _)).Times(0);
  proto::JobPeerMessage message = Message(7, "leader:1", seconds(-1));
  AddStart(message, 1);
  m_carrier.Carry(message);
  AwaitAnswers(1);
  EXPECT_EQ(m_answers.front().second.status(),
            static_cast<std::uint32_t>(OrderStatus::kNotSent));
}

// Guards against starts that leave long after their job was cancelled, because
// the withdrawal was lost on its way and later orders kept the right to send.
TEST_F(OrderCarrierTest, StartIsNotSentAfterItsOwnDeadline)
{
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  EXPECT_CALL(m_orders, Start(_, _))
    .WillOnce([released](const StartOrder&, Duration) {
      released.wait();
      return DoneAt(TargetTime(0));
    });
  proto::JobPeerMessage message = Message(7, "leader:1", seconds(100));
  message.mutable_carried_orders()->set_starts_not_after_ms(
    ToMilliseconds(BootClockNow().time_since_epoch() + seconds(1)));
  AddStart(message, 1);
  AddStart(message, 2);
  m_carrier.Carry(message);
  proto::JobPeerMessage later = Message(7, "leader:1", seconds(100));
  later.mutable_carried_orders()->set_starts_not_after_ms(
    later.carried_orders().not_after_ms());
  m_carrier.Carry(later);
  std::this_thread::sleep_for(seconds(1));
  release.set_value();
  AwaitAnswers(2);
  for (const auto& [address, answer] : m_answers) {
    const OrderStatus expected =
      answer.id() == 2 ? OrderStatus::kNotSent : OrderStatus::kDone;
    EXPECT_EQ(DecodeOrderAnswer(answer).m_status, expected);
  }
}

TEST_F(OrderCarrierTest, NewLeaderDoesNotWaitForOrdersOfAFormerOne)
{
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  ON_CALL(m_orders, Start(_, _))
    .WillByDefault([released](const StartOrder& aOrder, Duration) {
      if (aOrder.m_run.m_run == 1) {
        released.wait();
      }
      return DoneAt(TargetTime(0));
    });
  proto::JobPeerMessage former = Message(7, "former:1", seconds(100));
  AddStart(former, 1);
  m_carrier.Carry(former);
  proto::JobPeerMessage newer = Message(8, "newer:1", seconds(100));
  AddStart(newer, 2);
  m_carrier.Carry(newer);
  AwaitAnswers(1);
  EXPECT_EQ(m_answers.front().first, "newer:1");
  release.set_value();
  AwaitAnswers(2);
}

TEST_F(OrderCarrierTest, WithdrawnStartIsNotSent)
{
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  EXPECT_CALL(m_orders, Start(_, _))
    .WillOnce([released](const StartOrder&, Duration) {
      released.wait();
      return DoneAt(TargetTime(0));
    });
  proto::JobPeerMessage message = Message(7, "leader:1", seconds(100));
  AddStart(message, 1);
  AddStart(message, 2);
  m_carrier.Carry(message);
  proto::JobPeerMessage withdrawal = Message(7, "leader:1", seconds(100));
  RunName run;
  run.m_run = 2;
  EncodeWithdrawal(WithdrawOrder{ TargetId("t1"), run },
                   *withdrawal.mutable_carried_orders()->add_order());
  m_carrier.Carry(withdrawal);
  release.set_value();
  AwaitAnswers(2);
  for (const auto& [address, answer] : m_answers) {
    const OrderStatus expected =
      answer.id() == 2 ? OrderStatus::kWithdrawn : OrderStatus::kDone;
    EXPECT_EQ(DecodeOrderAnswer(answer).m_status, expected);
  }
}

TEST_F(OrderCarrierTest, StoppedCarrierDropsOrders)
{
  EXPECT_CALL(m_orders, Start(_, _)).Times(0);
  m_carrier.Stop();
  proto::JobPeerMessage message = Message(7, "leader:1", seconds(100));
  AddStart(message, 1);
  m_carrier.Carry(message);
  EXPECT_FALSE(m_carrier.IsCarrying());
}

} // namespace lycheestep
