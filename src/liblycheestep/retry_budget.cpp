#include "retry_budget.h"

#include <algorithm>

namespace lycheestep {

namespace {

// Doublings after which the delay stops growing.
constexpr int kMostDoublings = 16;

} // namespace

void RetryBudget::Succeeded()
{
  m_retries = std::min(kMost, m_retries + kPerSuccess);
}

std::optional<Duration> RetryBudget::Take(int aRetries,
                                          Duration aLeft,
                                          RandomGenerator& aRandom)
{
  if (!HasRetry()) {
    return std::nullopt;
  }
  const int doublings = std::clamp(aRetries, 0, kMostDoublings);
  const Duration ceiling =
    std::min(kMostDelay, kFirstDelay * (std::int64_t{ 1 } << doublings));
  const auto steps = static_cast<std::uint64_t>(ceiling.count());
  const Duration delay(static_cast<Duration::rep>(aRandom() % steps + 1));
  if (delay >= aLeft) {
    return std::nullopt;
  }
  m_retries -= 1.0;
  return delay;
}

} // namespace lycheestep
