#include "targets_service.h"

#include <optional>
#include <string_view>
#include <utility>

#include "lycheestep/event_sink.h"
#include "lycheestep/kernel.h"
#include "lycheestep/metrics_sink.h"
#include "lycheestep/process_settings.h"
#include "lycheestep/service_factory.h"
#include "target_json.h"

namespace lycheestep {

namespace {

const ServiceRegistration kRegistration(
  "targets",
  [](const ProcessSettings& aSettings) {
    return std::make_unique<TargetsService>(aSettings);
  });

constexpr int kHttpOk = 200;

bool IsOk(const HttpReply& aReply)
{
  return aReply.m_progress == HttpProgress::kAnswered &&
         aReply.m_status == kHttpOk;
}

// Converts the HTTP reply to a start. If the reply is lost, reports an HTTP
// error or can't be decoded, the status is kLost, as the task may have started.
StartAnswered ToStartAnswered(const HttpReply& aReply)
{
  StartAnswered answer;
  if (aReply.m_progress == HttpProgress::kNotSent) {
    answer.m_status = StartStatus::kNotSent;
    return answer;
  }
  const std::optional<StartResult> result =
    IsOk(aReply) ? DecodeStartResult(aReply.m_body) : std::nullopt;
  if (!result) {
    return answer;
  }
  answer.m_status =
    result->m_started ? StartStatus::kStarted : StartStatus::kRefused;
  answer.m_detail = result->m_detail;
  answer.m_leaving = result->m_leaving;
  return answer;
}

// Returns true if aByte needs no percent-encoding in a URL path.
bool IsUnreserved(char aByte)
{
  constexpr std::string_view kUnreserved =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
  return kUnreserved.find(aByte) != std::string_view::npos;
}

// Returns the URL path of aCall on aAttempt. Reserved bytes of the attempt id
// are percent-encoded.
std::string PathOf(const AttemptId& aAttempt, const char* aCall)
{
  constexpr const char* kDigits = "0123456789ABCDEF";
  std::string path = "/v1/tasks/";
  for (const char c : aAttempt.Text()) {
    if (IsUnreserved(c)) {
      path += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    path += '%';
    path += kDigits[byte / 16];
    path += kDigits[byte % 16];
  }
  return path + aCall;
}

} // namespace

TargetsService::TargetsService(const ProcessSettings& aSettings)
  : m_entry(aSettings.m_scheduler.m_entry)
  , m_connections(aSettings.m_targetTimeout)
  , m_poller(m_entry, aSettings.m_targetTimeout)
  , m_startPool("target-start", aSettings.m_targetThreads)
  , m_controlPool("target-lease", aSettings.m_targetThreads)
{
}

std::error_code TargetsService::Start(Kernel& aKernel)
{
  m_events = aKernel.Find<EventSink>("control");
  m_metrics = aKernel.Find<MetricsSink>("metrics");
  m_poller.SetSink(m_events);
  return m_events ? std::error_code()
                  : std::make_error_code(std::errc::not_connected);
}

void TargetsService::Stop()
{
  m_startPool.Stop();
  m_controlPool.Stop();
  m_poller.Stop();
}

void TargetsService::StartOn(StartTask aCall)
{
  m_startPool.Run([this, call = std::move(aCall)] { DoStart(call); });
}

void TargetsService::Renew(RenewLeases aCall)
{
  m_controlPool.Run([this, call = std::move(aCall)] { DoRenew(call); });
}

void TargetsService::Control(ControlTask aCall)
{
  m_controlPool.Run([this, call = std::move(aCall)] { DoControl(call); });
}

void TargetsService::Query(QueryAttempt aCall)
{
  m_controlPool.Run([this, call = std::move(aCall)] { DoQuery(call); });
}

void TargetsService::DoStart(const StartTask& aCall)
{
  StartCall call;
  call.m_target = aCall.m_target;
  call.m_start = aCall.m_start;
  const AttemptId& attempt = aCall.m_start.m_attempt;
  if (aCall.m_start.m_waitForEnd) {
    call.m_notify = m_entry;
    m_poller.Watch(aCall.m_target, aCall.m_address, attempt);
  }
  const TimePoint since = Clock::now();
  const HttpReply reply =
    m_connections.Post(NetworkAddress::ParseOrNone(aCall.m_address),
                       "/v1/tasks",
                       EncodeStartCall(call),
                       aCall.m_notAfter);
  CountCall("start", reply, since);
  StartAnswered answer = ToStartAnswered(reply);
  answer.m_target = aCall.m_target;
  answer.m_attempt = attempt;
  answer.m_latency = Clock::now() - since;
  const bool mayRun = answer.m_status == StartStatus::kStarted ||
                      answer.m_status == StartStatus::kLost;
  if (aCall.m_start.m_waitForEnd && !mayRun) {
    m_poller.Unwatch(aCall.m_address, attempt);
  }
  m_events->Post(std::move(answer));
}

void TargetsService::DoRenew(const RenewLeases& aCall)
{
  const TimePoint since = Clock::now();
  const HttpReply reply =
    m_connections.Post(NetworkAddress::ParseOrNone(aCall.m_address),
                       "/v1/leases",
                       EncodeRenewal(aCall.m_renewal),
                       aCall.m_notAfter);
  CountCall("leases", reply, since);
  TargetReport report;
  if (IsOk(reply)) {
    report = DecodeReport(reply.m_body).value_or(TargetReport());
  }
  if (report.m_target != aCall.m_target) {
    // Another target now uses the address, so aCall.m_target was not reached.
    report = TargetReport();
  }
  report.m_target = aCall.m_target;
  report.m_latency = Clock::now() - since;
  m_events->Post(TargetReported{ std::move(report) });
}

void TargetsService::DoControl(const ControlTask& aCall)
{
  const TimePoint since = Clock::now();
  const HttpReply reply =
    m_connections.Post(NetworkAddress::ParseOrNone(aCall.m_address),
                       PathOf(aCall.m_attempt, "/control"),
                       EncodeControl(aCall.m_control));
  CountCall("control", reply, since);
}

void TargetsService::DoQuery(const QueryAttempt& aCall)
{
  const TimePoint since = Clock::now();
  const HttpReply reply =
    m_connections.Post(NetworkAddress::ParseOrNone(aCall.m_address),
                       PathOf(aCall.m_attempt, "/query"),
                       EncodeAttemptQuery({ aCall.m_target }));
  CountCall("query", reply, since);
  AttemptAnswered answer;
  answer.m_target = aCall.m_target;
  if (IsOk(reply)) {
    std::optional<TaskReport> task = DecodeTask(reply.m_body);
    answer.m_reached = task.has_value();
    answer.m_report = std::move(task).value_or(TaskReport());
  }
  answer.m_report.m_attempt = aCall.m_attempt;
  m_events->Post(std::move(answer));
}

void TargetsService::CountCall(const char* aCall,
                               const HttpReply& aReply,
                               TimePoint aSince)
{
  if (!m_metrics) {
    return;
  }
  const std::string call = std::string("call=\"") + aCall + "\"";
  const bool answered = aReply.m_progress == HttpProgress::kAnswered;
  m_metrics->Count("lycheestep_target_calls_total",
                   call + (answered ? ",answered=\"1\"" : ",answered=\"0\""),
                   1);
  m_metrics->Observe(
    "lycheestep_target_call_seconds", call, Clock::now() - aSince);
}

} // namespace lycheestep
