#ifndef LYCHEESTEP_JSON_ACCESS_H
#define LYCHEESTEP_JSON_ACCESS_H

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "lycheestep/time_types.h"
#include "units.h"

namespace lycheestep {

// Reads members of documents that may break their schema: a member that is
// missing or of a wrong type reads as empty.

// The member, or null.
inline const nlohmann::json* FindMember(const nlohmann::json& aObject,
                                        const char* aKey)
{
  if (!aObject.is_object()) {
    return nullptr;
  }
  const auto found = aObject.find(aKey);
  return found == aObject.end() ? nullptr : &*found;
}

// The member if it is a list, otherwise an empty list.
inline const nlohmann::json& ListMember(const nlohmann::json& aObject,
                                        const char* aKey)
{
  static const nlohmann::json kEmptyList = nlohmann::json::array();
  const nlohmann::json* member = FindMember(aObject, aKey);
  return member != nullptr && member->is_array() ? *member : kEmptyList;
}

inline std::optional<std::string> TextMember(const nlohmann::json& aObject,
                                             const char* aKey)
{
  const nlohmann::json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_string()) {
    return std::nullopt;
  }
  return member->get<std::string>();
}

inline std::optional<double> NumberMember(const nlohmann::json& aObject,
                                          const char* aKey)
{
  const nlohmann::json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  return member->get<double>();
}

inline std::optional<bool> FlagMember(const nlohmann::json& aObject,
                                      const char* aKey)
{
  const nlohmann::json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_boolean()) {
    return std::nullopt;
  }
  return member->get<bool>();
}

inline std::optional<Duration> DurationMember(const nlohmann::json& aObject,
                                              const char* aKey)
{
  const auto text = TextMember(aObject, aKey);
  return text ? ParseDuration(*text) : std::nullopt;
}

inline std::optional<std::int64_t> SizeMember(const nlohmann::json& aObject,
                                              const char* aKey)
{
  const auto text = TextMember(aObject, aKey);
  return text ? ParseSize(*text) : std::nullopt;
}

} // namespace lycheestep

#endif
