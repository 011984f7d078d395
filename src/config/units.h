#ifndef LYCHEESTEP_UNITS_H
#define LYCHEESTEP_UNITS_H

#include <cstdint>
#include <optional>
#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Parses a whole number with its unit, like "250ms", "5s", "2min" or "1h".
// Returns no value for any other text, for negative numbers, and for durations
// that Duration cannot represent.
std::optional<Duration> ParseDuration(const std::string& aText);

// Formats aDuration in the largest unit that divides it, with milliseconds as
// the smallest. Fractions of a millisecond are cut off. Zero gives "0ms".
std::string FormatDuration(Duration aDuration);

// Parses a whole number with its unit, like "512B", "64KiB", "512MiB", "4GiB"
// or "1TiB", and returns the size in bytes. Returns no value for any other
// text, for negative numbers, and for sizes above 2^62 bytes.
std::optional<std::int64_t> ParseSize(const std::string& aText);

// Formats a size in the largest binary unit that divides it. Zero gives "0B".
std::string FormatSize(std::int64_t aBytes);

} // namespace lycheestep

#endif
