#ifndef LYCHEESTEP_REQUEST_JSON_H
#define LYCHEESTEP_REQUEST_JSON_H

#include <optional>
#include <string>

#include "lycheestep/request.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// What a caller asked for, or what is wrong with it.
struct SubmitCall
{
  Request m_request;
  // True when the answer is wanted in the same call.
  bool m_wait = true;
  // One sentence; empty when the call is in order.
  std::string m_problem;
};

// Reads the body of POST /v1/requests. Unknown keys are problems.
SubmitCall ReadSubmitCall(const std::string& aText);

// True for 1 to 128 letters, digits and "-._~:".
bool IsRequestId(const std::string& aText);

// "250ms", "2s", "5m" or "1h"; nothing for anything else or over a day.
std::optional<Duration> ReadDuration(const std::string& aText);

} // namespace lycheestep

#endif
