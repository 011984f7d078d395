#include "platform_service.h"

#include <optional>
#include <utility>

#include "lycheestep/event_sink.h"
#include "lycheestep/kernel.h"
#include "lycheestep/metrics_sink.h"
#include "lycheestep/process_settings.h"
#include "lycheestep/service_factory.h"
#include "table_json.h"

namespace lycheestep {

namespace {

const ServiceRegistration kRegistration(
  "platform",
  [](const ProcessSettings& aSettings) {
    return std::make_unique<PlatformService>(aSettings);
  });

// A read is sent up to this many times before it is reported as unanswered.
constexpr int kReadTries = 2;

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
constexpr int kHttpConflict = 409;
// The platform rejected a call without executing it.
constexpr int kHttpUnavailable = 503;

// Returns the host and port of a URL such as "http://127.0.0.1:9000/"; none if
// the text has none.
NetworkAddress AddressOf(const std::string& aUrl)
{
  const std::string scheme = "http://";
  std::string address = aUrl;
  if (address.compare(0, scheme.size(), scheme) == 0) {
    address.erase(0, scheme.size());
  }
  return NetworkAddress::ParseOrNone(address.substr(0, address.find('/')));
}

// Converts the HTTP reply to a call on the table. If the reply is lost, has an
// unexpected HTTP status or can't be decoded, the status is kUnknown, as the
// call may have taken effect.
TableAnswer ToTableAnswer(const HttpReply& aReply)
{
  TableAnswer answer;
  if (aReply.m_progress == HttpProgress::kNotSent ||
      aReply.m_status == kHttpUnavailable) {
    answer.m_status = TableStatus::kNotSent;
    return answer;
  }
  if (aReply.m_progress == HttpProgress::kLost ||
      (aReply.m_status != kHttpOk && aReply.m_status != kHttpConflict)) {
    return answer;
  }
  return DecodeTableAnswer(aReply.m_body).value_or(answer);
}

const char* ResultLabel(const HttpReply& aReply)
{
  switch (aReply.m_progress) {
    case HttpProgress::kAnswered:
      return "answered";
    case HttpProgress::kNotSent:
      return "not_sent";
    case HttpProgress::kLost:
      return "lost";
  }
  return "lost";
}

} // namespace

PlatformService::PlatformService(const ProcessSettings& aSettings)
  : m_address(AddressOf(aSettings.m_platformUrl))
  , m_dataCentre(aSettings.m_scheduler.m_dataCentre)
  , m_connections(aSettings.m_platformTimeout)
  , m_writers("platform-write", aSettings.m_platformThreads)
  , m_readers("platform-read", aSettings.m_platformThreads)
{
}

std::error_code PlatformService::Start(Kernel& aKernel)
{
  m_events = aKernel.Find<EventSink>("control");
  m_metrics = aKernel.Find<MetricsSink>("metrics");
  return m_events ? std::error_code()
                  : std::make_error_code(std::errc::not_connected);
}

void PlatformService::Stop()
{
  m_writers.Stop();
  m_readers.Stop();
}

void PlatformService::Transact(TransactTable aCall)
{
  m_writers.Run([this, call = std::move(aCall)] { DoTransact(call); });
}

void PlatformService::Read(ReadTable aCall)
{
  m_readers.Run([this, call = std::move(aCall)] { DoRead(call); });
}

void PlatformService::FetchHosts()
{
  m_readers.Run([this] { DoFetchHosts(); });
}

void PlatformService::DoTransact(const TransactTable& aCall)
{
  const TimePoint since = Clock::now();
  const HttpReply reply = m_connections.Post(
    m_address, "/v1/table/transact", EncodeTransaction(aCall.m_transaction));
  CountCall("transact", reply, since);
  m_events->Post(TableAnswered{ aCall.m_ticket, ToTableAnswer(reply) });
}

void PlatformService::DoRead(const ReadTable& aCall)
{
  const TimePoint since = Clock::now();
  const HttpReply reply = PostRead(EncodeQuery(aCall.m_query));
  CountCall("read", reply, since);
  m_events->Post(TableAnswered{ aCall.m_ticket, ToTableAnswer(reply) });
}

HttpReply PlatformService::PostRead(const std::string& aBody)
{
  HttpReply reply;
  for (int i = 0; i < kReadTries; ++i) {
    reply = m_connections.Post(m_address, "/v1/table/read", aBody);
    if (reply.m_progress == HttpProgress::kAnswered) {
      break;
    }
  }
  return reply;
}

void PlatformService::DoFetchHosts()
{
  const TimePoint since = Clock::now();
  const HttpReply reply =
    m_connections.Post(m_address,
                       "/v1/hosts/query",
                       EncodeTargetListQuery({ m_dataCentre, m_hostsTag }));
  CountCall("hosts", reply, since);
  HostListAnswered answer;
  const bool answered = reply.m_progress == HttpProgress::kAnswered;
  if (answered && reply.m_status == kHttpNotModified) {
    answer.m_reached = true;
    answer.m_unchanged = true;
  }
  if (answered && reply.m_status == kHttpOk) {
    auto hosts = DecodeTargetList(reply.m_body);
    answer.m_reached = hosts.has_value();
    m_hostsTag = answer.m_reached ? TargetListTag(reply.m_body) : std::string();
    answer.m_targets = std::move(hosts).value_or(std::vector<TargetListing>());
  }
  m_events->Post(std::move(answer));
}

void PlatformService::CountCall(const char* aCall,
                                const HttpReply& aReply,
                                TimePoint aSince)
{
  if (!m_metrics) {
    return;
  }
  const std::string call = std::string("call=\"") + aCall + "\"";
  m_metrics->Count("lycheestep_platform_calls_total",
                   call + ",result=\"" + ResultLabel(aReply) + "\"",
                   1);
  m_metrics->Observe(
    "lycheestep_platform_call_seconds", call, Clock::now() - aSince);
}

} // namespace lycheestep
