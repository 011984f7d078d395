#include "leader_row.h"

#include <gtest/gtest.h>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;

LeaderRowHolder ReleasedHolder()
{
  return LeaderRowHolder{ "a", 11, milliseconds(50000), true };
}

} // namespace

TEST(LeaderRow, EarlierReleasesReadTheHolderOfAnOrdinaryRow)
{
  proto::LeaderRow row;
  SetHolder(ReleasedHolder(), LeaderSuccession::kAnyRelease, row);
  EXPECT_EQ(row.host(), "a");
  EXPECT_EQ(row.incarnation(), 11U);
  EXPECT_EQ(row.renewed_ms(), 50000U);
  EXPECT_TRUE(row.released());
}

// Guards against an earlier release that takes the lead, ignores the jobs whose
// progress it can't read and lets targets forget how their tasks ended.
TEST(LeaderRow, EarlierReleasesWaitIfTheyCannotReadAllProgress)
{
  proto::LeaderRow row;
  SetHolder(ReleasedHolder(), LeaderSuccession::kThisRelease, row);
  EXPECT_EQ(row.host(), "");
  EXPECT_EQ(row.incarnation(), 0U);
  EXPECT_FALSE(row.released());
  EXPECT_EQ(milliseconds(row.renewed_ms()),
            milliseconds(50000) + kEarlierReleaseDelay);
  const LeaderRowHolder holder = HolderOf(row);
  EXPECT_EQ(holder.m_host, "a");
  EXPECT_EQ(holder.m_incarnation, 11U);
  EXPECT_EQ(holder.m_renewed, milliseconds(50000));
  EXPECT_TRUE(holder.m_released);
}

} // namespace lycheestep
