// Tests by which host TargetManager lets a stop be sent.
#include "target_manager.h"

#include <chrono>

#include <gmock/gmock.h>

#include "stopped_target.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Each;
using testing::Field;
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

auto LeaveBy(OrderRoute aRoute)
{
  return Each(Field(&StopOrder::m_route, aRoute));
}

} // namespace

TEST_F(StopRouteTest, FirstStopsLeaveByTheUsualHost)
{
  StopNewRuns(3);
  EXPECT_THAT(m_stops, SizeIs(3));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kUsual));
}

// Guards against a run that goes on because one host can't reach its target.
TEST_F(StopRouteTest, StopWithoutAnswerLeavesByAnotherHost)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, StopWithoutConnectionLeavesByAnotherHost)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, RoutesTakeTurnsWhileNoneWorks)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(400));
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kUsual));
}

TEST_F(StopRouteTest, StopWithoutAnyReportLeavesByAnotherHost)
{
  StopNewRuns(1);
  m_stops.clear();
  Pass(milliseconds(1200));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, StopsKeepTheRouteThatWorks)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(400));
  AnswerStops(OrderStatus::kDone);
  for (int i = 0; i < 3; ++i) {
    Pass(seconds(2));
    EXPECT_THAT(m_stops, SizeIs(1));
    EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
    AnswerStops(OrderStatus::kDone);
  }
}

// Guards against stops that wait for each run's own failure while one host
// can't connect to the target.
TEST_F(StopRouteTest, AllRunsOfATargetTakeTheRouteThatWorks)
{
  StopNewRuns(8);
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(400));
  AnswerStops(OrderStatus::kDone);
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(7));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, RefusedStopKeepsItsRoute)
{
  StopNewRuns(1);
  AnswerStops(OrderStatus::kUnhealthy);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kUsual));
}

} // namespace lycheestep
