#include <nlohmann/json.hpp>

#include "api_connection.h"
#include "command_line.h"
#include "commands.h"
#include "http_api_connection.h"
#include "json_access.h"
#include "operator_reply.h"
#include "output.h"

namespace lycheestep {

namespace {

using nlohmann::json;

const char* VerbOf(Command aCommand)
{
  switch (aCommand) {
    case Command::kStart:
      return "start";
    case Command::kStop:
      return "stop";
    case Command::kDrain:
      return "drain";
    default:
      return "announce";
  }
}

} // namespace

ExitCode RunWorkCommand(const CommandLine& aCommandLine,
                        ApiConnection& aConnection,
                        Output& aOutput)
{
  json body = { { "operator", aCommandLine.m_operator } };
  if (!aCommandLine.m_customer.empty()) {
    body["customer"] = aCommandLine.m_customer;
  }
  ApiCall call;
  call.m_method = ApiMethod::kPost;
  call.m_path = "/v1/work/" + EncodePathPart(aCommandLine.m_name) + '/' +
                VerbOf(aCommandLine.m_command);
  call.m_body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  const HostAnswer answer =
    CallHost(aConnection,
             call,
             aCommandLine,
             "repeat the command: doing it twice does no harm",
             aOutput);
  if (!answer.m_json) {
    return answer.m_exit;
  }
  return ReportOperatorAnswer(*answer.m_json, aCommandLine, aOutput);
}

ExitCode RunStatusCommand(const CommandLine& aCommandLine,
                          ApiConnection& aConnection,
                          Output& aOutput)
{
  ApiCall call;
  call.m_path = "/v1/status";
  const HostAnswer answer =
    CallHost(aConnection, call, aCommandLine, "", aOutput);
  if (!answer.m_json) {
    return answer.m_exit;
  }
  if (!aCommandLine.m_json) {
    for (const json& line : ListMember(*answer.m_json, "status")) {
      aOutput.Line(TextOrEmpty(line, "part") + ' ' + TextOrEmpty(line, "name") +
                   ": " + TextOrEmpty(line, "value"));
    }
  }
  return ReportOperatorAnswer(*answer.m_json, aCommandLine, aOutput);
}

} // namespace lycheestep
