#ifndef LYCHEESTEP_TIME_TYPES_H
#define LYCHEESTEP_TIME_TYPES_H

#include <chrono>
#include <cstdint>

namespace lycheestep {

// The decision core never reads a clock. Every event carries the monotonic
// time at which it was seen, so the same code runs on real and virtual time.
// A TimePoint of one process means nothing to another process: only
// durations cross the wire.
using Clock = std::chrono::steady_clock;

// A point on this process's own monotonic clock.
using TimePoint = Clock::time_point;

// A span of monotonic time.
using Duration = Clock::duration;

// Whole milliseconds, rounded towards zero, as protocols carry them.
inline std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace lycheestep

#endif
