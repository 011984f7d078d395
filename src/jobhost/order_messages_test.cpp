#include "order_messages.h"

#include <limits>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

const RunName kRun{ TaskName{ StepName{ JobId("job1"), 2, 3 }, 4 }, 5 };
const OrderAddress kTo{ TargetId("t1"),
                        NetworkAddress::ParseOrNone("10.0.0.1:80"),
                        77 };

void ExpectSameAddress(const OrderAddress& aLeft, const OrderAddress& aRight)
{
  EXPECT_EQ(aLeft.m_target, aRight.m_target);
  EXPECT_EQ(aLeft.m_address, aRight.m_address);
  EXPECT_EQ(aLeft.m_fence, aRight.m_fence);
}

bool IsSameRun(const RunName& aLeft, const RunName& aRight)
{
  return !(aLeft < aRight) && !(aRight < aLeft);
}

// Payloads, checkpoints and tickets are UTF-8: hosts get them as JSON, and the
// parser refuses other texts.
std::string RandomText()
{
  std::string text;
  const auto parts = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, 8));
  const std::vector<std::string> kinds{ "a",
                                        "\"",
                                        "/",
                                        std::string(1, '\0'),
                                        "\n",
                                        "\xc3\xa4",
                                        "\xe2\x82\xac",
                                        "\xf0\x9f\x8d\x87" };
  for (const std::size_t part : parts) {
    text += kinds[part];
  }
  return text;
}

// A number of any size, as often small as large.
template<class Number>
Number RandomNumber()
{
  const auto number = *rc::gen::noShrink(
    rc::gen::resize(*rc::gen::element(20, 100), rc::gen::arbitrary<Number>()));
  return *rc::gen::element(
    number, Number{ 0 }, std::numeric_limits<Number>::max());
}

TargetTime RandomTargetTime()
{
  return TargetTime(RandomNumber<std::uint32_t>());
}

std::string RandomName()
{
  return *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
}

RunName RandomRun()
{
  RunName run;
  run.m_task.m_step = StepName{ JobId(RandomName()),
                                RandomNumber<std::uint32_t>(),
                                RandomNumber<std::uint32_t>() };
  run.m_task.m_index = RandomNumber<std::uint32_t>();
  run.m_run = RandomNumber<std::uint32_t>();
  return run;
}

NetworkAddress RandomNetworkAddress()
{
  const std::string host = *rc::gen::element<std::string>("10.0.0.1", "[::1]");
  const auto port = RandomNumber<std::uint16_t>();
  return NetworkAddress::ParseOrNone(host + ":" + std::to_string(port));
}

OrderAddress RandomAddress()
{
  return OrderAddress{ TargetId(RandomName()),
                       RandomNetworkAddress(),
                       RandomNumber<std::uint64_t>(),
                       WallTime(RandomNumber<std::int32_t>()) };
}

bool IsSameAddress(const OrderAddress& aLeft, const OrderAddress& aRight)
{
  return aLeft.m_target == aRight.m_target &&
         aLeft.m_address == aRight.m_address &&
         aLeft.m_fence == aRight.m_fence && aLeft.m_started == aRight.m_started;
}

// Passes a message through the bytes that hosts exchange.
template<class Message>
Message ThroughBytes(const Message& aMessage)
{
  Message read;
  RC_ASSERT(read.ParseFromString(aMessage.SerializeAsString()));
  return read;
}

} // namespace

TEST(OrderMessages, OrdersSurviveARoundTrip)
{
  proto::CarriedOrder message;
  EncodeStart(
    StartOrder{ kTo, kRun, "work", TargetTime(9000), "saved", "ticket" },
    message);
  const StartOrder start = DecodeStart(message);
  ExpectSameAddress(start.m_to, kTo);
  EXPECT_TRUE(IsSameRun(start.m_run, kRun));
  EXPECT_EQ(start.m_payload, "work");
  EXPECT_EQ(start.m_leaseEnd, TargetTime(9000));
  EXPECT_EQ(start.m_checkpoint, "saved");
  EXPECT_EQ(start.m_ticket, "ticket");

  EncodeStop(StopOrder{ kTo, kRun }, message);
  EXPECT_TRUE(IsSameRun(DecodeStop(message).m_run, kRun));

  EncodePace(PaceOrder{ kTo, kRun, 30 }, message);
  EXPECT_EQ(DecodePace(message).m_percent, 30U);

  EncodeHold(HoldOrder{ kTo, TargetTime(8), 6, std::chrono::seconds(1) },
             HoldPath::kWatch,
             message);
  HoldPath path = HoldPath::kOrders;
  const HoldOrder hold = DecodeHold(message, path);
  EXPECT_EQ(path, HoldPath::kWatch);
  EXPECT_EQ(hold.m_leaseEnd, TargetTime(8));
  EXPECT_EQ(hold.m_forgetEnds, 6U);
  EXPECT_EQ(hold.m_wait, std::chrono::seconds(1));
}

TEST(OrderMessages, HoldAnswerSurvivesARoundTrip)
{
  HoldAnswer answer;
  answer.m_status = OrderStatus::kDone;
  answer.m_targetClock = TargetTime(12);
  answer.m_started = WallTime(34);
  answer.m_running.push_back(RunningTask{ kRun, "saved", 40, 900 });
  answer.m_ended.push_back(EndedTask{ 8, kRun, RunEnd::kGangAlone, "end" });
  proto::CarriedAnswer message;
  EncodeAnswer(answer, message);
  const HoldAnswer decoded = DecodeHoldAnswer(message);
  EXPECT_EQ(decoded.m_status, OrderStatus::kDone);
  EXPECT_EQ(decoded.m_started, WallTime(34));
  ASSERT_EQ(decoded.m_running.size(), 1U);
  EXPECT_EQ(decoded.m_running[0].m_percentDone, 40U);
  EXPECT_EQ(decoded.m_running[0].m_load, 900);
  ASSERT_EQ(decoded.m_ended.size(), 1U);
  EXPECT_EQ(decoded.m_ended[0].m_number, 8U);
  EXPECT_EQ(decoded.m_ended[0].m_end, RunEnd::kGangAlone);
}

// A host of a newer version may send values that this version does not know.
// They must not be taken for known ones.
TEST(OrderMessages, UnknownValuesMakeTheAnswerUnknown)
{
  proto::CarriedAnswer message;
  message.set_status(1000);
  EXPECT_EQ(DecodeOrderAnswer(message).m_status, OrderStatus::kUnknown);
  message.set_status(0);
  message.add_ended()->set_end(1000);
  EXPECT_EQ(DecodeHoldAnswer(message).m_status, OrderStatus::kUnknown);
}

TEST(OrderMessages, EveryFieldOfAStartSurvives)
{
  EXPECT_TRUE(rc::check("a start is the same after a round trip", [] {
    const StartOrder order{ RandomAddress(),    RandomRun(),  RandomText(),
                            RandomTargetTime(), RandomText(), RandomText() };
    proto::CarriedOrder message;
    EncodeStart(order, message);
    const StartOrder read = DecodeStart(ThroughBytes(message));
    RC_ASSERT(IsSameAddress(read.m_to, order.m_to));
    RC_ASSERT(read.m_run == order.m_run);
    RC_ASSERT(read.m_payload == order.m_payload);
    RC_ASSERT(read.m_leaseEnd == order.m_leaseEnd);
    RC_ASSERT(read.m_checkpoint == order.m_checkpoint);
    RC_ASSERT(read.m_ticket == order.m_ticket);
  }));
}

TEST(OrderMessages, EveryFieldOfAStopOrPaceSurvives)
{
  EXPECT_TRUE(rc::check("stop and pace are the same after a round trip", [] {
    const StopOrder stop{ RandomAddress(), RandomRun() };
    proto::CarriedOrder message;
    EncodeStop(stop, message);
    const StopOrder readStop = DecodeStop(ThroughBytes(message));
    RC_ASSERT(IsSameAddress(readStop.m_to, stop.m_to));
    RC_ASSERT(readStop.m_run == stop.m_run);

    const PaceOrder pace{ RandomAddress(),
                          RandomRun(),
                          RandomNumber<std::uint32_t>() };
    proto::CarriedOrder paceMessage;
    EncodePace(pace, paceMessage);
    const PaceOrder readPace = DecodePace(ThroughBytes(paceMessage));
    RC_ASSERT(IsSameAddress(readPace.m_to, pace.m_to));
    RC_ASSERT(readPace.m_run == pace.m_run);
    RC_ASSERT(readPace.m_percent == pace.m_percent);
  }));
}

TEST(OrderMessages, EveryFieldOfAHoldSurvives)
{
  EXPECT_TRUE(rc::check("a hold is the same after a round trip", [] {
    const HoldOrder order{ RandomAddress(),
                           RandomTargetTime(),
                           RandomNumber<std::uint64_t>(),
                           std::chrono::milliseconds(
                             *rc::gen::inRange(0, 1000000)) };
    const auto path = *rc::gen::element(HoldPath::kOrders, HoldPath::kWatch);
    proto::CarriedOrder message;
    EncodeHold(order, path, message);
    HoldPath readPath = HoldPath::kOrders;
    const HoldOrder read = DecodeHold(ThroughBytes(message), readPath);
    RC_ASSERT(readPath == path);
    RC_ASSERT(IsSameAddress(read.m_to, order.m_to));
    RC_ASSERT(read.m_leaseEnd == order.m_leaseEnd);
    RC_ASSERT(read.m_forgetEnds == order.m_forgetEnds);
    RC_ASSERT(read.m_wait == order.m_wait);
  }));
}

// A withdrawal whose run got lost would withdraw all starts for its target.
TEST(OrderMessages, EveryFieldOfAWithdrawalSurvives)
{
  EXPECT_TRUE(rc::check("a withdrawal is the same after a round trip", [] {
    WithdrawOrder order;
    order.m_target = TargetId(RandomName());
    if (*rc::gen::arbitrary<bool>()) {
      order.m_run = *rc::gen::element(RandomRun(), RunName());
    }
    proto::CarriedOrder message;
    EncodeWithdrawal(order, message);
    const WithdrawOrder read = DecodeWithdrawal(ThroughBytes(message));
    RC_ASSERT(read.m_target == order.m_target);
    RC_ASSERT(read.m_run == order.m_run);
  }));
}

TEST(OrderMessages, EveryFieldOfARunSurvivesInAnAnswer)
{
  EXPECT_TRUE(rc::check("runs are the same after a round trip", [] {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = RandomTargetTime();
    answer.m_started = WallTime(RandomNumber<std::uint32_t>());
    const RunningTask running{ RandomRun(),
                               RandomText(),
                               RandomNumber<std::uint32_t>(),
                               RandomNumber<std::int64_t>() };
    const EndedTask ended{ RandomNumber<std::uint64_t>(),
                           RandomRun(),
                           static_cast<RunEnd>(*rc::gen::inRange(0, 6)),
                           RandomText() };
    answer.m_running = { running };
    answer.m_ended = { ended };
    proto::CarriedAnswer message;
    EncodeAnswer(answer, message);
    const HoldAnswer read = DecodeHoldAnswer(ThroughBytes(message));
    RC_ASSERT(read.m_status == answer.m_status);
    RC_ASSERT(read.m_targetClock == answer.m_targetClock);
    RC_ASSERT(read.m_started == answer.m_started);
    RC_ASSERT(read.m_running.size() == 1U);
    RC_ASSERT(read.m_running[0].m_run == running.m_run);
    RC_ASSERT(read.m_running[0].m_checkpoint == running.m_checkpoint);
    RC_ASSERT(read.m_running[0].m_percentDone == running.m_percentDone);
    RC_ASSERT(read.m_running[0].m_load == running.m_load);
    RC_ASSERT(read.m_ended.size() == 1U);
    RC_ASSERT(read.m_ended[0].m_number == ended.m_number);
    RC_ASSERT(read.m_ended[0].m_run == ended.m_run);
    RC_ASSERT(read.m_ended[0].m_end == ended.m_end);
    RC_ASSERT(read.m_ended[0].m_checkpoint == ended.m_checkpoint);
  }));
}

// Guards against an order of another host, maybe of an earlier release, whose
// address is none and ends this process.
TEST(OrderMessages, OrderToATextThatIsNoAddressGoesNowhere)
{
  const std::vector<std::string> texts = {
    "shelf-17:1733612345678", "shelf-17:80", "", std::string(70000, 'a')
  };
  for (const std::string& text : texts) {
    proto::CarriedOrder message;
    EncodeStop(StopOrder{ kTo, kRun }, message);
    message.set_address(text);
    EXPECT_TRUE(DecodeStop(message).m_to.m_address.IsNone());
  }
}

} // namespace lycheestep
