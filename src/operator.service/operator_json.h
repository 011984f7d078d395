#ifndef LYCHEESTEP_OPERATOR_JSON_H
#define LYCHEESTEP_OPERATOR_JSON_H

#include <string>
#include <vector>

#include "http_router.h"
#include "lycheestep/document.h"
#include "lycheestep/operator_command.h"
#include "lycheestep/scheduler_error.h"

namespace lycheestep {

// An operator's call as read from its body, or the problems in the body.
struct CommandCall
{
  OperatorCommand m_command;
  // Describes the problem in one sentence. Empty if the call is valid.
  std::string m_detail;
  // The error of an invalid call; without meaning if m_detail is empty.
  SchedulerError m_error = SchedulerError::kInvalidRequest;
  // All problems of an invalid catalogue. Empty if the catalogue is valid or
  // was not checked because another member is invalid.
  std::vector<DocumentProblem> m_problems;
};

// Reads the body of PUT /v1/catalogue: {"base_version","message","operator",
// "catalogue"}.
CommandCall ReadApplyCall(const std::string& aText);

// Reads the body of POST /v1/work/{name}/{verb}: {"operator","customer"?}.
CommandCall ReadWorkCall(OperatorVerb aVerb,
                         const std::string& aKind,
                         const std::string& aText);

// Converts aReply to a JSON body with the HTTP status: 202 if the effect of the
// command is unknown.
HttpAnswer ToHttp(const OperatorReply& aReply);

// Returns the error answer to the invalid call aCall, with the problems of its
// catalogue.
HttpAnswer ToHttp(const CommandCall& aCall);

// Returns the answer to GET /v1/explain/{id}: 404 if aLines is empty.
HttpAnswer ExplanationToHttp(const std::string& aRequest,
                             const std::vector<std::string>& aLines);

} // namespace lycheestep

#endif
