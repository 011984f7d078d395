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

} // namespace

TEST(PlacementMonitor, TimeOfAStepIsSplitByWhatItWaitedFor)
{
  IgnoredMetrics metrics;
  NiceMock<MockJobEffects> effects;
  ON_CALL(effects, Metrics()).WillByDefault(ReturnRef(metrics));
  PlacementMonitor monitor(effects);
  TimePoint now{ milliseconds(5000) };
  StepWaits waits;
  waits.Begin(now);
  waits.Note(StepWait::kAdvisor, now);
  now += milliseconds(30);
  waits.Note(StepWait::kAdvice, now);
  now += milliseconds(500);
  waits.Note(StepWait::kCapacity, now);
  now += milliseconds(200);
  EXPECT_CALL(effects,
              LogUnlimited("step-placed",
                           AllOf(HasSubstr("tasks=7"),
                                 HasSubstr("after_ms=730"),
                                 HasSubstr("advisor_ms=30"),
                                 HasSubstr("advice_ms=500"),
                                 HasSubstr("capacity_ms=200"))));
  monitor.ReportPlaced(StepName{ JobId("job"), 0, 0 }, true, 7, waits, now);
}

TEST(PlacementMonitor, LateGangIsReportedWithItsWidthAndItsWaits)
{
  IgnoredMetrics metrics;
  NiceMock<MockJobEffects> effects;
  ON_CALL(effects, Metrics()).WillByDefault(ReturnRef(metrics));
  PlacementMonitor monitor(effects);
  const TimePoint ready{ milliseconds(5000) };
  StepWaits waits;
  waits.Begin(ready);
  waits.Note(StepWait::kCapacity, ready + milliseconds(400));
  EXPECT_CALL(effects,
              LogUnlimited("gang-late",
                           AllOf(HasSubstr("tasks=40"),
                                 HasSubstr("lateness=too_late"),
                                 HasSubstr("after_ms=900"),
                                 HasSubstr("advice_ms=400"),
                                 HasSubstr("capacity_ms=500"))));
  monitor.ReportLate(StepName{ JobId("job"), 0, 0 },
                     40,
                     StepRank::Lateness::kTooLate,
                     waits,
                     ready + milliseconds(900));
}

TEST(PlacementMonitor, WidthGroupsCoverAllWidths)
{
  EXPECT_EQ(WidthGroupOf(1), 0U);
  EXPECT_EQ(WidthGroupOf(9), 0U);
  EXPECT_EQ(WidthGroupOf(10), 1U);
  EXPECT_EQ(WidthGroupOf(39), kWidthGroups - 2);
  EXPECT_EQ(WidthGroupOf(5000), kWidthGroups - 1);
}

TEST(PlacementMonitor, StepThatIsReadyAgainBeginsAnew)
{
  StepWaits waits;
  waits.Begin(TimePoint(milliseconds(5000)));
  waits.Note(StepWait::kCapacity, TimePoint(milliseconds(6000)));
  waits.Begin(TimePoint(milliseconds(9000)));
  for (const Duration waited : waits.m_waited) {
    EXPECT_EQ(waited, Duration::zero());
  }
}

} // namespace lycheestep
