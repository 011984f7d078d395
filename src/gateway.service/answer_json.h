#ifndef LYCHEESTEP_ANSWER_JSON_H
#define LYCHEESTEP_ANSWER_JSON_H

#include <string>
#include <system_error>

#include "http_router.h"
#include "lycheestep/request.h"
#include "lycheestep/scheduler_error.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Returns the HTTP status for aError: 200 if there is no error, 500 if aError
// is not a SchedulerError.
int StatusOf(const std::error_code& aError);

// Converts aAnswer to a JSON body with the HTTP status and Retry-After.
HttpAnswer ToHttp(const Answer& aAnswer);

// Returns the answer to a call that the gateway or the operator service rejects
// itself: the request was not run because of aError. aDetail goes to the
// caller.
HttpAnswer RefuseHttp(SchedulerError aError, const std::string& aDetail);

// Returns the JSON body for an error that the HTTP server detects before it
// calls a handler, such as an unknown path or a body that is too large.
std::string ErrorBodyOf(int aStatus);

// Returns aRetryAfter in whole seconds, rounded up and at least one, if aStatus
// is 429 or 503. Otherwise returns zero.
std::chrono::seconds RetryAfterOf(int aStatus, Duration aRetryAfter);

} // namespace lycheestep

#endif
