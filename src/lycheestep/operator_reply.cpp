#include "operator_reply.h"

#include "api_connection.h"
#include "command_line.h"
#include "json_access.h"
#include "output.h"

namespace lycheestep {

namespace {

using nlohmann::json;

HostAnswer NoAnswer(const ApiReply& aReply,
                    const ApiCall& aCall,
                    const CommandLine& aCommandLine,
                    const std::string& aAfterLoss,
                    Output& aOutput)
{
  HostAnswer answer;
  const std::string host = aCommandLine.m_server;
  const std::string reason = " (" + aReply.m_detail + ")";
  if (aReply.m_delivery == Delivery::kNotSent) {
    answer.m_exit = ExitCode::kUnreachable;
    aOutput.Error(host + " can't be reached" + reason +
                  ", nothing was sent; start the host or give --server URL");
  } else if (aCall.m_method == ApiMethod::kGet) {
    answer.m_exit = ExitCode::kUnreachable;
    aOutput.Error(host + " did not answer" + reason +
                  "; try again or give a longer --timeout");
  } else {
    answer.m_exit = ExitCode::kUnknown;
    aOutput.Error("the answer of " + host + " was lost" + reason +
                  ", the effect is not known; " + aAfterLoss);
  }
  return answer;
}

// A sentence that another part of a line may follow.
std::string WithoutFullStop(const std::string& aSentence)
{
  const bool stops = !aSentence.empty() && aSentence.back() == '.';
  return stops ? aSentence.substr(0, aSentence.size() - 1) : aSentence;
}

void PrintCalls(const json& aAnswer, Output& aOutput)
{
  for (const json& customer : ListMember(aAnswer, "to_call")) {
    aOutput.Line("call first: " + TextOrEmpty(customer, "customer") + " (" +
                 TextOrEmpty(customer, "contact") + ")");
  }
}

void PrintProblems(const json& aAnswer, Output& aOutput)
{
  for (const json& problem : ListMember(aAnswer, "problems")) {
    aOutput.Error(TextOrEmpty(problem, "pointer") + ": " +
                  TextOrEmpty(problem, "value") + ": " +
                  TextOrEmpty(problem, "allowed"));
  }
}

std::string AdviceFor(const std::string& aError)
{
  if (aError == "unauthorized") {
    return "give the operators' token by --token-file FILE or "
           "$LYCHEESTEP_TOKEN";
  }
  if (aError == "promise_held") {
    return "call each customer, then run `lycheestep announce WORK "
           "--customer NAME` for each and repeat the command";
  }
  if (aError == "version_conflict") {
    return "the catalogue was changed meanwhile: run `lycheestep diff FILE`, "
           "merge, and apply again with --base of the version in force";
  }
  if (aError == "not_found" || aError == "unknown_kind") {
    return "run `lycheestep show` for the names in the catalogue";
  }
  if (aError == "platform_unreachable") {
    return "the platform's table can't be reached: nothing was changed, try "
           "again later";
  }
  if (aError == "catalogue_invalid") {
    return "run `lycheestep check FILE`";
  }
  return "run `lycheestep status`";
}

} // namespace

HostAnswer CallHost(ApiConnection& aConnection,
                    const ApiCall& aCall,
                    const CommandLine& aCommandLine,
                    const std::string& aAfterLoss,
                    Output& aOutput)
{
  const ApiReply reply = aConnection.Call(aCall);
  if (reply.m_delivery != Delivery::kAnswered) {
    return NoAnswer(reply, aCall, aCommandLine, aAfterLoss, aOutput);
  }
  HostAnswer answer;
  json document = json::parse(reply.m_body, nullptr, false);
  if (!document.is_object()) {
    answer.m_exit = aCall.m_method == ApiMethod::kGet ? ExitCode::kUnreachable
                                                      : ExitCode::kUnknown;
    aOutput.Error(aCommandLine.m_server + " answered status " +
                  std::to_string(reply.m_status) +
                  " without a JSON object; is --server an entry host?");
    return answer;
  }
  answer.m_json = std::move(document);
  return answer;
}

ExitCode ReportOperatorAnswer(const json& aAnswer,
                              const CommandLine& aCommandLine,
                              Output& aOutput)
{
  const std::string error = TextOrEmpty(aAnswer, "error");
  const std::string detail = TextOrEmpty(aAnswer, "detail");
  const bool unknown = FlagMember(aAnswer, "unknown").value_or(false);
  if (aCommandLine.m_json) {
    aOutput.Json(aAnswer);
  } else {
    PrintCalls(aAnswer, aOutput);
    PrintProblems(aAnswer, aOutput);
  }
  if (unknown) {
    aOutput.Error("the effect is not known (" + detail +
                  "); run `lycheestep history` to see whether it was taken");
    return ExitCode::kUnknown;
  }
  if (!error.empty()) {
    const std::string sentence =
      detail.empty() ? "" : ": " + WithoutFullStop(detail);
    aOutput.Error(error + sentence + "; " + AdviceFor(error));
    return ExitOfError(error);
  }
  if (!aCommandLine.m_json && !detail.empty()) {
    aOutput.Line(detail);
  }
  return ExitCode::kDone;
}

ExitCode ExitOfError(const std::string& aError)
{
  const bool invalid = aError == "invalid_request" ||
                       aError == "unknown_kind" ||
                       aError == "catalogue_invalid";
  return invalid ? ExitCode::kInvalid : ExitCode::kRefused;
}

std::string TextOrEmpty(const json& aObject, const char* aKey)
{
  return TextMember(aObject, aKey).value_or("");
}

} // namespace lycheestep
