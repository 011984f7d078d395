#include "page_size.h"

#include <gtest/gtest.h>

#include <chrono>

namespace lycheestep {

using std::chrono::milliseconds;

TEST(PageSize, GrowsWhileReadsAreQuick)
{
  PageSize size;
  for (int i = 0; i < 10; ++i) {
    size.OnAnswer(milliseconds(10));
  }
  EXPECT_EQ(size.Rows(), 500U);
}

// A host with a link of 10 Mbit/s reads eight partitions of jobs of 2 KB at the
// same time. Each read has to end well within its timeout, and renewals of the
// leader's row, which share the link, within a second.
TEST(PageSize, ReadsOfASlowLinkStayShort)
{
  constexpr double kBytesPerMs = 10e6 / 8 / 1000;
  constexpr double kRowBytes = 2000;
  constexpr double kPartitions = 8;
  PageSize size;
  milliseconds longest{ 0 };
  for (int i = 0; i < 30; ++i) {
    const milliseconds latency(
      static_cast<int>(static_cast<double>(size.Rows()) * kRowBytes *
                       kPartitions / kBytesPerMs));
    longest = i > 5 ? std::max(longest, latency) : longest;
    if (latency > milliseconds(700)) {
      EXPECT_TRUE(size.OnFailure());
    } else {
      size.OnAnswer(latency);
    }
  }
  EXPECT_LE(longest, milliseconds(500));
}

TEST(PageSize, SlowStoreIsNoReasonForTinyReads)
{
  PageSize size;
  for (int i = 0; i < 10; ++i) {
    size.OnAnswer(milliseconds(230));
  }
  EXPECT_GE(size.Rows(), 64U);
}

TEST(PageSize, GivesUpWhenTheStoreDoesNotAnswer)
{
  PageSize size;
  EXPECT_TRUE(size.OnFailure());
  EXPECT_TRUE(size.OnFailure());
  EXPECT_FALSE(size.OnFailure());
}

} // namespace lycheestep
