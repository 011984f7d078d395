// Tests by which host TargetManager lets a stop be sent.
#include "target_manager.h"

#include <chrono>
#include <utility>
#include <vector>

#include <gmock/gmock.h>

#include "mock_job_effects.h"
#include "mock_run_listener.h"
#include "single_step_job.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::Each;
using testing::Field;
using testing::NiceMock;
using testing::SizeIs;

// A leader whose runs on one target are to end.
class StopRouteTest : public testing::Test
{
protected:
  StopRouteTest()
    : m_manager(TargetManagerSettings(), m_effects, m_listener)
  {
    ON_CALL(m_effects, Stop(_)).WillByDefault([this](const StopOrder& aOrder) {
      m_stops.push_back(aOrder);
    });
    m_manager.SetFencingToken(5);
    m_manager.SetFormerLeaseExpiry(m_now + seconds(9));
    m_record.m_target = TargetId("t");
    m_record.m_address = "address";
    m_manager.OnTargetListed(m_record, m_now);
  }

  void StopRuns(std::uint32_t aCount)
  {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      m_manager.ExpectRun(m_record.m_target,
                          MakeRun(i),
                          Resources(100, 100, 0, 0, 0),
                          seconds(9));
      m_manager.Stop(m_record.m_target, MakeRun(i), m_now);
    }
    Pass(milliseconds(10));
  }

  void Pass(Duration aTime)
  {
    m_now += aTime;
    m_manager.Tick(m_now);
  }

  void AnswerStops(OrderStatus aStatus)
  {
    const std::vector<StopOrder> stops = std::exchange(m_stops, {});
    for (const StopOrder& stop : stops) {
      OrderAnswer answer;
      answer.m_status = aStatus;
      m_manager.OnStopAnswer(stop, answer, m_now);
    }
  }

  TimePoint m_now{ seconds(1000) };
  TargetRecord m_record;
  NiceMock<MockJobEffects> m_effects;
  NiceMock<MockRunListener> m_listener;
  TargetManager m_manager;
  std::vector<StopOrder> m_stops;
};

auto LeaveBy(OrderRoute aRoute)
{
  return Each(Field(&StopOrder::m_route, aRoute));
}

} // namespace

TEST_F(StopRouteTest, FirstStopsLeaveByTheUsualHost)
{
  StopRuns(3);
  EXPECT_THAT(m_stops, SizeIs(3));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kUsual));
}

// Guards against a run that goes on because one host can't reach its target.
TEST_F(StopRouteTest, StopWithoutAnswerLeavesByAnotherHost)
{
  StopRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, StopWithoutConnectionLeavesByAnotherHost)
{
  StopRuns(1);
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, RoutesTakeTurnsWhileNoneWorks)
{
  StopRuns(1);
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(400));
  AnswerStops(OrderStatus::kUnknown);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kUsual));
}

TEST_F(StopRouteTest, StopWithoutAnyReportLeavesByAnotherHost)
{
  StopRuns(1);
  m_stops.clear();
  Pass(milliseconds(1200));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, StopsKeepTheRouteThatWorks)
{
  StopRuns(1);
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
  StopRuns(8);
  AnswerStops(OrderStatus::kNotSent);
  Pass(milliseconds(400));
  AnswerStops(OrderStatus::kDone);
  Pass(milliseconds(10));
  EXPECT_THAT(m_stops, SizeIs(7));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kAnotherHost));
}

TEST_F(StopRouteTest, RefusedStopKeepsItsRoute)
{
  StopRuns(1);
  AnswerStops(OrderStatus::kUnhealthy);
  Pass(milliseconds(400));
  EXPECT_THAT(m_stops, SizeIs(1));
  EXPECT_THAT(m_stops, LeaveBy(OrderRoute::kUsual));
}

} // namespace lycheestep
