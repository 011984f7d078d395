#include "backoff.h"

#include <algorithm>

namespace lycheestep {

Duration Jittered(RandomGenerator& aRandom, Duration aDelay)
{
  const Duration half = aDelay / 2;
  if (half <= Duration::zero()) {
    return aDelay;
  }
  const auto span = static_cast<RandomGenerator::result_type>(half.count());
  return half + Duration(static_cast<Duration::rep>(aRandom() % span));
}

Duration BackoffDelay(RandomGenerator& aRandom,
                      Duration aFirst,
                      Duration aMost,
                      int aFailures)
{
  Duration delay = aFirst;
  for (int i = 1; i < aFailures && delay < aMost; ++i) {
    delay *= 2;
  }
  return Jittered(aRandom, std::min(delay, aMost));
}

} // namespace lycheestep
