#include "cancellation_row.h"

#include <chrono>

#include <gtest/gtest.h>

namespace lycheestep {

TEST(CancellationRow, KeepsTheTimeOfTheCancellation)
{
  const Duration clock = std::chrono::milliseconds(1234567);
  EXPECT_EQ(DecodeCancelledAt(EncodeCancellation(clock)), clock);
}

TEST(CancellationRow, TimeIsUnknownIfTheStoresClockWas)
{
  EXPECT_FALSE(DecodeCancelledAt(EncodeCancellation(Duration::zero())));
}

TEST(CancellationRow, RowOfAnEarlierReleaseTellsNoTime)
{
  EXPECT_FALSE(DecodeCancelledAt("cancelled"));
}

} // namespace lycheestep
