#include "call_limit.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::milliseconds;

// Keeps as many calls in flight as the limit allows for aRounds rounds.
void Drive(CallLimit& aLimit, int aRounds, Duration aLatency)
{
  for (int round = 0; round < aRounds; ++round) {
    while (!aLimit.AtLimit()) {
      aLimit.Sent();
    }
    while (aLimit.InFlight() > 0) {
      aLimit.Answered(aLatency);
    }
  }
}

TEST(CallLimit, FollowsTheLatency)
{
  CallLimit limit(64);
  Drive(limit, 20, milliseconds(10));
  const int fast = limit.Limit();
  EXPECT_GT(fast, 30);
  Drive(limit, 3, milliseconds(200));
  EXPECT_LT(limit.Limit(), fast / 2);
  EXPECT_GE(limit.Limit(), 1);
}

TEST(CallLimit, LostCallsShrinkItToOneAndNeverBelow)
{
  CallLimit limit(64);
  for (int i = 0; i < 50; ++i) {
    limit.Sent();
    limit.Lost();
  }
  EXPECT_EQ(limit.Limit(), 1);
  EXPECT_FALSE(limit.AtLimit());
}

TEST(CallLimit, NeverGrowsBeyondTheConnections)
{
  CallLimit limit(4);
  Drive(limit, 50, milliseconds(1));
  EXPECT_EQ(limit.Limit(), 4);
}

} // namespace
} // namespace lycheestep
