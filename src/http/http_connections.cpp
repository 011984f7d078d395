#include "http_connections.h"

#include <httplib.h>

#include <chrono>
#include <utility>

namespace lycheestep {

namespace {

// Idle connections kept for one address.
constexpr std::size_t kIdleLimit = 8;

// Idle connections are closed after this, before the other side does: a call
// that meets a connection which is being closed would count as lost.
constexpr Duration kIdleAge = std::chrono::seconds(1);

HttpReply MakeReply(const httplib::Result& aResult, bool aHeldBack)
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
  const bool notSent = unconnected || aHeldBack;
  reply.m_progress = notSent ? HttpProgress::kNotSent : HttpProgress::kLost;
  return reply;
}

} // namespace

HttpConnections::HttpConnections(Duration aTimeout)
  : m_timeout(aTimeout)
{
}

HttpConnections::~HttpConnections() = default;

HttpReply HttpConnections::Post(const std::string& aAddress,
                                const std::string& aPath,
                                const std::string& aBody,
                                TimePoint aNotAfter)
{
  std::unique_ptr<httplib::Client> client = Take(aAddress);
  bool heldBack = false;
  const auto writeBody =
    [&](std::size_t aOffset, std::size_t aLength, httplib::DataSink& aSink) {
      if (aOffset == 0 && Clock::now() >= aNotAfter) {
        heldBack = true;
        return false;
      }
      return aSink.write(aBody.data() + aOffset, aLength);
    };
  const httplib::Result result =
    client->Post(aPath, aBody.size(), writeBody, "application/json");
  HttpReply reply = MakeReply(result, heldBack);
  if (reply.m_progress == HttpProgress::kAnswered) {
    GiveBack(aAddress, std::move(client));
  }
  return reply;
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
    if (!idle.empty() && Clock::now() - idle.back().m_since < kIdleAge) {
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
