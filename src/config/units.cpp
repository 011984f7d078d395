#include "units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <string_view>

namespace lycheestep {

namespace {

constexpr std::int64_t kKibi = 1024;
constexpr std::int64_t kLargestSize = std::int64_t{ 1 } << 62;

// The name of a unit and its size in the smallest unit of the same table:
// milliseconds for durations, bytes for sizes.
struct Unit
{
  std::string_view m_name;
  std::int64_t m_size;
};

// Both tables run from the largest unit to the smallest, since Format() takes
// the first unit that divides the amount.
constexpr std::array<Unit, 4> kDurationUnits{
  { { "h", 3600000 }, { "min", 60000 }, { "s", 1000 }, { "ms", 1 } }
};
constexpr std::array<Unit, 5> kSizeUnits{ { { "TiB",
                                              kKibi* kKibi* kKibi* kKibi },
                                            { "GiB", kKibi* kKibi* kKibi },
                                            { "MiB", kKibi* kKibi },
                                            { "KiB", kKibi },
                                            { "B", 1 } } };

// Parses a whole number followed by a unit of aUnits, and returns the amount in
// the smallest unit. Returns no value if the amount exceeds aLargest.
template<std::size_t Count>
std::optional<std::int64_t> Parse(const std::string& aText,
                                  const std::array<Unit, Count>& aUnits,
                                  std::int64_t aLargest)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || number < 0) {
    return std::nullopt;
  }
  const std::string_view name(parsed.ptr,
                              static_cast<std::size_t>(end - parsed.ptr));
  const auto* unit =
    std::find_if(aUnits.begin(), aUnits.end(), [name](const Unit& aUnit) {
      return aUnit.m_name == name;
    });
  if (unit == aUnits.end() || number > aLargest / unit->m_size) {
    return std::nullopt;
  }
  return number * unit->m_size;
}

template<std::size_t Count>
std::string Format(std::int64_t aAmount, const std::array<Unit, Count>& aUnits)
{
  for (const Unit& unit : aUnits) {
    if (aAmount != 0 && aAmount % unit.m_size == 0) {
      return std::to_string(aAmount / unit.m_size) + std::string(unit.m_name);
    }
  }
  return "0" + std::string(aUnits.back().m_name);
}

} // namespace

std::optional<Duration> ParseDuration(const std::string& aText)
{
  using std::chrono::milliseconds;
  constexpr auto kLongest =
    std::chrono::duration_cast<milliseconds>(Duration::max()).count();
  const auto amount = Parse(aText, kDurationUnits, kLongest);
  if (!amount) {
    return std::nullopt;
  }
  return Duration(milliseconds(*amount));
}

std::string FormatDuration(Duration aDuration)
{
  using std::chrono::milliseconds;
  return Format(std::chrono::duration_cast<milliseconds>(aDuration).count(),
                kDurationUnits);
}

std::optional<std::int64_t> ParseSize(const std::string& aText)
{
  return Parse(aText, kSizeUnits, kLargestSize);
}

std::string FormatSize(std::int64_t aBytes)
{
  return Format(aBytes, kSizeUnits);
}

} // namespace lycheestep
