#ifndef LYCHEESTEP_CANCELLATION_ROW_H
#define LYCHEESTEP_CANCELLATION_ROW_H

#include <optional>
#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Returns the value of the row that cancels a job. aStoreClock is the store's
// current time.
std::string EncodeCancellation(Duration aStoreClock);

// Returns when the job was cancelled, by the store's clock. Returns nothing if
// the row does not tell, as those of earlier releases.
std::optional<Duration> DecodeCancelledAt(const std::string& aBytes);

} // namespace lycheestep

#endif
