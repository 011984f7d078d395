#ifndef LYCHEESTEP_JSON_CODEC_H
#define LYCHEESTEP_JSON_CODEC_H

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Serializes aJson on one line. Bytes that are not valid UTF-8 become the
// replacement character; the function doesn't throw for them.
inline std::string DumpJson(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Parses aText and returns the result of aRead for the parsed JSON. aRead may
// throw a nlohmann::json exception, as a missing key or a wrong type does.
// Returns nothing when parsing or aRead fails.
template<class Read>
auto ParseJson(const std::string& aText, Read aRead)
  -> std::optional<decltype(aRead(nlohmann::json()))>
{
  try {
    return aRead(nlohmann::json::parse(aText));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

// Returns aDuration in whole microseconds, the unit of durations on the wire.
inline std::int64_t ToMicroseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

// Converts a JSON number of microseconds to a duration.
inline Duration FromMicroseconds(const nlohmann::json& aJson)
{
  return std::chrono::microseconds(aJson.get<std::int64_t>());
}

// Encodes aResources as {"processors":4000,...}. Amounts of zero are left out.
inline nlohmann::json ResourcesToJson(const Resources& aResources)
{
  nlohmann::json json = nlohmann::json::object();
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (aResources.Get(kind) != 0) {
      json[ToString(kind)] = aResources.Get(kind);
    }
  }
  return json;
}

// Decodes the object that ResourcesToJson makes. Absent amounts are zero.
inline Resources ResourcesFromJson(const nlohmann::json& aJson)
{
  Resources resources;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    resources.Set(kind, aJson.value(ToString(kind), std::int64_t{ 0 }));
  }
  return resources;
}

} // namespace lycheestep

#endif
