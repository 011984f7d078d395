#ifndef LYCHEESTEP_OPERATOR_REPLY_H
#define LYCHEESTEP_OPERATOR_REPLY_H

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "exit_code.h"

namespace lycheestep {

struct ApiCall;
struct CommandLine;
class ApiConnection;
class Output;

// The JSON that a host answered, or the exit code of a call that brought
// none; the reason is printed then.
struct HostAnswer
{
  std::optional<nlohmann::json> m_json;
  ExitCode m_exit = ExitCode::kDone;
};

// Makes one call. aAfterLoss is printed when a call that changes something
// was sent and its answer lost: what to do to learn its effect.
HostAnswer CallHost(ApiConnection& aConnection,
                    const ApiCall& aCall,
                    const CommandLine& aCommandLine,
                    const std::string& aAfterLoss,
                    Output& aOutput);

// Prints an operator's answer, or its refusal with what to do about it, and
// returns the exit code.
ExitCode ReportOperatorAnswer(const nlohmann::json& aAnswer,
                              const CommandLine& aCommandLine,
                              Output& aOutput);

// The exit code of a refusal by its name in the API, such as "queue_full".
ExitCode ExitOfError(const std::string& aError);

// A text member, or "" when there is none or it is null.
std::string TextOrEmpty(const nlohmann::json& aObject, const char* aKey);

} // namespace lycheestep

#endif
