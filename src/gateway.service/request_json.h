#ifndef LYCHEESTEP_REQUEST_JSON_H
#define LYCHEESTEP_REQUEST_JSON_H

#include <optional>
#include <string>

#include "lycheestep/request.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A submit call as read from its body, or the first problem in the body.
struct SubmitCall
{
  Request m_request;
  // True if the caller waits for the result of the request in this call.
  bool m_wait = true;
  // Describes the problem in one sentence. Empty if the call is valid.
  std::string m_problem;
};

// Reads the body of POST /v1/requests. An unknown key is a problem.
SubmitCall ReadSubmitCall(const std::string& aText);

// Returns true if aText consists of 1 to 128 ASCII letters, digits or any of
// "-._~:".
bool IsRequestId(const std::string& aText);

// Reads a duration such as "250ms", "2s", "5min" or "1h". Returns nothing if
// aText is no duration or is longer than a day.
std::optional<Duration> ReadDuration(const std::string& aText);

} // namespace lycheestep

#endif
