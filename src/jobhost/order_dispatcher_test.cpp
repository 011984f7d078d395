#include "order_dispatcher.h"

#include <gmock/gmock.h>

#include <chrono>
#include <optional>
#include <set>

#include "order_messages.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A dispatcher for hosts in two data centres. Records the batches that it sent
// and the results that it reported.
class OrderDispatcherTest : public testing::Test
{
protected:
  OrderDispatcherTest()
    : m_dispatcher(
        [this](const std::string& aHost, proto::CarriedOrders aOrders) {
          m_sent.emplace_back(aHost, std::move(aOrders));
        },
        MakeAnswers(),
        0)
  {
    m_dispatcher.SetHosts({ CarrierHost{ "a", DataCentreName("north"), 0.5 },
                            CarrierHost{ "b", DataCentreName("south"), 0.5 },
                            CarrierHost{ "c", DataCentreName("south"), 0.1 } });
    ReportAllAlive();
  }

  OrderAnswerHandlers MakeAnswers()
  {
    OrderAnswerHandlers answers;
    answers.m_started = [this](const StartOrder&, const OrderAnswer& aAnswer) {
      m_started.push_back(aAnswer.m_status);
    };
    answers.m_stopped = [](const StopOrder&, const OrderAnswer&) {};
    answers.m_held =
      [this](const HoldOrder&, HoldPath, const HoldAnswer& aAnswer) {
        m_held.push_back(aAnswer.m_status);
      };
    return answers;
  }

  void ReportAlive(const std::string& aHost)
  {
    m_dispatcher.OnCarrierAlive(aHost, seconds(50), true, m_now);
  }

  void ReportAllAlive()
  {
    for (const char* host : { "a", "b", "c" }) {
      ReportAlive(host);
    }
  }

  static TargetId Target(int aNumber)
  {
    return TargetId("t" + std::to_string(aNumber));
  }

  // Adds a hold of the target to the dispatcher's batch.
  void SendHold(int aTarget)
  {
    HoldOrder order;
    order.m_to.m_target = Target(aTarget);
    m_dispatcher.Hold(order, HoldPath::kWatch);
  }

  static StopOrder AStop(int aTarget)
  {
    StopOrder order;
    order.m_to.m_target = Target(aTarget);
    return order;
  }

  void SendStart(int aTarget)
  {
    StartOrder order;
    order.m_to.m_target = Target(aTarget);
    order.m_payload = "work";
    m_dispatcher.Start(order);
  }

  void Flush() { m_dispatcher.Flush(m_now + seconds(3), m_now + seconds(2)); }

  std::size_t OrdersSentTo(const std::string& aHost) const
  {
    std::size_t count = 0;
    for (const auto& [host, orders] : m_sent) {
      count += host == aHost ? orders.order_size() : 0;
    }
    return count;
  }

  TimePoint m_now{ seconds(100) };
  std::vector<std::pair<std::string, proto::CarriedOrders>> m_sent;
  std::vector<OrderStatus> m_started;
  std::vector<OrderStatus> m_held;
  OrderDispatcher m_dispatcher;
};

} // namespace

TEST_F(OrderDispatcherTest, LargerHostsInTheTargetsDataCentreCarryMore)
{
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(m_dispatcher.Assign(Target(i), DataCentreName("south"), m_now));
    SendHold(i);
  }
  Flush();
  EXPECT_GT(OrdersSentTo("b"), OrdersSentTo("a"));
  EXPECT_GT(OrdersSentTo("a"), 0U);
  EXPECT_GT(OrdersSentTo("b"), 3 * OrdersSentTo("c"));
  EXPECT_EQ(m_sent.size(), 3U); // one message per host for all its orders
}

TEST_F(OrderDispatcherTest, OrdersOfASilentCarrierAreAnsweredAsUnknown)
{
  m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now);
  SendStart(1);
  SendHold(1);
  Flush();
  for (int i = 0; i < 5; ++i) {
    m_now += milliseconds(250);
    ReportAlive("b");
    m_dispatcher.Tick(m_now);
  }
  EXPECT_THAT(m_started, testing::ElementsAre(OrderStatus::kUnknown));
  EXPECT_THAT(m_held, testing::ElementsAre(OrderStatus::kUnknown));
  m_sent.clear();
  ASSERT_TRUE(m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now));
  SendHold(1);
  Flush();
  EXPECT_EQ(OrdersSentTo("b"), 1U);
}

TEST_F(OrderDispatcherTest, LateAnswerOfASilentCarrierIsIgnored)
{
  m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now);
  SendStart(1);
  Flush();
  const std::uint64_t id = m_sent.front().second.order(0).id();
  m_now += seconds(1);
  ReportAlive("b");
  m_dispatcher.Tick(m_now - milliseconds(300));
  m_dispatcher.Tick(m_now);
  proto::CarriedAnswers answers;
  answers.add_answer()->set_id(id);
  m_dispatcher.OnAnswers("a", answers, m_now);
  EXPECT_THAT(m_started, testing::SizeIs(1));
}

// The message may be in transit for any time, so the end of the leader's right
// to send orders is stated by the carrier's clock.
TEST_F(OrderDispatcherTest, RightToOrderEndsByTheCarriersClock)
{
  m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now);
  m_now += milliseconds(700);
  SendStart(1);
  m_dispatcher.Flush(m_now + seconds(2), m_now + seconds(1));
  // The carrier's clock showed 50 s when its HostAlive message arrived, 0.7 s
  // ago.
  EXPECT_EQ(m_sent.front().second.not_after_ms(), 52700);
  EXPECT_EQ(m_sent.front().second.starts_not_after_ms(), 51700);
}

// Guards against starts that a host of an earlier release sends long after
// their job was cancelled.
TEST_F(OrderDispatcherTest, HostThatDoesNotBoundStartsCarriesNothing)
{
  for (const char* host : { "a", "b", "c" }) {
    m_dispatcher.OnCarrierAlive(host, seconds(50), false, m_now);
  }
  EXPECT_FALSE(m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now));
}

TEST_F(OrderDispatcherTest, HostWithUnknownClockCarriesNothing)
{
  m_dispatcher.SetHosts({ CarrierHost{ "new", DataCentreName("north"), 0.5 } });
  EXPECT_FALSE(m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now));
}

// A leader that was paused received no messages meanwhile. The carriers must
// not count as lost for that.
TEST_F(OrderDispatcherTest, PauseOfTheLeaderLosesNoCarrier)
{
  m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now);
  SendStart(1);
  Flush();
  m_now += seconds(4);
  m_dispatcher.Tick(m_now);
  EXPECT_THAT(m_started, testing::IsEmpty());
}

TEST_F(OrderDispatcherTest, ReturningHostGetsTargetsAgain)
{
  m_dispatcher.SetHosts({ CarrierHost{ "a", DataCentreName("north"), 0.5 } });
  for (int i = 0; i < 40; ++i) {
    m_dispatcher.Assign(Target(i), DataCentreName("south"), m_now);
  }
  m_dispatcher.SetHosts({ CarrierHost{ "a", DataCentreName("north"), 0.5 },
                          CarrierHost{ "b", DataCentreName("south"), 0.5 } });
  for (int i = 0; i < 60; ++i) {
    m_now += milliseconds(100);
    ReportAllAlive();
    m_dispatcher.Tick(m_now);
  }
  for (int i = 0; i < 40; ++i) {
    SendHold(i);
  }
  Flush();
  EXPECT_GT(OrdersSentTo("b"), OrdersSentTo("a"));
}

// The peak load of the ozolini-rake-grown scenario: 350 targets and 1,600
// orders per second, for ten seconds with one call of Flush every 8 ms.
TEST_F(OrderDispatcherTest, LargeFleetNeedsFewMessagesPerTurn)
{
  std::vector<CarrierHost> hosts;
  hosts.reserve(43);
  for (int i = 0; i < 43; ++i) {
    hosts.push_back(CarrierHost{ "host" + std::to_string(i),
                                 DataCentreName(std::to_string(i % 4)),
                                 i < 8 ? 0.5 : 0.12 });
  }
  m_dispatcher.SetHosts(hosts);
  const auto reportAll = [&] {
    for (const CarrierHost& host : hosts) {
      ReportAlive(host.m_name);
    }
  };
  reportAll();
  int orders = 0;
  for (int step = 0; step < 1250; ++step) {
    m_now += milliseconds(8);
    reportAll();
    for (int i = 0; i < 13; ++i) {
      const int target = orders++ % 350;
      const DataCentreName near(std::to_string(target % 4));
      ASSERT_TRUE(m_dispatcher.Assign(Target(target), near, m_now));
      SendHold(target);
    }
    Flush();
  }
  std::set<std::string> carriers;
  for (const auto& [host, sent] : m_sent) {
    carriers.insert(host);
  }
  EXPECT_EQ(carriers.size(), 8U);
  EXPECT_LE(m_sent.size(), 1250U * 8U);
}

TEST_F(OrderDispatcherTest, StartAtAFormerCarrierIsWithdrawnThere)
{
  ASSERT_TRUE(m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now));
  SendStart(1);
  Flush();
  ASSERT_EQ(OrdersSentTo("a"), 1U);
  m_dispatcher.Forget(Target(1)); // withdraws all starts of the target
  ASSERT_TRUE(m_dispatcher.Assign(Target(1), DataCentreName("south"), m_now));
  m_sent.clear();
  StopOrder stop;
  stop.m_to.m_target = Target(1);
  m_dispatcher.Stop(stop);
  m_dispatcher.Withdraw(WithdrawOrder{ Target(1), stop.m_run });
  Flush();
  EXPECT_EQ(OrdersSentTo("b"), 1U);
  std::size_t withdrawals = 0;
  for (const auto& [host, orders] : m_sent) {
    for (const proto::CarriedOrder& order : orders.order()) {
      withdrawals += host == "a" && order.has_withdrawal() ? 1 : 0;
    }
  }
  EXPECT_EQ(withdrawals, 2U);
}

// Guards against a start that was given up and placed elsewhere, and is sent
// all the same by a carrier that had been silent.
TEST_F(OrderDispatcherTest, StartThatIsGivenUpIsWithdrawnAtItsCarrier)
{
  ASSERT_TRUE(m_dispatcher.Assign(Target(1), DataCentreName("north"), m_now));
  SendStart(1);
  Flush();
  m_sent.clear();
  for (int i = 0; i < 5; ++i) {
    m_now += milliseconds(250);
    ReportAlive("b");
    m_dispatcher.Tick(m_now);
  }
  ASSERT_THAT(m_started, testing::ElementsAre(OrderStatus::kUnknown));
  Flush();
  ASSERT_EQ(OrdersSentTo("a"), 1U);
  const proto::CarriedOrder& order = m_sent.front().second.order(0);
  ASSERT_TRUE(order.has_withdrawal());
  const WithdrawOrder withdrawal = DecodeWithdrawal(order);
  EXPECT_EQ(withdrawal.m_target, Target(1));
  EXPECT_EQ(withdrawal.m_run, std::optional<RunName>(RunName()));
}

// Guards against a run that goes on because one host can't reach its target.
TEST_F(OrderDispatcherTest, StopByAnotherHostLeavesOutTheCarrier)
{
  const DataCentreName near("north");
  ASSERT_TRUE(m_dispatcher.Assign(Target(1), near, m_now));
  StopOrder stop = AStop(1);
  for (; stop.m_earlierTries < 4; ++stop.m_earlierTries) {
    EXPECT_NE(m_dispatcher.StopByAnotherHost(stop, near, m_now), "");
  }
  Flush();
  EXPECT_EQ(OrdersSentTo("a"), 0U);
  EXPECT_EQ(OrdersSentTo("b"), 2U);
  EXPECT_EQ(OrdersSentTo("c"), 2U);
}

// Guards against a target whose stops always get the same host that fails,
// because stops of other targets are sent in between.
TEST_F(OrderDispatcherTest, StopsOfEachTargetAreSentByEachOtherHost)
{
  std::set<std::string> hosts;
  const DataCentreName near("north");
  for (StopOrder stop = AStop(1); stop.m_earlierTries < 3;
       ++stop.m_earlierTries) {
    hosts.insert(m_dispatcher.StopByAnotherHost(stop, near, m_now));
    m_dispatcher.StopByAnotherHost(AStop(2), near, m_now);
  }
  EXPECT_EQ(hosts.size(), 3U);
}

TEST_F(OrderDispatcherTest, FirstStopByAnotherHostIsSentNearItsTarget)
{
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(
      m_dispatcher.StopByAnotherHost(AStop(i), DataCentreName("south"), m_now),
      "b");
  }
}

TEST_F(OrderDispatcherTest, StopIsNotSentByAHostThatIsSilent)
{
  m_now += seconds(2);
  EXPECT_EQ(
    m_dispatcher.StopByAnotherHost(AStop(1), DataCentreName("south"), m_now),
    "");
}

// Hosts that carry nothing answer each second heartbeat, all 500 ms.
TEST_F(OrderDispatcherTest, OneMissedAnswerOfHostsThatCarryNothingHidesNoHost)
{
  m_now += milliseconds(1050);
  EXPECT_NE(
    m_dispatcher.StopByAnotherHost(AStop(1), DataCentreName("south"), m_now),
    "");
}

} // namespace lycheestep
