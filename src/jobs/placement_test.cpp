#include "placement.h"

#include <gtest/gtest.h>

#include <chrono>

namespace lycheestep {

namespace {

using std::chrono::seconds;

class StepRankTest : public testing::Test
{
protected:
  StepRankTest()
  {
    m_queue.m_priority = 1;
    m_queue.m_slackFactor = 2;
  }

  // Returns the rank of work that was due aAge ago and takes aEstimate.
  StepRank RankAt(Duration aAge, Duration aEstimate) const
  {
    return RankOf(m_queue, aEstimate, aEstimate, m_now - aAge, m_now);
  }

  QueueConfig m_queue;
  TimePoint m_now{ seconds(100) };
};

} // namespace

TEST_F(StepRankTest, LongWorkThatWasDueFirstGoesBeforeShortWork)
{
  const StepRank longWork = RankAt(seconds(3), seconds(20));
  const StepRank shortWork = RankAt(seconds(1), seconds(2));
  EXPECT_EQ(longWork.m_lateness, StepRank::Lateness::kInTime);
  EXPECT_EQ(shortWork.m_lateness, StepRank::Lateness::kInTime);
  EXPECT_TRUE(longWork < shortWork);
}

TEST_F(StepRankTest, WorkThatCanBeInTimeGoesBeforeLateWork)
{
  const StepRank late = RankAt(seconds(3), seconds(2));
  const StepRank tooLate = RankAt(seconds(11), seconds(2));
  EXPECT_EQ(late.m_lateness, StepRank::Lateness::kLate);
  EXPECT_EQ(tooLate.m_lateness, StepRank::Lateness::kTooLate);
  EXPECT_TRUE(RankAt(seconds(1), seconds(2)) < late);
  EXPECT_TRUE(late < tooLate);
}

TEST_F(StepRankTest, MoreUrgentWorkOfOneClassGoesFirst)
{
  const StepRank older = RankAt(seconds(3), seconds(20));
  m_queue.m_priority = 0;
  EXPECT_TRUE(RankAt(seconds(1), seconds(20)) < older);
}

} // namespace lycheestep
