#include "http_connection.h"

#include <httplib.h>

#include <utility>

namespace lycheestep {

namespace {

constexpr const char* kJsonType = "application/json";

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

httplib::Headers MakeHeaders(const HttpRequest& aRequest)
{
  httplib::Headers headers;
  for (const HttpHeader& header : aRequest.m_headers) {
    headers.emplace(header.m_name, header.m_value);
  }
  return headers;
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

HttpConnection::HttpConnection(const NetworkAddress& aAddress)
{
  if (aAddress.IsNone()) {
    return;
  }
  // httplib parses a URL with std::stoi and a regular expression, which throw
  // or exhaust the stack; host and port are not parsed.
  m_client =
    std::make_unique<httplib::Client>(aAddress.Host(), aAddress.Port());
  m_client->set_keep_alive(true);
  m_client->set_tcp_nodelay(true);
  m_client->set_socket_options([this](socket_t) { ++m_opened; });
}

HttpConnection::~HttpConnection() = default;

HttpReply HttpConnection::Call(const HttpRequest& aRequest)
{
  if (!m_client) {
    HttpReply reply;
    reply.m_progress = HttpProgress::kNotSent;
    return reply;
  }
  m_client->set_connection_timeout(aRequest.m_timeout);
  m_client->set_read_timeout(aRequest.m_timeout);
  m_client->set_write_timeout(aRequest.m_timeout);
  return aRequest.m_maySend ? SendIfAllowed(aRequest) : Send(aRequest);
}

HttpReply HttpConnection::CallPeer(HttpRequest aRequest)
{
  aRequest.m_maySend = [this, maySend = std::move(aRequest.m_maySend)] {
    return !PeerName().empty() && (!maySend || maySend());
  };
  return Call(aRequest);
}

void HttpConnection::NamePeer(const std::string& aName)
{
  m_peerName = aName;
  m_namedOn = m_opened;
}

std::string HttpConnection::PeerName() const
{
  return m_namedOn == m_opened ? m_peerName : std::string();
}

HttpReply HttpConnection::Send(const HttpRequest& aRequest)
{
  httplib::Request request;
  request.method = MethodName(aRequest.m_method);
  request.path = aRequest.m_path;
  request.headers = MakeHeaders(aRequest);
  request.body = aRequest.m_body;
  if (!request.body.empty()) {
    request.headers.emplace("Content-Type", kJsonType);
  }
  return MakeReply(m_client->send(request), false);
}

HttpReply HttpConnection::SendIfAllowed(const HttpRequest& aRequest)
{
  bool withheld = false;
  const std::string& body = aRequest.m_body;
  const auto writeBody =
    [&](std::size_t aOffset, std::size_t aLength, httplib::DataSink& aSink) {
      if (aOffset == 0 && !aRequest.m_maySend()) {
        withheld = true;
        return false;
      }
      return aSink.write(body.data() + aOffset, aLength);
    };
  const httplib::Result result = m_client->Post(
    aRequest.m_path, MakeHeaders(aRequest), body.size(), writeBody, kJsonType);
  return MakeReply(result, withheld);
}

} // namespace lycheestep
