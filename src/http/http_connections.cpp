#include "http_connections.h"

#include <httplib.h>

#include <chrono>
#include <utility>

namespace lycheestep {

namespace {

// The most idle connections that the pool keeps for one address.
constexpr std::size_t kIdleLimit = 8;

const char* MethodName(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kDelete:
      return "DELETE";
  }
  return "";
}

// Converts the result of httplib. aWithheld says that the body was not sent.
HttpReply MakeReply(const httplib::Result& aResult, bool aWithheld)
{
  HttpReply reply;
  if (aResult) {
    reply.m_progress = HttpProgress::kAnswered;
    reply.m_status = aResult->status;
    reply.m_body = aResult->body;
    return reply;
  }
  const bool unconnected = aResult.error() == httplib::Error::Connection ||
                           aResult.error() == httplib::Error::ConnectionTimeout;
  const bool notSent = unconnected || aWithheld;
  reply.m_progress = notSent ? HttpProgress::kNotSent : HttpProgress::kLost;
  return reply;
}

} // namespace

HttpConnections::HttpConnections(Duration aTimeout, Duration aIdleAge)
  : m_timeout(aTimeout)
  , m_idleAge(aIdleAge)
{
}

HttpConnections::~HttpConnections() = default;

HttpReply HttpConnections::Post(const std::string& aAddress,
                                const std::string& aPath,
                                const std::string& aBody,
                                TimePoint aNotAfter)
{
  std::unique_ptr<httplib::Client> client = Take(aAddress);
  bool bodyWithheld = false;
  const auto writeBody =
    [&](std::size_t aOffset, std::size_t aLength, httplib::DataSink& aSink) {
      if (aOffset == 0 && Clock::now() >= aNotAfter) {
        bodyWithheld = true;
        return false;
      }
      return aSink.write(aBody.data() + aOffset, aLength);
    };
  const httplib::Result result =
    client->Post(aPath, aBody.size(), writeBody, "application/json");
  HttpReply reply = MakeReply(result, bodyWithheld);
  if (reply.m_progress == HttpProgress::kAnswered) {
    GiveBack(aAddress, std::move(client));
  }
  return reply;
}

HttpReply HttpConnections::Call(const HttpRequest& aRequest)
{
  std::unique_ptr<httplib::Client> client = Take(aRequest.m_address);
  client->set_connection_timeout(aRequest.m_timeout);
  client->set_read_timeout(aRequest.m_timeout);
  client->set_write_timeout(aRequest.m_timeout);
  httplib::Request request;
  request.method = MethodName(aRequest.m_method);
  request.path = aRequest.m_path;
  for (const HttpHeader& header : aRequest.m_headers) {
    request.headers.emplace(header.m_name, header.m_value);
  }
  request.body = aRequest.m_body;
  if (!request.body.empty()) {
    request.headers.emplace("Content-Type", "application/json");
  }
  HttpReply reply = MakeReply(client->send(request), false);
  if (reply.m_progress == HttpProgress::kAnswered) {
    GiveBack(aRequest.m_address, std::move(client));
  } else {
    // The cause of the failure, such as a host that is down, affects the idle
    // connections to the address as well.
    Drop(aRequest.m_address);
  }
  return reply;
}

void HttpConnections::Drop(const std::string& aAddress)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_idle.erase(aAddress);
}

HttpReply HttpConnections::Get(const std::string& aAddress,
                               const std::string& aPath)
{
  std::unique_ptr<httplib::Client> client = Take(aAddress);
  HttpReply reply = MakeReply(client->Get(aPath), false);
  if (reply.m_progress == HttpProgress::kAnswered) {
    GiveBack(aAddress, std::move(client));
  }
  return reply;
}

std::unique_ptr<httplib::Client> HttpConnections::Take(
  const std::string& aAddress)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    IdleList& idle = m_idle[aAddress];
    if (!idle.empty() && Clock::now() - idle.back().m_since < m_idleAge) {
      std::unique_ptr<httplib::Client> client = std::move(idle.back().m_client);
      idle.pop_back();
      return client;
    }
    idle.clear();
  }
  auto client = std::make_unique<httplib::Client>("http://" + aAddress);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(m_timeout);
  client->set_read_timeout(m_timeout);
  client->set_write_timeout(m_timeout);
  return client;
}

void HttpConnections::GiveBack(const std::string& aAddress,
                               std::unique_ptr<httplib::Client> aClient)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  IdleList& idle = m_idle[aAddress];
  if (idle.size() < kIdleLimit) {
    idle.push_back({ std::move(aClient), Clock::now() });
  }
}

} // namespace lycheestep
