#include "retry_budget.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

TEST(RetryBudget, RetriesAreAShareOfSuccesses)
{
  RandomGenerator random(1);
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.Succeeded();
    for (int failure = 0; failure < 10; ++failure) {
      retries += budget.Take(0, minutes(1), random) ? 1 : 0;
    }
  }
  EXPECT_NEAR(retries, 1000 * RetryBudget::kPerSuccess + RetryBudget::kMost, 1);
}

TEST(RetryBudget, BacksOffWithJitterAndNeverPastTheDeadline)
{
  RandomGenerator random(1);
  Duration longest = Duration::zero();
  for (int retry = 0; retry < 40; ++retry) {
    RetryBudget budget;
    const auto delay = budget.Take(retry, minutes(1), random);
    ASSERT_TRUE(delay.has_value());
    EXPECT_GT(*delay, Duration::zero());
    EXPECT_LE(*delay, RetryBudget::kMostDelay);
    longest = std::max(longest, *delay);
    const auto near = budget.Take(retry, milliseconds(20), random);
    EXPECT_TRUE(!near || *near < milliseconds(20));
  }
  EXPECT_GT(longest, RetryBudget::kMostDelay / 2);
}

} // namespace
} // namespace lycheestep
