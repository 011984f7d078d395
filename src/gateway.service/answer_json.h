#ifndef LYCHEESTEP_ANSWER_JSON_H
#define LYCHEESTEP_ANSWER_JSON_H

#include <string>
#include <system_error>

#include "http_router.h"
#include "lycheestep/request.h"
#include "lycheestep/scheduler_error.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The HTTP status of an error; 200 for none, 500 for one of another category.
int StatusOf(const std::error_code& aError);

// The answer to a caller as JSON, with its status and Retry-After.
HttpAnswer ToHttp(const Answer& aAnswer);

// An answer of the process itself: the request was not run because of aError.
HttpAnswer RefuseHttp(SchedulerError aError, const std::string& aDetail);

// The body of an error that the HTTP server found before any handler ran.
std::string ErrorBodyOf(int aStatus);

// Whole seconds for Retry-After, rounded up; at least one for 429 and 503.
std::chrono::seconds RetryAfterOf(int aStatus, Duration aRetryAfter);

} // namespace lycheestep

#endif
