#ifndef LYCHEESTEP_SCHEDULER_ERROR_H
#define LYCHEESTEP_SCHEDULER_ERROR_H

#include <system_error>

namespace lycheestep {

// Why a request or command was refused or failed. Callers and operators see
// the name; docs/API.md says what to do about each.
enum class SchedulerError
{
  kUnknownKind = 1,     // the catalogue has no such kind of work
  kInvalidRequest,      // malformed or out of bounds
  kQueueFull,           // the kind's queue limit is reached
  kDeadlineUnreachable, // would start after its deadline
  kDeadlinePassed,      // waited until its deadline
  kQuotaExceeded,       // the team's quota holds it back to its deadline
  kNeverRunnable,       // no target could ever hold it
  kNoCapacity,          // no usable share of any target
  kPlatformUnreachable, // must be written to the table, which can't be reached
  kStopping,            // this entry host is stopping
  kWorkStopped,         // an operator stopped this kind of work
  kCancelled,           // the caller cancelled it
  kTargetRefused,       // the target said that it did not start it
  kTargetLost,          // the target died after it may have started it
  kTaskFailed,          // the task ran and failed
  kRetriesExhausted,    // the retry budget is spent
  kVersionConflict,     // the catalogue changed since it was read
  kPromiseHeld,         // promised customers have to be called first
  kNotFound,            // no such request, kind or customer
  kUnauthorized,        // missing or wrong operator token
  kCatalogueInvalid,    // the catalogue breaks its schema or a rule
};

// The category whose messages are the stable names in API answers.
const std::error_category& SchedulerCategory() noexcept;

// Lets a SchedulerError convert to std::error_code.
std::error_code make_error_code(SchedulerError aError) noexcept;

} // namespace lycheestep

namespace std {

template<>
struct is_error_code_enum<lycheestep::SchedulerError> : true_type
{
};

} // namespace std

#endif
