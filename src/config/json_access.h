#ifndef LYCHEESTEP_JSON_ACCESS_H
#define LYCHEESTEP_JSON_ACCESS_H

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "lycheestep/time_types.h"
#include "units.h"

namespace lycheestep {

// These functions read members of documents that may break their schema. They
// return null or an empty result if aObject is not an object, or if the member
// is missing or has a wrong type.

// Returns the member, or null if aObject has no such member. The pointer is
// valid as long as aObject is.
inline const nlohmann::json* FindMember(const nlohmann::json& aObject,
                                        const char* aKey)
{
  if (!aObject.is_object()) {
    return nullptr;
  }
  const auto found = aObject.find(aKey);
  return found == aObject.end() ? nullptr : &*found;
}

// Returns the member if it is a list, otherwise an empty list.
inline const nlohmann::json& ListMember(const nlohmann::json& aObject,
                                        const char* aKey)
{
  static const nlohmann::json kEmptyList = nlohmann::json::array();
  const nlohmann::json* member = FindMember(aObject, aKey);
  return member != nullptr && member->is_array() ? *member : kEmptyList;
}

// Returns the member if it is a string.
inline std::optional<std::string> TextMember(const nlohmann::json& aObject,
                                             const char* aKey)
{
  const nlohmann::json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_string()) {
    return std::nullopt;
  }
  return member->get<std::string>();
}

// Returns the member if it is a number.
inline std::optional<double> NumberMember(const nlohmann::json& aObject,
                                          const char* aKey)
{
  const nlohmann::json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  return member->get<double>();
}

// Returns the member if it is a boolean.
inline std::optional<bool> FlagMember(const nlohmann::json& aObject,
                                      const char* aKey)
{
  const nlohmann::json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_boolean()) {
    return std::nullopt;
  }
  return member->get<bool>();
}

// Returns the member if it is a string that ParseDuration() accepts.
inline std::optional<Duration> DurationMember(const nlohmann::json& aObject,
                                              const char* aKey)
{
  const auto text = TextMember(aObject, aKey);
  return text ? ParseDuration(*text) : std::nullopt;
}

// Returns the member in bytes if it is a string that ParseSize() accepts.
inline std::optional<std::int64_t> SizeMember(const nlohmann::json& aObject,
                                              const char* aKey)
{
  const auto text = TextMember(aObject, aKey);
  return text ? ParseSize(*text) : std::nullopt;
}

} // namespace lycheestep

#endif
