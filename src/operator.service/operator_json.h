#ifndef LYCHEESTEP_OPERATOR_JSON_H
#define LYCHEESTEP_OPERATOR_JSON_H

#include <string>
#include <vector>

#include "http_router.h"
#include "lycheestep/document.h"
#include "lycheestep/operator_command.h"
#include "lycheestep/scheduler_error.h"

namespace lycheestep {

// What an operator asked for, or what is wrong with it.
struct CommandCall
{
  OperatorCommand m_command;
  // One sentence; empty when the call is in order.
  std::string m_detail;
  SchedulerError m_error = SchedulerError::kInvalidRequest;
  // All that is wrong with a catalogue.
  std::vector<DocumentProblem> m_problems;
};

// Reads the body of PUT /v1/catalogue: {"base_version","message","operator",
// "catalogue"}.
CommandCall ReadApplyCall(const std::string& aText);

// Reads the body of POST /v1/work/{name}/{verb}: {"operator","customer"?}.
CommandCall ReadWorkCall(OperatorVerb aVerb,
                         const std::string& aKind,
                         const std::string& aText);

// The answer to an operator with its status.
HttpAnswer ToHttp(const OperatorReply& aReply);

// The answer to a call that is not in order.
HttpAnswer ToHttp(const CommandCall& aCall);

// The answer to GET /v1/explain/{id}.
HttpAnswer ExplanationToHttp(const std::string& aRequest,
                             const std::vector<std::string>& aLines);

} // namespace lycheestep

#endif
