#ifndef LYCHEESTEP_BACKOFF_H
#define LYCHEESTEP_BACKOFF_H

#include "core_context.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A random time between half of aDelay and aDelay, so that hosts that failed
// together don't come back together.
Duration Jittered(RandomGenerator& aRandom, Duration aDelay);

// The jittered time to wait after aFailures failures in a row: aFirst after
// the first, doubled with each further one up to aMost.
Duration BackoffDelay(RandomGenerator& aRandom,
                      Duration aFirst,
                      Duration aMost,
                      int aFailures);

} // namespace lycheestep

#endif
