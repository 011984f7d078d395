// Tests by which hosts TargetManager lets a stop be sent.
#include "target_manager.h"

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

#include <gmock/gmock.h>

#include "stopped_target.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

// A leader whose runs on one listed target are to end.
class StopRouteTest : public StoppedTarget
{
protected:
  StopRouteTest() { m_manager.OnTargetListed(m_record, m_now); }

  void StopNewRuns(std::uint32_t aCount)
  {
    ExpectRuns(aCount);
    StopRuns(aCount);
    Pass(milliseconds(10));
  }
};

} // namespace

TEST_F(StopRouteTest, FirstStopsLeaveByTheUsualHost)
{
  StopNewRuns(3);
  EXPECT_THAT(m_stops, SizeIs(3));
  EXPECT_THAT(m_otherHostStops, IsEmpty());
}

// Guards against a run that goes on because one host can't reach its target.
TEST_F(StopRouteTest, StopWithoutAnswerLeavesByAnotherHostAtOnce)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(10));
  EXPECT_THAT(m_otherHostStops, SizeIs(1));
}

TEST_F(StopRouteTest, StopWithoutConnectionLeavesByAnotherHostAtOnce)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(10));
  EXPECT_THAT(m_otherHostStops, SizeIs(1));
}

TEST_F(StopRouteTest, StopWithoutAnyReportLeavesByAnotherHost)
{
  StopNewRuns(1);
  m_stops.clear();
  Pass(milliseconds(1200));
  EXPECT_THAT(m_otherHostStops, SizeIs(1));
  EXPECT_THAT(m_stops, SizeIs(1));
}

// Guards against stops that leave later because another host has them too.
TEST_F(StopRouteTest, UsualHostRepeatsItsStopsAsWithoutAnotherHost)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(390));
  EXPECT_THAT(m_stops, IsEmpty());
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(1));
}

TEST_F(StopRouteTest, OtherHostsTakeTurnsWhileNoneWorks)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  for (std::uint32_t i = 0; i < 3; ++i) {
    Pass(milliseconds(800));
    ASSERT_THAT(m_otherHostStops, SizeIs(1));
    EXPECT_EQ(m_otherHostStops[0].m_earlierTries, i);
    AnswerOtherHostStops(OrderStatus::kUnknown);
    AnswerStops(OrderStatus::kUnknown);
  }
}

TEST_F(StopRouteTest, StopThatWasDoneByAnotherHostIsRepeatedLikeAnyOther)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(10));
  AnswerOtherHostStops(OrderStatus::kDone);
  Pass(milliseconds(1990));
  EXPECT_THAT(m_stops, IsEmpty());
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(1));
}

// Guards against stops that wait for each other while the usual host has no
// connection, and no other host reports.
TEST_F(StopRouteTest, AllRunsOfATargetWithoutConnectionLeaveByAnotherHost)
{
  StopNewRuns(8);
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(10));
  EXPECT_THAT(m_otherHostStops, SizeIs(8));
  m_otherHostStops.clear(); // not reported
  Pass(milliseconds(390));
  EXPECT_THAT(m_stops, SizeIs(1));
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(410));
  EXPECT_THAT(m_otherHostStops, SizeIs(8));
  EXPECT_THAT(m_stops, SizeIs(1));
}

TEST_F(StopRouteTest, NewStopOfATargetWithoutConnectionLeavesByAnotherHost)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kNotSent);
  m_manager.ExpectRun(m_record.m_target,
                      MakeRun(7),
                      Resources(100, 100, 0, 0, 0),
                      std::chrono::seconds(9));
  m_manager.Stop(m_record.m_target, MakeRun(7), m_now);
  Pass(milliseconds(10));
  EXPECT_THAT(m_otherHostStops, SizeIs(2));
}

TEST_F(StopRouteTest, RefusedStopNeedsNoOtherHost)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnhealthy);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_otherHostStops, IsEmpty());
}

// A report of the first stop that comes after another host's was done.
TEST_F(StopRouteTest, LateReportOfAnEarlierStopChangesNothing)
{
  StopNewRuns(1);
  const StopOrder late = std::exchange(m_stops, {}).at(0);
  Pass(milliseconds(1200)); // counts as lost
  m_stops.clear();
  AnswerOtherHostStops(OrderStatus::kDone);
  OrderAnswer unknown;
  unknown.m_status = OrderStatus::kUnknown;
  m_manager.OnStopAnswer(late, unknown, m_now);
  Pass(milliseconds(1000));
  EXPECT_THAT(m_stops, IsEmpty());
}

// Guards against a target that other hosts' failures make unreachable.
TEST_F(StopRouteTest, FailureOfAnotherHostLeavesTheUsualConnectionAsItIs)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(10));
  AnswerOtherHostStops(OrderStatus::kNotSent);
  EXPECT_TRUE(m_manager.Find(m_record.m_target)->m_isConnected);
}

TEST_F(StopRouteTest, ReservedRunIsNotCountedAsOneThatMayBeOnATarget)
{
  m_manager.Reserve(m_record.m_target,
                    MakeRun(1),
                    Resources(100, 100, 0, 0, 0),
                    std::chrono::seconds(9));
  EXPECT_EQ(m_manager.CountRuns().m_runs, 0U);
}

} // namespace lycheestep
