#include "lycheestep/scheduler_error.h"

#include <string>

namespace lycheestep {

namespace {

const char* NameOf(SchedulerError aError)
{
  switch (aError) {
    case SchedulerError::kUnknownKind:
      return "unknown_kind";
    case SchedulerError::kInvalidRequest:
      return "invalid_request";
    case SchedulerError::kQueueFull:
      return "queue_full";
    case SchedulerError::kDeadlineUnreachable:
      return "deadline_unreachable";
    case SchedulerError::kDeadlinePassed:
      return "deadline_passed";
    case SchedulerError::kQuotaExceeded:
      return "quota_exceeded";
    case SchedulerError::kNeverRunnable:
      return "never_runnable";
    case SchedulerError::kNoCapacity:
      return "no_capacity";
    case SchedulerError::kPlatformUnreachable:
      return "platform_unreachable";
    case SchedulerError::kStopping:
      return "stopping";
    case SchedulerError::kWorkStopped:
      return "work_stopped";
    case SchedulerError::kCancelled:
      return "cancelled";
    case SchedulerError::kTargetRefused:
      return "target_refused";
    case SchedulerError::kTargetLost:
      return "target_lost";
    case SchedulerError::kTaskFailed:
      return "task_failed";
    case SchedulerError::kRetriesExhausted:
      return "retries_exhausted";
    case SchedulerError::kVersionConflict:
      return "version_conflict";
    case SchedulerError::kPromiseHeld:
      return "promise_held";
    case SchedulerError::kNotFound:
      return "not_found";
    case SchedulerError::kUnauthorized:
      return "unauthorized";
    case SchedulerError::kCatalogueInvalid:
      return "catalogue_invalid";
  }
  return "unknown_error";
}

class SchedulerErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "lycheestep"; }
  std::string message(int aCode) const override
  {
    return NameOf(static_cast<SchedulerError>(aCode));
  }
};

} // namespace

const std::error_category& SchedulerCategory() noexcept
{
  static const SchedulerErrorCategory kCategory;
  return kCategory;
}

std::error_code make_error_code(SchedulerError aError) noexcept
{
  return { static_cast<int>(aError), SchedulerCategory() };
}

} // namespace lycheestep
