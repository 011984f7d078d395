#ifndef LYCHEESTEP_RETRY_BUDGET_H
#define LYCHEESTEP_RETRY_BUDGET_H

#include <optional>

#include "core_context.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Retries that one kind of work, or one target, may still cost. Each success
// earns a share of a retry, so that retries stay a small part of the load
// when much fails. Whether a retry is safe is decided elsewhere.
class RetryBudget
{
public:
  // Retries earned by one success.
  static constexpr double kPerSuccess = 0.1;
  // Retries that can be saved up, and that are there at the start.
  static constexpr double kMost = 20.0;
  static constexpr Duration kFirstDelay = std::chrono::milliseconds(50);
  static constexpr Duration kMostDelay = std::chrono::seconds(5);

  // A first try or a retry succeeded.
  void Succeeded();

  // True when a retry could be paid for.
  bool HasRetry() const { return m_retries >= 1.0; }

  // Pays for one retry and returns the time to wait before it: exponential in
  // aRetries, the retries made before this one, with full jitter. Nothing is
  // paid and nothing returned when the budget is spent or the retry would
  // come after aLeft, the time left to the deadline.
  std::optional<Duration> Take(int aRetries,
                               Duration aLeft,
                               RandomGenerator& aRandom);

private:
  double m_retries = kMost;
};

} // namespace lycheestep

#endif
