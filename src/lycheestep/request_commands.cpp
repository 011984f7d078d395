#include <cmath>
#include <random>

#include <nlohmann/json.hpp>

#include "api_connection.h"
#include "command_line.h"
#include "commands.h"
#include "http_api_connection.h"
#include "json_access.h"
#include "operator_reply.h"
#include "output.h"
#include "text_file.h"

namespace lycheestep {

namespace {

using nlohmann::json;

// 128 random bits as hexadecimal digits: the idempotency key of a request
// whose caller gave none. Made here, so that the caller can ask for the
// result even when the host's answer is lost.
std::string NewRequestId()
{
  constexpr int kDigits = 32;
  static constexpr char kAlphabet[] = "0123456789abcdef";
  std::random_device device;
  std::string id;
  for (int i = 0; i < kDigits; ++i) {
    id += kAlphabet[device() & 0xFU];
  }
  return id;
}

std::string HintFor(const std::string& aId)
{
  return "run `lycheestep result " + aId + "` to learn it";
}

void PrintAnswer(const json& aAnswer, Output& aOutput)
{
  const std::string outcome = TextOrEmpty(aAnswer, "outcome");
  const bool pending = FlagMember(aAnswer, "pending").value_or(false);
  aOutput.Line("id: " + TextOrEmpty(aAnswer, "id"));
  aOutput.Line("outcome: " + (pending ? "pending" : outcome));
  for (const char* key : { "error", "detail", "target", "body" }) {
    const std::string value = TextOrEmpty(aAnswer, key);
    if (!value.empty()) {
      aOutput.Line(std::string(key) + ": " + value);
    }
  }
  if (const auto waited = NumberMember(aAnswer, "waited_ms")) {
    aOutput.Line("waited: " + std::to_string(std::llround(*waited)) + "ms");
  }
}

ExitCode ReportRefusal(const json& aAnswer, Output& aOutput)
{
  const std::string error = TextOrEmpty(aAnswer, "error");
  const std::string detail = TextOrEmpty(aAnswer, "detail");
  const double retryAfter =
    NumberMember(aAnswer, "retry_after_ms").value_or(0.0);
  std::string advice = "; `lycheestep explain ID` says more";
  if (retryAfter > 0.0) {
    advice =
      "; try again after " + std::to_string(std::llround(retryAfter)) + "ms";
  } else if (error == "unknown_kind") {
    advice = "; name a kind of work of the catalogue";
  }
  aOutput.Error("not run: " + error + (detail.empty() ? "" : ": " + detail) +
                advice);
  return ExitOfError(error);
}

ExitCode ReportAnswer(const json& aAnswer,
                      const CommandLine& aCommandLine,
                      Output& aOutput)
{
  if (aCommandLine.m_json) {
    aOutput.Json(aAnswer);
  } else {
    PrintAnswer(aAnswer, aOutput);
  }
  const std::string outcome = TextOrEmpty(aAnswer, "outcome");
  const std::string error = TextOrEmpty(aAnswer, "error");
  if (outcome == "done") {
    if (!error.empty()) {
      aOutput.Error("the task ran and failed; its answer is in the body");
      return ExitCode::kRefused;
    }
    return ExitCode::kDone;
  }
  if (outcome == "not_run") {
    return ReportRefusal(aAnswer, aOutput);
  }
  if (FlagMember(aAnswer, "pending").value_or(false)) {
    return ExitCode::kDone;
  }
  aOutput.Error("the outcome is not known" +
                (error.empty() ? std::string() : ": " + error) + "; " +
                HintFor(TextOrEmpty(aAnswer, "id")));
  return ExitCode::kUnknown;
}

ExitCode CallForRequest(ApiMethod aMethod,
                        const CommandLine& aCommandLine,
                        ApiConnection& aConnection,
                        Output& aOutput)
{
  ApiCall call;
  call.m_method = aMethod;
  call.m_path = "/v1/requests/" + EncodePathPart(aCommandLine.m_name);
  const HostAnswer answer = CallHost(
    aConnection, call, aCommandLine, HintFor(aCommandLine.m_name), aOutput);
  return answer.m_json ? ReportAnswer(*answer.m_json, aCommandLine, aOutput)
                       : answer.m_exit;
}

} // namespace

ExitCode RunSubmitCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput)
{
  std::string body = aCommandLine.m_body;
  if (!aCommandLine.m_bodyFile.empty()) {
    const auto text = ReadTextFile(aCommandLine.m_bodyFile);
    if (!text) {
      aOutput.Error(aCommandLine.m_bodyFile +
                    ": must be a file that can be read");
      return ExitCode::kInvalid;
    }
    body = *text;
  }
  const std::string id =
    aCommandLine.m_id.empty() ? NewRequestId() : aCommandLine.m_id;
  json request = { { "id", id },
                   { "first_try", aCommandLine.m_id.empty() },
                   { "kind", aCommandLine.m_name },
                   { "body", body },
                   { "wait", aCommandLine.m_wait } };
  if (!aCommandLine.m_customer.empty()) {
    request["customer"] = aCommandLine.m_customer;
  }
  if (!aCommandLine.m_deadline.empty()) {
    request["deadline"] = aCommandLine.m_deadline;
  }
  ApiCall call;
  call.m_method = ApiMethod::kPost;
  call.m_path = "/v1/requests";
  call.m_body = request.dump(-1, ' ', false, json::error_handler_t::replace);
  const HostAnswer answer =
    CallHost(aConnection, call, aCommandLine, HintFor(id), aOutput);
  return answer.m_json ? ReportAnswer(*answer.m_json, aCommandLine, aOutput)
                       : answer.m_exit;
}

ExitCode RunResultCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput)
{
  return CallForRequest(ApiMethod::kGet, aCommandLine, aConnection, aOutput);
}

ExitCode RunCancelCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput)
{
  return CallForRequest(ApiMethod::kDelete, aCommandLine, aConnection, aOutput);
}

ExitCode RunExplainCommand(const CommandLine& aCommandLine,
                           ApiConnection& aConnection,
                           Output& aOutput)
{
  ApiCall call;
  call.m_path = "/v1/explain/" + EncodePathPart(aCommandLine.m_name);
  const HostAnswer answer =
    CallHost(aConnection, call, aCommandLine, "", aOutput);
  if (!answer.m_json) {
    return answer.m_exit;
  }
  if (aCommandLine.m_json) {
    aOutput.Json(*answer.m_json);
  } else {
    for (const json& line : ListMember(*answer.m_json, "lines")) {
      aOutput.Line(line.is_string() ? line.get<std::string>() : line.dump());
    }
  }
  const std::string error = TextOrEmpty(*answer.m_json, "error");
  if (error.empty()) {
    return ExitCode::kDone;
  }
  const std::string advice = error == "unauthorized"
                               ? "give the operators' token by --token-file "
                                 "FILE or $LYCHEESTEP_TOKEN"
                               : "ask the entry host that took the request";
  aOutput.Error(error + "; " + advice);
  return ExitOfError(error);
}

} // namespace lycheestep
