#include "request_json.h"

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "units.h"

namespace lycheestep {

namespace {

using Json = nlohmann::json;

// The longest request id in bytes.
constexpr std::size_t kIdLimit = 128;
// The longest name of a kind or a customer in bytes: the catalogue admits 100
// characters, each of at most 4 bytes of UTF-8.
constexpr std::size_t kNameLimit = 400;
constexpr Duration kDeadlineLimit = std::chrono::hours(24);

// Sets aValue to the string in aJson. Returns false if aJson is no string, is
// empty or is longer than kNameLimit.
bool ReadName(const Json& aJson, std::string& aValue)
{
  if (!aJson.is_string()) {
    return false;
  }
  aValue = aJson.get<std::string>();
  return !aValue.empty() && aValue.size() <= kNameLimit;
}

// Sets aValue to the duration in aJson. Returns false if aJson is no duration,
// is zero or is longer than kDeadlineLimit.
bool ReadDeadline(const Json& aJson, Duration& aValue)
{
  if (!aJson.is_string()) {
    return false;
  }
  const auto duration = ReadDuration(aJson.get<std::string>());
  aValue = duration.value_or(Duration::zero());
  return duration && aValue > Duration::zero();
}

// Reads the member aKey of the body into aCall. Returns an empty string if
// aJson is valid, otherwise the rest of a sentence that begins with the key and
// says which values are allowed.
std::string ReadMember(const std::string& aKey,
                       const Json& aJson,
                       SubmitCall& aCall)
{
  std::string name;
  Request& request = aCall.m_request;
  if (aKey == "id") {
    if (!ReadName(aJson, name) || !IsRequestId(name)) {
      return "must be 1 to 128 letters, digits or any of -._~:";
    }
    request.m_id = RequestId(name);
    return "";
  }
  if (aKey == "kind") {
    const bool good = ReadName(aJson, name);
    request.m_kind = KindName(name);
    return good ? "" : "must be a string of 1 to 400 bytes";
  }
  if (aKey == "customer") {
    const bool good = ReadName(aJson, name);
    request.m_customer = CustomerName(name);
    return good ? "" : "must be a string of 1 to 400 bytes";
  }
  if (aKey == "body") {
    if (!aJson.is_string()) {
      return "must be a string";
    }
    request.m_body = aJson.get<std::string>();
    return "";
  }
  if (aKey == "deadline") {
    return ReadDeadline(aJson, request.m_deadline)
             ? ""
             : "must be a duration such as \"250ms\" or \"2s\", at most 24h";
  }
  if (aKey == "first_try") {
    aCall.m_request.m_firstTry = aJson.is_boolean() && aJson.get<bool>();
    return aJson.is_boolean() ? "" : "must be true or false";
  }
  if (aKey == "wait") {
    aCall.m_wait = aJson.is_boolean() && aJson.get<bool>();
    return aJson.is_boolean() ? "" : "must be true or false";
  }
  return "is not a known key";
}

} // namespace

SubmitCall ReadSubmitCall(const std::string& aText)
{
  SubmitCall call;
  // If the body has an id but no "first_try", the caller may have sent the id
  // to a host before.
  call.m_request.m_firstTry = false;
  const Json json = Json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    call.m_problem = "the body must be one JSON object";
    return call;
  }
  for (const auto& [key, value] : json.items()) {
    const std::string allowed = ReadMember(key, value, call);
    if (!allowed.empty()) {
      call.m_problem = "/" + key.substr(0, kNameLimit) + " " + allowed;
      return call;
    }
  }
  if (call.m_request.m_kind.Empty()) {
    call.m_problem = "/kind is missing";
  }
  return call;
}

bool IsRequestId(const std::string& aText)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~:";
  return !aText.empty() && aText.size() <= kIdLimit &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

std::optional<Duration> ReadDuration(const std::string& aText)
{
  const std::optional<Duration> duration = ParseDuration(aText);
  return duration && *duration <= kDeadlineLimit ? duration : std::nullopt;
}

} // namespace lycheestep
