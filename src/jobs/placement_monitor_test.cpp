#include "placement_monitor.h"

#include <chrono>

#include "ignored_metrics.h"
#include "mock_job_effects.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using testing::AllOf;
using testing::HasSubstr;
using testing::NiceMock;
using testing::ReturnRef;

class PlacementMonitorTest : public testing::Test
{
protected:
  PlacementMonitorTest()
  {
    ON_CALL(m_effects, Metrics()).WillByDefault(ReturnRef(m_metrics));
  }

  // Runs a placement round aAfter the previous one, in which the step waits.
  void WaitFor(StepWait aWait, Duration aAfter)
  {
    m_now += aAfter;
    m_monitor.BeginRound(m_now);
    m_monitor.NoteWaiting(m_step, true, aWait);
  }

  const TimePoint m_start{ milliseconds(5000) };
  TimePoint m_now = m_start;
  const StepName m_step{ JobId("job"), 0, 0 };
  IgnoredMetrics m_metrics;
  NiceMock<MockJobEffects> m_effects;
  PlacementMonitor m_monitor{ m_effects };
};

} // namespace

TEST_F(PlacementMonitorTest, TimeOfAStepIsSplitByWhatItWaitedFor)
{
  WaitFor(StepWait::kAdvisor, milliseconds(10));
  WaitFor(StepWait::kAdvice, milliseconds(30));
  WaitFor(StepWait::kCapacity, milliseconds(500));
  m_now += milliseconds(200);
  m_monitor.BeginRound(m_now);
  EXPECT_CALL(m_effects,
              LogSummary("step-placed",
                         AllOf(HasSubstr("tasks=7"),
                               HasSubstr("after_ms=740"),
                               HasSubstr("advisor_ms=30"),
                               HasSubstr("advice_ms=500"),
                               HasSubstr("capacity_ms=200"))));
  m_monitor.NotePlaced(m_step, true, 7, m_start, m_now);
}

TEST_F(PlacementMonitorTest, StepThatNoRoundMentionsIsForgotten)
{
  WaitFor(StepWait::kCapacity, milliseconds(10));
  m_monitor.BeginRound(m_now + milliseconds(10));
  m_monitor.BeginRound(m_now + milliseconds(20));
  EXPECT_CALL(m_effects, LogSummary("step-placed", HasSubstr("capacity_ms=0")));
  m_monitor.NotePlaced(m_step, true, 1, m_start, m_now);
}

} // namespace lycheestep
