#include "operator_json.h"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "answer_json.h"

namespace lycheestep {

namespace {

using Json = nlohmann::json;

constexpr int kAccepted = 202;
constexpr std::size_t kNameLimit = 128;
// The longest name of a customer in bytes: the catalogue admits 100 characters,
// each of at most 4 bytes of UTF-8.
constexpr std::size_t kCustomerLimit = 400;
constexpr std::size_t kMessageLimit = 1024;

// Sets aValue to the string member aKey of aJson. Returns false if the member
// is missing, no string, empty or longer than aLimit bytes.
bool ReadText(const Json& aJson,
              const char* aKey,
              std::size_t aLimit,
              std::string& aValue)
{
  const auto found = aJson.find(aKey);
  if (found == aJson.end() || !found->is_string()) {
    return false;
  }
  aValue = found->get<std::string>();
  return !aValue.empty() && aValue.size() <= aLimit;
}

// Returns the first key of aJson that is not in aAllowed, cut to kNameLimit
// bytes. Returns an empty string if all keys are allowed.
std::string UnknownKey(const Json& aJson,
                       const std::vector<std::string>& aAllowed)
{
  for (const auto& [key, value] : aJson.items()) {
    bool known = false;
    for (const std::string& allowed : aAllowed) {
      known = known || key == allowed;
    }
    if (!known) {
      return key.substr(0, kNameLimit);
    }
  }
  return "";
}

// Checks that aJson is an object with no keys other than aKeys, and reads the
// member "operator". Returns the first problem, or an empty string.
std::string ReadOperator(const Json& aJson,
                         const std::vector<std::string>& aKeys,
                         OperatorCommand& aCommand)
{
  if (!aJson.is_object()) {
    return "the body must be one JSON object";
  }
  const std::string unknown = UnknownKey(aJson, aKeys);
  if (!unknown.empty()) {
    return "/" + unknown + " is not a known key";
  }
  if (!ReadText(aJson, "operator", kNameLimit, aCommand.m_operator)) {
    return "/operator must be a string of 1 to 128 bytes";
  }
  return "";
}

// Reads the members that describe a change of the catalogue, and checks that
// the catalogue is an object. Returns the first problem, or an empty string.
std::string ReadChange(const Json& aJson, OperatorCommand& aCommand)
{
  const auto version = aJson.find("base_version");
  if (version == aJson.end() || !version->is_number_unsigned()) {
    return "/base_version must be the version that the change was made "
           "against";
  }
  aCommand.m_baseVersion = version->get<std::uint64_t>();
  if (!ReadText(aJson, "message", kMessageLimit, aCommand.m_message)) {
    return "/message must say why, in 1 to 1024 bytes";
  }
  const auto catalogue = aJson.find("catalogue");
  if (catalogue == aJson.end() || !catalogue->is_object()) {
    return "/catalogue must be an object";
  }
  return "";
}

Json ErrorToJson(const std::error_code& aError)
{
  return aError ? Json(aError.message()) : Json(nullptr);
}

Json CustomersToCallToJson(const std::vector<Customer>& aCustomers)
{
  Json json = Json::array();
  for (const Customer& customer : aCustomers) {
    json.push_back({ { "customer", customer.m_name.Text() },
                     { "contact", customer.m_contact } });
  }
  return json;
}

Json HistoryToJson(const std::vector<CatalogueChange>& aHistory)
{
  Json json = Json::array();
  for (const CatalogueChange& change : aHistory) {
    json.push_back({ { "version", change.m_version },
                     { "operator", change.m_operator },
                     { "message", change.m_message } });
  }
  return json;
}

Json StatusToJson(const std::vector<StatusLine>& aLines)
{
  Json json = Json::array();
  for (const StatusLine& line : aLines) {
    json.push_back({ { "part", line.m_part },
                     { "name", line.m_name },
                     { "value", line.m_value } });
  }
  return json;
}

Json ProblemsToJson(const std::vector<DocumentProblem>& aProblems)
{
  Json json = Json::array();
  for (const DocumentProblem& problem : aProblems) {
    json.push_back({ { "pointer", problem.m_pointer },
                     { "value", problem.m_value },
                     { "allowed", problem.m_allowed } });
  }
  return json;
}

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace

CommandCall ReadApplyCall(const std::string& aText)
{
  CommandCall call;
  call.m_command.m_verb = OperatorVerb::kApply;
  const Json json = Json::parse(aText, nullptr, false);
  call.m_detail =
    ReadOperator(json,
                 { "base_version", "message", "operator", "catalogue" },
                 call.m_command);
  if (call.m_detail.empty()) {
    call.m_detail = ReadChange(json, call.m_command);
  }
  if (!call.m_detail.empty()) {
    return call;
  }
  CatalogueDocument document =
    ReadCatalogue(json["catalogue"].dump(), "request body");
  call.m_command.m_catalogue = document.m_catalogue;
  if (!document.m_catalogue) {
    call.m_error = SchedulerError::kCatalogueInvalid;
    call.m_detail = "the catalogue breaks its schema or a rule";
    call.m_problems = std::move(document.m_problems);
  }
  return call;
}

CommandCall ReadWorkCall(OperatorVerb aVerb,
                         const std::string& aKind,
                         const std::string& aText)
{
  CommandCall call;
  call.m_command.m_verb = aVerb;
  call.m_command.m_kind = KindName(aKind);
  const Json json = Json::parse(aText, nullptr, false);
  call.m_detail =
    ReadOperator(json, { "operator", "customer" }, call.m_command);
  if (!call.m_detail.empty()) {
    return call;
  }
  std::string customer;
  const bool named = json.contains("customer");
  if (named && !ReadText(json, "customer", kCustomerLimit, customer)) {
    call.m_detail = "/customer must be a string of 1 to 400 bytes";
  }
  if (!named && aVerb == OperatorVerb::kAnnounce) {
    call.m_detail = "/customer must name who was called";
  }
  call.m_command.m_customer = CustomerName(customer);
  return call;
}

HttpAnswer ToHttp(const OperatorReply& aReply)
{
  Json json = { { "error", ErrorToJson(aReply.m_error) },
                { "detail", aReply.m_detail },
                { "version", aReply.m_version },
                { "unknown", aReply.m_unknown },
                { "to_call", CustomersToCallToJson(aReply.m_toCall) },
                { "history", HistoryToJson(aReply.m_history) },
                { "status", StatusToJson(aReply.m_status) } };
  if (aReply.m_catalogue) {
    json["catalogue"] =
      Json::parse(WriteCatalogue(*aReply.m_catalogue), nullptr, false);
  }
  HttpAnswer answer;
  answer.m_status = aReply.m_unknown ? kAccepted : StatusOf(aReply.m_error);
  answer.m_retryAfter = RetryAfterOf(answer.m_status, Duration::zero());
  answer.m_body = Dump(json);
  return answer;
}

HttpAnswer ToHttp(const CommandCall& aCall)
{
  const std::error_code error = aCall.m_error;
  HttpAnswer answer;
  answer.m_status = StatusOf(error);
  answer.m_body = Dump({ { "error", error.message() },
                         { "detail", aCall.m_detail },
                         { "version", 0 },
                         { "unknown", false },
                         { "to_call", Json::array() },
                         { "problems", ProblemsToJson(aCall.m_problems) } });
  return answer;
}

HttpAnswer ExplanationToHttp(const std::string& aRequest,
                             const std::vector<std::string>& aLines)
{
  const std::error_code error = aLines.empty()
                                  ? make_error_code(SchedulerError::kNotFound)
                                  : std::error_code();
  HttpAnswer answer;
  answer.m_status = StatusOf(error);
  answer.m_body = Dump({ { "id", aRequest },
                         { "error", ErrorToJson(error) },
                         { "lines", aLines } });
  return answer;
}

} // namespace lycheestep
