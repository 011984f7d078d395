#ifndef LYCHEESTEP_UNITS_H
#define LYCHEESTEP_UNITS_H

#include <cstdint>
#include <optional>
#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

// "250ms", "5s", "2min" or "1h" as a duration; empty for any other text and
// for spans that the clock cannot count.
std::optional<Duration> ParseDuration(const std::string& aText);

// The duration in the largest unit that divides it, down to milliseconds;
// smaller parts are cut off.
std::string FormatDuration(Duration aDuration);

// "512B", "64KiB", "512MiB", "4GiB" or "1TiB" in bytes; empty for any other
// text and for sizes beyond 2^62 bytes.
std::optional<std::int64_t> ParseSize(const std::string& aText);

// The size in the largest binary unit that divides it.
std::string FormatSize(std::int64_t aBytes);

} // namespace lycheestep

#endif
