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

// JSON text; bytes that are not UTF-8 are replaced rather than thrown at.
inline std::string DumpJson(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Parses aText and hands it to aRead, which may throw what nlohmann::json
// throws at a missing key or a wrong type. Nothing when either fails.
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

// Durations are whole microseconds on the wire.
inline std::int64_t ToMicroseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

// The duration that a JSON number of microseconds stands for.
inline Duration FromMicroseconds(const nlohmann::json& aJson)
{
  return std::chrono::microseconds(aJson.get<std::int64_t>());
}

// {"processors":4000,...}: every amount that is not zero.
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

// The amounts of such an object; absent ones are zero.
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
