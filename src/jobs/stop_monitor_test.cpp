// Tests of what is reported of stops that wait.
#include "stop_monitor.h"

#include <chrono>

#include <gmock/gmock.h>

#include "mock_job_effects.h"
#include "model_address.h"
#include "single_step_job.h"
#include "target_state.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::HasSubstr;
using testing::NiceMock;

class StopMonitorTest : public testing::Test
{
protected:
  StopMonitorTest()
    : m_monitor(m_effects)
  {
    m_target.m_record.m_target = TargetId("t");
    m_target.m_record.m_address = ModelAddress(1);
  }

  void AddStop(std::uint32_t aIndex)
  {
    TargetRun run;
    run.m_sent = true;
    run.m_stop.m_isRequested = true;
    run.m_stop.m_requestedAt = m_now;
    m_target.m_runs.emplace(MakeRun(aIndex), run);
  }

  void Report(Duration aAfter) { m_monitor.Tick(Targets(), m_now + aAfter); }

  std::map<TargetId, TargetState> Targets() const
  {
    return { { m_target.m_record.m_target, m_target } };
  }

  TimePoint m_now{ seconds(1000) };
  NiceMock<MockJobEffects> m_effects;
  TargetState m_target;
  StopMonitor m_monitor;
};

} // namespace

TEST_F(StopMonitorTest, OverdueStopIsNamedWithItsReason)
{
  AddStop(0);
  EXPECT_CALL(m_effects,
              LogUnlimited("stop-overdue",
                           "task=a.0.0.0 run=1 target=t since_ms=2000 "
                           "stops_sent=0 reason=not-sent"));
  Report(seconds(2));
}

TEST_F(StopMonitorTest, StopThatIsInTimeIsNotNamed)
{
  AddStop(0);
  EXPECT_CALL(m_effects, LogUnlimited(_, _)).Times(0);
  Report(milliseconds(1400));
}

TEST_F(StopMonitorTest, LinesAreBounded)
{
  for (std::uint32_t i = 0; i < 500; ++i) {
    AddStop(i);
  }
  EXPECT_CALL(m_effects, LogUnlimited("stop-overdue", _)).Times(20);
  EXPECT_CALL(m_effects, LogUnlimited("stops-overdue", HasSubstr("count=500")));
  Report(seconds(2));
  Report(milliseconds(2900));
}

TEST_F(StopMonitorTest, ReasonsAreToldApart)
{
  TargetRun run;
  EXPECT_EQ(ObstacleOf(m_target, run), StopObstacle::kNotSent);
  run.m_stop.m_sentCount = 1;
  EXPECT_EQ(ObstacleOf(m_target, run), StopObstacle::kNotAnswered);
  run.m_stop.m_answer = OrderStatus::kFenced;
  EXPECT_EQ(ObstacleOf(m_target, run), StopObstacle::kRefused);
  run.m_stop.m_answer = OrderStatus::kDone;
  EXPECT_EQ(ObstacleOf(m_target, run), StopObstacle::kNotEnded);
  run.m_stop.m_answer = OrderStatus::kNotSent;
  EXPECT_EQ(ObstacleOf(m_target, run), StopObstacle::kNotSent);
  m_target.m_record.m_address = NetworkAddress();
  EXPECT_EQ(ObstacleOf(m_target, run), StopObstacle::kNoAddress);
}

} // namespace lycheestep
