// Tests of when TargetManager sends stops.
#include "target_manager.h"

#include <chrono>
#include <vector>

#include <gmock/gmock.h>

#include "model_address.h"
#include "stopped_target.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::Each;
using testing::ElementsAre;
using testing::Field;
using testing::IsEmpty;
using testing::NiceMock;
using testing::SizeIs;

using StopOrdersTest = StoppedTarget;

} // namespace

// Guards against a new leader that can't stop the runs of a former one because
// the platform's list lacks their target.
TEST_F(StopOrdersTest, TargetThatIsNotListedGetsItsStops)
{
  Remember();
  ExpectRuns(1);
  StopRuns(1);
  Pass(milliseconds(10));
  ASSERT_THAT(m_stops, SizeIs(1));
  EXPECT_EQ(m_stops[0].m_to.m_address, ModelAddress(1));
  EXPECT_EQ(m_stops[0].m_to.m_fence, kStopToken);
}

TEST_F(StopOrdersTest, TargetThatIsNotListedIsTakenAndGetsNoWork)
{
  Remember();
  ExpectRuns(1);
  Pass(milliseconds(10));
  AnswerTake(1);
  const TargetState* target = m_manager.Find(m_record.m_target);
  ASSERT_NE(target, nullptr);
  EXPECT_EQ(target->m_phase, TargetPhase::kHeld);
  EXPECT_FALSE(target->TakesWork(m_now));
}

// Guards against runs that no leader knows of on a target that is not listed.
TEST_F(StopOrdersTest, UnknownRunOfATargetThatIsNotListedIsStopped)
{
  Remember();
  Pass(milliseconds(10));
  AnswerTake(1);
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(1));
  m_manager.OnTargetListed(m_record, m_now);
  const TargetState* target = m_manager.Find(m_record.m_target);
  EXPECT_EQ(target->Free().Get(ResourceKind::kProcessors), 0);
}

TEST_F(StopOrdersTest, TargetThatIsNotListedAndRunsNothingIsForgotten)
{
  Remember();
  Pass(milliseconds(10));
  AnswerTake(0);
  EXPECT_CALL(m_effects, Forget(m_record.m_target));
  Pass(milliseconds(10));
  EXPECT_EQ(m_manager.Find(m_record.m_target), nullptr);
}

TEST_F(StopOrdersTest, TargetThatCantBeReachedIsForgottenWithItsLeases)
{
  Remember();
  Pass(seconds(8));
  EXPECT_NE(m_manager.Find(m_record.m_target), nullptr);
  Pass(seconds(2));
  EXPECT_EQ(m_manager.Find(m_record.m_target), nullptr);
}

// Guards against stops that wait for a target that is slow to be taken.
TEST_F(StopOrdersTest, StopsDoNotWaitUntilTheTargetIsTaken)
{
  m_manager.OnTargetListed(m_record, m_now);
  ExpectRuns(3);
  StopRuns(3);
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(3));
  EXPECT_EQ(m_manager.Find(m_record.m_target)->m_phase, TargetPhase::kTaking);
}

TEST_F(StopOrdersTest, TargetIsTakenUnderNoLowerTokenThanItsStops)
{
  ExpectRuns(1);
  StopRuns(1);
  m_manager.SetFencingToken(9);
  Remember();
  Pass(milliseconds(10));
  ASSERT_THAT(m_stops, SizeIs(1));
  EXPECT_GE(m_take.m_to.m_fence, m_stops[0].m_to.m_fence);
}

// Guards against answered stops that are repeated and hold up others.
TEST_F(StopOrdersTest, StopThatTheTargetTookIsNotRepeatedWhileTheRunEnds)
{
  m_manager.OnTargetListed(m_record, m_now);
  ExpectRuns(1);
  StopRuns(1);
  Pass(milliseconds(10));
  AnswerStops(OrderStatus::kDone);
  for (int i = 0; i < 19; ++i) {
    Pass(milliseconds(100));
  }
  EXPECT_THAT(m_stops, IsEmpty());
  Pass(milliseconds(100));
  EXPECT_THAT(m_stops, SizeIs(1));
}

TEST_F(StopOrdersTest, StopWithoutAnswerIsRepeated)
{
  m_manager.OnTargetListed(m_record, m_now);
  ExpectRuns(1);
  StopRuns(1);
  Pass(milliseconds(10));
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(390));
  EXPECT_THAT(m_stops, IsEmpty());
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(1));
}

// Guards against a stop that is lost between hosts.
TEST_F(StopOrdersTest, StopWithoutAnyReportIsRepeated)
{
  m_manager.OnTargetListed(m_record, m_now);
  ExpectRuns(1);
  StopRuns(1);
  Pass(milliseconds(10));
  Pass(milliseconds(1190));
  EXPECT_THAT(m_stops, SizeIs(1));
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(2));
}

// Guards against targets that are cut off and use up the senders of stops.
TEST_F(StopOrdersTest, TargetWithoutConnectionGetsOneStopAtATime)
{
  m_manager.OnTargetListed(m_record, m_now);
  ExpectRuns(8);
  StopRuns(8);
  Pass(milliseconds(10));
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  AnswerStops(OrderStatus::kDone);
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(7));
}

// Guards against a target that is never taken again because an answer to its
// take was ignored.
TEST_F(StopOrdersTest, TargetWhoseAddressChangesIsTakenAtTheNewOne)
{
  m_manager.OnTargetListed(m_record, m_now);
  Pass(milliseconds(10));
  m_record.m_address = ModelAddress(2);
  m_manager.OnTargetListed(m_record, m_now);
  AnswerTake(0);
  Pass(seconds(1));
  EXPECT_EQ(m_take.m_to.m_address, ModelAddress(2));
  AnswerTake(0);
  EXPECT_EQ(m_manager.Find(m_record.m_target)->m_phase, TargetPhase::kHeld);
}

// Guards against a target that moved and is looked for where it was.
TEST_F(StopOrdersTest, TargetThatMovedAfterItWasTakenIsFound)
{
  m_manager.OnTargetListed(m_record, m_now);
  Pass(milliseconds(10));
  AnswerTake(0);
  m_record.m_address = ModelAddress(2);
  m_manager.OnTargetListed(m_record, m_now);
  HoldOrder watch;
  EXPECT_CALL(m_effects, Hold(_, HoldPath::kWatch))
    .WillRepeatedly(
      [&watch](const HoldOrder& aOrder, HoldPath) { watch = aOrder; });
  Pass(milliseconds(10));
  EXPECT_EQ(watch.m_to.m_address, ModelAddress(1));
  HoldAnswer refusal;
  refusal.m_status = OrderStatus::kNotSent;
  m_manager.OnHoldAnswer(watch, HoldPath::kWatch, refusal, m_now);
  Pass(milliseconds(200));
  EXPECT_EQ(watch.m_to.m_address, ModelAddress(2));
}

TEST_F(StopOrdersTest, TargetOfWhichAnEarlierLifeAnsweredIsTakenAgain)
{
  m_record.m_started = WallTime(2000);
  m_manager.OnTargetListed(m_record, m_now);
  Pass(milliseconds(10));
  AnswerTake(0, WallTime(1000));
  EXPECT_CALL(m_effects, Hold(_, HoldPath::kOrders));
  Pass(seconds(1));
}

// Guards against a take that is refused because of a stop of the same leader.
TEST_F(StopOrdersTest, StopBesideATakeHasItsToken)
{
  m_record.m_started = WallTime(1000);
  m_manager.OnTargetListed(m_record, m_now);
  ExpectRuns(1);
  Pass(milliseconds(10));
  m_manager.SetFencingToken(9);
  m_record.m_started = WallTime(2000);
  m_manager.OnTargetListed(m_record, m_now);
  StopRuns(1);
  Pass(milliseconds(10));
  ASSERT_THAT(m_stops, SizeIs(1));
  EXPECT_EQ(m_stops[0].m_to.m_fence, m_take.m_to.m_fence);
}

TEST_F(StopOrdersTest, NoStopIsSentWithoutAToken)
{
  TargetManager manager(TargetManagerSettings(), m_effects, m_listener);
  manager.SetFormerLeaseExpiry(m_now + seconds(9));
  manager.OnTargetRemembered(AddressOf(m_record));
  manager.ExpectRun(
    m_record.m_target, MakeRun(0), Resources(100, 100, 0, 0, 0), seconds(9));
  manager.Stop(m_record.m_target, MakeRun(0), m_now);
  manager.Tick(m_now);
  EXPECT_THAT(m_stops, IsEmpty());
  EXPECT_TRUE(manager.NeedsFencingToken());
}

} // namespace lycheestep
