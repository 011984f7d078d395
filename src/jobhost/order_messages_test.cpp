#include "order_messages.h"

#include <gtest/gtest.h>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

const RunName kRun{ TaskName{ StepName{ JobId("job1"), 2, 3 }, 4 }, 5 };
const OrderAddress kTo{ TargetId("t1"), "10.0.0.1:80", 77 };

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

} // namespace lycheestep
