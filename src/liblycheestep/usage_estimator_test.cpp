#include "usage_estimator.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::seconds;

WorkKind Kind()
{
  WorkKind kind;
  kind.m_name = KindName("plan");
  kind.m_demand = Resources(1000, 1000, 0, 1, 1);
  kind.m_runTime = seconds(10);
  return kind;
}

TaskReport Report(std::int64_t aMilliCores,
                  std::int64_t aMemory,
                  Duration aRanFor)
{
  TaskReport report;
  report.m_demand = Kind().m_demand;
  report.m_usage = Resources(aMilliCores, aMemory, 0, 1, 1);
  report.m_ranFor = aRanFor;
  return report;
}

const Resources kLargest(16000, 32768, 0, 8, 64);

TEST(UsageEstimator, LearnsWhatTasksTakeAndForgetsOldOnes)
{
  UsageEstimator estimator;
  for (int i = 0; i < 100; ++i) {
    estimator.TaskEnded(Kind(), Report(500, 3000, seconds(40)));
  }
  UsageEstimate estimate = estimator.Estimate(Kind(), kLargest);
  EXPECT_EQ(estimate.m_demand.Get(ResourceKind::kProcessors), 1000);
  EXPECT_NEAR(estimate.m_demand.Get(ResourceKind::kMemory), 3000, 300);
  EXPECT_NEAR(estimate.m_runTime / seconds(1), 40, 4);
  EXPECT_EQ(estimate.m_demand.Get(ResourceKind::kSlots), 1);
  for (int i = 0; i < 300; ++i) {
    estimator.TaskEnded(Kind(), Report(500, 900, seconds(5)));
  }
  estimate = estimator.Estimate(Kind(), kLargest);
  EXPECT_EQ(estimate.m_demand.Get(ResourceKind::kMemory), 1000);
  EXPECT_NEAR(estimate.m_runTime / seconds(1), 5, 1);
}

TEST(UsageEstimator, NeedsSomeTasksAndStaysWithinTheLargestTarget)
{
  UsageEstimator estimator;
  for (int i = 0; i < UsageEstimator::kLeastTasks; ++i) {
    EXPECT_EQ(estimator.Estimate(Kind(), kLargest).m_demand, Kind().m_demand);
    estimator.TaskEnded(Kind(), Report(900000, 900000, seconds(1)));
  }
  EXPECT_TRUE(estimator.Estimate(Kind(), kLargest).m_demand.FitsIn(kLargest));
}

TEST(UsageEstimator, JudgesOverrunsButNeverPromisedWork)
{
  WorkKind kind = Kind();
  kind.m_runTimeLimit = seconds(60);
  const auto judge = [&](const TaskReport& aReport) {
    EXPECT_EQ(UsageEstimator::Judge(kind, aReport, true),
              OverrunVerdict::kNone);
    return UsageEstimator::Judge(kind, aReport, false);
  };
  EXPECT_EQ(judge(Report(1200, 1200, seconds(1))), OverrunVerdict::kNone);
  EXPECT_EQ(judge(Report(2000, 900, seconds(1))), OverrunVerdict::kThrottle);
  EXPECT_EQ(judge(Report(900, 2000, seconds(1))), OverrunVerdict::kStop);
  EXPECT_EQ(judge(Report(900, 900, seconds(61))), OverrunVerdict::kStop);
}

} // namespace
} // namespace lycheestep
