#include "answer_json.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace lycheestep {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kLengthRequired = 411;
constexpr int kTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kLocked = 423;
constexpr int kTooManyRequests = 429;
constexpr int kTooManyHeaders = 431;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

int HttpStatusOfError(SchedulerError aError)
{
  switch (aError) {
    case SchedulerError::kUnknownKind:
    case SchedulerError::kInvalidRequest:
      return kBadRequest;
    case SchedulerError::kQueueFull:
    case SchedulerError::kQuotaExceeded:
      return kTooManyRequests;
    case SchedulerError::kDeadlineUnreachable:
    case SchedulerError::kDeadlinePassed:
    case SchedulerError::kNoCapacity:
    case SchedulerError::kPlatformUnreachable:
    case SchedulerError::kStopping:
      return kUnavailable;
    case SchedulerError::kNeverRunnable:
    case SchedulerError::kCatalogueInvalid:
      return kUnprocessable;
    case SchedulerError::kWorkStopped:
    case SchedulerError::kCancelled:
    case SchedulerError::kVersionConflict:
      return kConflict;
    case SchedulerError::kTargetRefused:
    case SchedulerError::kTargetLost:
    case SchedulerError::kRetriesExhausted:
      return kBadGateway;
    case SchedulerError::kTaskFailed:
      return kOk;
    case SchedulerError::kPromiseHeld:
      return kLocked;
    case SchedulerError::kNotFound:
      return kNotFound;
    case SchedulerError::kUnauthorized:
      return kUnauthorized;
  }
  return kInternalError;
}

int HttpStatusOfAnswer(const Answer& aAnswer)
{
  if (aAnswer.m_notFound) {
    return kNotFound;
  }
  switch (aAnswer.m_outcome) {
    case Outcome::kDone:
      return kOk;
    case Outcome::kUnknown:
      return kAccepted;
    case Outcome::kNotRun:
      break;
  }
  const int status = StatusOf(aAnswer.m_error);
  return status == kOk ? kInternalError : status;
}

Json ErrorToJson(const std::error_code& aError)
{
  return aError ? Json(aError.message()) : Json(nullptr);
}

const char* DetailOfHttpStatus(int aStatus)
{
  switch (aStatus) {
    case kNotFound:
      return "no such path or method; see docs/API.md";
    case kLengthRequired:
      return "send a plain body with one Content-Length header";
    case kTooLarge:
      return "the body is larger than this host takes";
    case kTooManyHeaders:
      return "too many header lines";
    case kInternalError:
      return "the call could not be handled";
    default:
      return "the call is malformed or was cut short";
  }
}

} // namespace

int StatusOf(const std::error_code& aError)
{
  if (!aError) {
    return kOk;
  }
  if (aError.category() != SchedulerCategory()) {
    return kInternalError;
  }
  return HttpStatusOfError(static_cast<SchedulerError>(aError.value()));
}

HttpAnswer ToHttp(const Answer& aAnswer)
{
  std::error_code error = aAnswer.m_error;
  if (aAnswer.m_notFound) {
    error = SchedulerError::kNotFound;
  }
  HttpAnswer answer;
  answer.m_status = HttpStatusOfAnswer(aAnswer);
  answer.m_retryAfter = RetryAfterOf(answer.m_status, aAnswer.m_retryAfter);
  const Json json = { { "id", aAnswer.m_request.Text() },
                      { "outcome", ToString(aAnswer.m_outcome) },
                      { "pending", aAnswer.m_pending },
                      { "error", ErrorToJson(error) },
                      { "detail", aAnswer.m_detail },
                      { "body", aAnswer.m_body },
                      { "target", aAnswer.m_target.Text() },
                      { "waited_ms", ToMilliseconds(aAnswer.m_waited) },
                      { "retry_after_ms",
                        ToMilliseconds(aAnswer.m_retryAfter) } };
  answer.m_body =
    json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return answer;
}

HttpAnswer RefuseHttp(SchedulerError aError, const std::string& aDetail)
{
  Answer answer;
  answer.m_outcome = Outcome::kNotRun;
  answer.m_error = aError;
  answer.m_detail = aDetail;
  return ToHttp(answer);
}

std::string ErrorBodyOf(int aStatus)
{
  const SchedulerError error = aStatus == kNotFound
                                 ? SchedulerError::kNotFound
                                 : SchedulerError::kInvalidRequest;
  return RefuseHttp(error, DetailOfHttpStatus(aStatus)).m_body;
}

std::chrono::seconds RetryAfterOf(int aStatus, Duration aRetryAfter)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
  if (aStatus != kTooManyRequests && aStatus != kUnavailable) {
    return std::chrono::seconds(0);
  }
  return std::max(seconds, std::chrono::seconds(1));
}

} // namespace lycheestep
