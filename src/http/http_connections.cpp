#include "http_connections.h"

#include <chrono>
#include <utility>

#include "http_connection.h"

namespace lycheestep {

namespace {

// The most idle connections that the pool keeps for one address.
constexpr std::size_t kIdleLimit = 8;

} // namespace

HttpConnections::HttpConnections(Duration aTimeout, Duration aIdleAge)
  : m_timeout(aTimeout)
  , m_idleAge(aIdleAge)
{
}

HttpConnections::~HttpConnections() = default;

HttpReply HttpConnections::Post(const NetworkAddress& aAddress,
                                const std::string& aPath,
                                const std::string& aBody,
                                TimePoint aNotAfter)
{
  HttpRequest request;
  request.m_method = HttpMethod::kPost;
  request.m_path = aPath;
  request.m_body = aBody;
  request.m_timeout = m_timeout;
  request.m_maySend = [aNotAfter] { return Clock::now() < aNotAfter; };
  return CallAndGiveBack(aAddress, request);
}

HttpReply HttpConnections::Get(const NetworkAddress& aAddress,
                               const std::string& aPath)
{
  HttpRequest request;
  request.m_path = aPath;
  request.m_timeout = m_timeout;
  return CallAndGiveBack(aAddress, request);
}

HttpReply HttpConnections::Call(const HttpRequest& aRequest)
{
  HttpReply reply = CallAndGiveBack(aRequest.m_address, aRequest);
  if (reply.m_progress != HttpProgress::kAnswered) {
    // The cause of the failure, such as a host that is down, affects the idle
    // connections to the address as well.
    Drop(aRequest.m_address);
  }
  return reply;
}

HttpReply HttpConnections::CallAndGiveBack(const NetworkAddress& aAddress,
                                           const HttpRequest& aRequest)
{
  std::unique_ptr<HttpConnection> connection = Take(aAddress);
  HttpReply reply = connection->Call(aRequest);
  if (reply.m_progress == HttpProgress::kAnswered) {
    GiveBack(aAddress, std::move(connection));
  }
  return reply;
}

std::unique_ptr<HttpConnection> HttpConnections::Take(
  const NetworkAddress& aAddress)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    IdleList& idle = m_idle[aAddress];
    if (!idle.empty() && Clock::now() - idle.back().m_since < m_idleAge) {
      std::unique_ptr<HttpConnection> connection =
        std::move(idle.back().m_connection);
      idle.pop_back();
      return connection;
    }
    idle.clear();
  }
  return std::make_unique<HttpConnection>(aAddress);
}

void HttpConnections::GiveBack(const NetworkAddress& aAddress,
                               std::unique_ptr<HttpConnection> aConnection)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  IdleList& idle = m_idle[aAddress];
  if (idle.size() < kIdleLimit) {
    idle.push_back({ std::move(aConnection), Clock::now() });
  }
}

void HttpConnections::Drop(const NetworkAddress& aAddress)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_idle.erase(aAddress);
}

} // namespace lycheestep
