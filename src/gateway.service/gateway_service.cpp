#include "gateway_service.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <thread>
#include <utility>

#include "answer_json.h"
#include "lycheestep/control_thread.h"
#include "lycheestep/kernel.h"
#include "lycheestep/metrics_sink.h"
#include "lycheestep/process_settings.h"
#include "lycheestep/service_factory.h"
#include "request_json.h"

namespace lycheestep {

namespace {

const ServiceRegistration kRegistration(
  "gateway",
  [](const ProcessSettings& aSettings) {
    return std::make_unique<GatewayService>(aSettings);
  });

// The longest time that a caller with "wait": true waits for the result. If the
// request hasn't ended by then, the caller gets the outcome "unknown" and the
// request continues.
constexpr Duration kWaitTimeout = std::chrono::seconds(60);
// The longest time that a caller with "wait": false, or one that queries or
// cancels a request, waits for the answer of the control thread.
constexpr Duration kAcceptTimeout = std::chrono::seconds(2);
// The delay between polls for the result of an accepted request. The delay
// doubles after each poll, up to kMaxPollDelay.
constexpr Duration kFirstPollDelay = std::chrono::milliseconds(10);
constexpr Duration kMaxPollDelay = std::chrono::milliseconds(500);

// The most callers that one host lets wait at a time. Each waiting caller
// occupies a thread.
constexpr std::size_t kMaxWaitingCallers = 256;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::size_t WaitingLimitOf(const ProcessSettings& aSettings)
{
  return std::min(aSettings.m_callerLimit, kMaxWaitingCallers);
}

// Returns the limits of the HTTP server. There is one thread for each caller
// that may wait, and m_httpThreads more for calls that are answered at once.
HttpLimits LimitsOf(const ProcessSettings& aSettings)
{
  HttpLimits limits;
  limits.m_threads = aSettings.m_httpThreads + WaitingLimitOf(aSettings);
  limits.m_bodyLimit = aSettings.m_bodyLimit;
  return limits;
}

// Returns the answer for a request about which the control thread didn't answer
// in time: pending, with the outcome unknown.
Answer UnknownAnswer(const RequestId& aRequest)
{
  Answer answer;
  answer.m_request = aRequest;
  answer.m_pending = true;
  answer.m_detail = "not answered yet; ask again by the id";
  return answer;
}

HttpAnswer PlainText(int aStatus, const std::string& aText)
{
  HttpAnswer answer;
  answer.m_status = aStatus;
  answer.m_body = aText;
  answer.m_contentType = "text/plain; charset=utf-8";
  return answer;
}

} // namespace

GatewayService::GatewayService(const ProcessSettings& aSettings)
  : m_settings(aSettings)
  , m_replies(WaitingLimitOf(aSettings))
  , m_server(LimitsOf(aSettings), ErrorBodyOf)
  , m_idGenerator(std::random_device()())
{
}

std::error_code GatewayService::Start(Kernel& aKernel)
{
  m_control = aKernel.Find<ControlThread>("control");
  if (!m_control) {
    return std::make_error_code(std::errc::not_connected);
  }
  AddCallerRoutes();
  AddProcessRoutes(aKernel.Find<MetricsSink>("metrics"));
  return m_server.Listen(m_settings.m_httpHost, m_settings.m_httpPort);
}

void GatewayService::Stop()
{
  m_stopping = true;
  m_replies.Shutdown();
  m_server.Stop();
}

void GatewayService::Deliver(AnswerCaller aAnswer)
{
  m_replies.Deliver(aAnswer.m_ticket, std::move(aAnswer.m_answer));
}

void GatewayService::Deliver(AnswerExplain aAnswer)
{
  m_replies.Deliver(aAnswer.m_ticket,
                    Explanation{ std::move(aAnswer.m_lines) });
}

void GatewayService::Deliver(AnswerOperator aAnswer)
{
  m_replies.Deliver(aAnswer.m_ticket, std::move(aAnswer.m_reply));
}

void GatewayService::AddRoute(HttpMethod aMethod,
                              const std::string& aPattern,
                              HttpHandler aHandler)
{
  m_server.AddRoute(aMethod, aPattern, std::move(aHandler));
}

void GatewayService::AddCallerRoutes()
{
  AddRoute(HttpMethod::kPost, "/v1/requests", [this](const HttpCall& aCall) {
    return Submit(aCall);
  });
  AddRoute(
    HttpMethod::kGet, "/v1/requests/([^/]+)", [this](const HttpCall& aCall) {
      return QueryOrCancel(aCall, false);
    });
  AddRoute(
    HttpMethod::kDelete, "/v1/requests/([^/]+)", [this](const HttpCall& aCall) {
      return QueryOrCancel(aCall, true);
    });
}

void GatewayService::AddProcessRoutes(MetricsSink* aMetrics)
{
  AddRoute(HttpMethod::kGet, "/healthz", [](const HttpCall& /*aCall*/) {
    return PlainText(kOk, "ok\n");
  });
  AddRoute(HttpMethod::kGet, "/readyz", [this](const HttpCall& /*aCall*/) {
    return m_control->IsReady() ? PlainText(kOk, "ready\n")
                                : PlainText(kUnavailable, "not ready\n");
  });
  AddRoute(
    HttpMethod::kGet, "/metrics", [this, aMetrics](const HttpCall& /*aCall*/) {
      if (!aMetrics) {
        return PlainText(kOk, "");
      }
      aMetrics->SetGauge("lycheestep_waiting_callers",
                         static_cast<double>(m_replies.Size()));
      return PlainText(kOk, aMetrics->Render());
    });
}

HttpAnswer GatewayService::Submit(const HttpCall& aCall)
{
  SubmitCall call = ReadSubmitCall(aCall.m_body);
  if (!call.m_problem.empty()) {
    return RefuseHttp(SchedulerError::kInvalidRequest, call.m_problem);
  }
  if (call.m_request.m_id.Empty()) {
    call.m_request.m_id = MakeRequestId();
    call.m_request.m_firstTry = true;
  }
  const RequestId id = call.m_request.m_id;
  const CallerTicket ticket = m_replies.Open();
  if (ticket == 0) {
    return RefuseHttp(SchedulerError::kQueueFull, "too many callers wait here");
  }
  const Duration limit = call.m_wait ? kWaitTimeout : kAcceptTimeout;
  const TimePoint until = Clock::now() + limit;
  if (!m_control->TryPost(
        RequestSubmitted{ ticket, std::move(call.m_request) })) {
    m_replies.Close(ticket);
    return RefuseHttp(SchedulerError::kNoCapacity,
                      "this host has too much to do");
  }
  std::optional<TicketReply> reply = m_replies.Wait(ticket, until);
  if (!reply) {
    m_control->Post(CallerLeft{ ticket });
    return ToHttp(UnknownAnswer(id));
  }
  Answer answer = std::get<Answer>(std::move(*reply));
  if (answer.m_pending && call.m_wait) {
    answer = PollForResult(id, until).value_or(std::move(answer));
  }
  return ToHttp(answer);
}

std::optional<Answer> GatewayService::PollForResult(const RequestId& aRequest,
                                                    TimePoint aUntil)
{
  Duration delay = kFirstPollDelay;
  while (!m_stopping && Clock::now() + delay < aUntil) {
    std::this_thread::sleep_for(delay);
    delay = std::min(2 * delay, kMaxPollDelay);
    const CallerTicket ticket = m_replies.Open();
    auto reply = Ask(ticket, ResultRequested{ ticket, aRequest }, aUntil);
    if (!reply) {
      continue;
    }
    Answer answer = std::get<Answer>(std::move(*reply));
    if (!answer.m_pending && !answer.m_notFound) {
      return answer;
    }
  }
  return std::nullopt;
}

HttpAnswer GatewayService::QueryOrCancel(const HttpCall& aCall, bool aCancel)
{
  const std::string& name = aCall.m_names.front();
  if (!IsRequestId(name)) {
    return RefuseHttp(SchedulerError::kInvalidRequest,
                      "the id must be 1 to 128 letters, digits or any of "
                      "-._~:");
  }
  const RequestId id(name);
  const CallerTicket ticket = m_replies.Open();
  Event question = ResultRequested{ ticket, id };
  if (aCancel) {
    question = CancelRequested{ ticket, id };
  }
  auto reply = Ask(ticket, std::move(question), Clock::now() + kAcceptTimeout);
  return ToHttp(reply ? std::get<Answer>(*reply) : UnknownAnswer(id));
}

std::optional<TicketReply> GatewayService::Ask(CallerTicket aTicket,
                                               Event aEvent,
                                               TimePoint aUntil)
{
  if (aTicket == 0) {
    return std::nullopt;
  }
  if (!m_control->TryPost(std::move(aEvent))) {
    m_replies.Close(aTicket);
    return std::nullopt;
  }
  auto reply = m_replies.Wait(aTicket, aUntil);
  if (!reply) {
    m_control->Post(CallerLeft{ aTicket });
  }
  return reply;
}

RequestId GatewayService::MakeRequestId()
{
  constexpr std::size_t kHexLength = 36;
  std::array<char, kHexLength> text{};
  const std::lock_guard<std::mutex> lock(m_idMutex);
  const auto high = static_cast<unsigned long long>(m_idGenerator());
  const auto low = static_cast<unsigned long long>(m_idGenerator());
  std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
  return RequestId(text.data());
}

} // namespace lycheestep
