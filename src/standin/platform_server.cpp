#include "platform_server.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <thread>
#include <utility>

#include "json_codec.h"
#include "table_json.h"

namespace lycheestep {

namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

HttpAnswer MakeAnswer(int aStatus, std::string aBody)
{
  HttpAnswer answer;
  answer.m_status = aStatus;
  answer.m_body = std::move(aBody);
  return answer;
}

std::string ErrorBody(int /*aStatus*/)
{
  return "{}";
}

} // namespace

PlatformServer::PlatformServer(ListHosts aListHosts, Duration aListLag)
  : m_listHosts(std::move(aListHosts))
  , m_listLag(aListLag)
  , m_server(HttpLimits(), ErrorBody)
{
  m_table.KeepHistoryOf("record/");
  AddRoutes();
}

std::error_code PlatformServer::Listen(const std::string& aHost, int aPort)
{
  return m_server.Listen(aHost, aPort);
}

void PlatformServer::SetFaults(const TableFaults& aFaults)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_faults = aFaults;
}

TableRow PlatformServer::RowAt(const std::string& aKey) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_table.Rows().find(aKey);
  return found == m_table.Rows().end() ? TableRow{ aKey, "", 0 }
                                       : found->second;
}

void PlatformServer::AddRoutes()
{
  const auto add = [this](HttpMethod aMethod,
                          const std::string& aPattern,
                          HttpHandler aHandler) {
    m_server.AddRoute(
      aMethod,
      aPattern,
      [this, handler = std::move(aHandler)](const HttpCall& aCall) {
        return Serve([&] { return handler(aCall); });
      });
  };
  add(HttpMethod::kPost, "/v1/table/transact", [this](const HttpCall& aCall) {
    return Transact(aCall);
  });
  add(HttpMethod::kPost, "/v1/table/read", [this](const HttpCall& aCall) {
    return Read(aCall);
  });
  add(HttpMethod::kPost, "/v1/hosts/query", [this](const HttpCall& aCall) {
    return Hosts(aCall);
  });
  add(HttpMethod::kPut, "/v1/objects/([^/]+)", [this](const HttpCall& aCall) {
    return PutObject(aCall);
  });
  add(HttpMethod::kGet, "/v1/objects/([^/]+)", [this](const HttpCall& aCall) {
    return GetObject(aCall);
  });
  m_server.AddRoute(HttpMethod::kPost,
                    "/control",
                    [this](const HttpCall& aCall) { return Control(aCall); });
  m_server.AddRoute(HttpMethod::kGet,
                    "/control/ledger",
                    [this](const HttpCall& /*aCall*/) { return Ledger(); });
}

HttpAnswer PlatformServer::Serve(const std::function<HttpAnswer()>& aCall)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  const TableFaults faults = m_faults;
  lock.unlock();
  std::this_thread::sleep_for(faults.m_delay);
  if (faults.m_down) {
    return MakeAnswer(kUnavailable, "{}");
  }
  lock.lock();
  HttpAnswer answer = aCall();
  return faults.m_loseReplies ? MakeAnswer(kInternalError, "{}") : answer;
}

HttpAnswer PlatformServer::Transact(const HttpCall& aCall)
{
  const auto transaction = DecodeTransaction(aCall.m_body);
  if (!transaction) {
    return MakeAnswer(kBadRequest, "{}");
  }
  const TableAnswer answer = m_table.Transact(*transaction, Clock::now());
  const bool ok = answer.m_status == TableStatus::kOk;
  return MakeAnswer(ok ? kOk : kConflict, EncodeTableAnswer(answer));
}

HttpAnswer PlatformServer::Read(const HttpCall& aCall)
{
  const auto query = DecodeQuery(aCall.m_body);
  return query ? MakeAnswer(kOk, EncodeTableAnswer(m_table.Read(*query)))
               : MakeAnswer(kBadRequest, "{}");
}

HttpAnswer PlatformServer::Hosts(const HttpCall& aCall)
{
  const auto query = DecodeTargetListQuery(aCall.m_body);
  if (!query) {
    return MakeAnswer(kBadRequest, "{}");
  }
  const TimePoint now = Clock::now();
  if (m_hosts.empty() || now - m_hostsAt >= m_listLag) {
    m_hosts = m_listHosts();
    m_hostsAt = now;
  }
  std::vector<TargetListing> asked;
  for (const TargetListing& host : m_hosts) {
    if (host.m_dataCentre == query->m_dataCentre) {
      asked.push_back(host);
    }
  }
  const std::string body = EncodeTargetList(asked);
  return TargetListTag(body) == query->m_tag ? MakeAnswer(kNotModified, "")
                                             : MakeAnswer(kOk, body);
}

HttpAnswer PlatformServer::PutObject(const HttpCall& aCall)
{
  m_objects[aCall.m_names.front()] = aCall.m_body;
  return MakeAnswer(kOk, "{}");
}

HttpAnswer PlatformServer::GetObject(const HttpCall& aCall)
{
  const auto found = m_objects.find(aCall.m_names.front());
  return found == m_objects.end() ? MakeAnswer(kNotFound, "{}")
                                  : MakeAnswer(kOk, found->second);
}

HttpAnswer PlatformServer::Control(const HttpCall& aCall)
{
  const auto faults = ParseJson(aCall.m_body, [](const nlohmann::json& aJson) {
    TableFaults read;
    read.m_down = aJson.value("down", false);
    read.m_loseReplies = aJson.value("lose_replies", false);
    read.m_delay =
      std::chrono::milliseconds(aJson.value("delay_ms", std::int64_t{ 0 }));
    return read;
  });
  if (!faults) {
    return MakeAnswer(kBadRequest, "{}");
  }
  SetFaults(*faults);
  return MakeAnswer(kOk, "{}");
}

HttpAnswer PlatformServer::Ledger()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const TableCounts& counts = m_table.Counts();
  return MakeAnswer(kOk,
                    DumpJson({ { "transactions", counts.m_transactions },
                               { "conflicts", counts.m_conflicts },
                               { "rows_written", counts.m_rowsWritten },
                               { "reads", counts.m_reads },
                               { "bytes_in", counts.m_bytesIn },
                               { "bytes_out", counts.m_bytesOut },
                               { "rows", m_table.Rows().size() } }));
}

} // namespace lycheestep
