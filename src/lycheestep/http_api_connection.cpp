#include "http_api_connection.h"

#include <cctype>
#include <optional>
#include <utility>

#include <httplib.h>

#include "lycheestep/network_address.h"

namespace lycheestep {

namespace {

// Appended to a URL without a port.
constexpr const char* kDefaultPort = ":80";

constexpr Duration kConnectTimeout = std::chrono::seconds(5);

const char* NameOf(ApiMethod aMethod)
{
  switch (aMethod) {
    case ApiMethod::kGet:
      return "GET";
    case ApiMethod::kPost:
      return "POST";
    case ApiMethod::kPut:
      return "PUT";
    case ApiMethod::kDelete:
      return "DELETE";
  }
  return "GET";
}

// True for the errors that come before a byte of the call is sent.
bool IsBeforeSending(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress ||
         aError == httplib::Error::SSLConnection ||
         aError == httplib::Error::SSLLoadingCerts ||
         aError == httplib::Error::SSLServerVerification;
}

ApiReply NoReply(httplib::Error aError)
{
  ApiReply reply;
  reply.m_delivery =
    IsBeforeSending(aError) ? Delivery::kNotSent : Delivery::kLost;
  reply.m_detail = httplib::to_string(aError);
  return reply;
}

// Parses "http://HOST:PORT" or "http://HOST"; the scheme may be left out.
// Returns nothing for any other text.
std::optional<NetworkAddress> ParseServerUrl(const std::string& aUrl)
{
  const std::string scheme = "http://";
  const bool hasScheme = aUrl.compare(0, scheme.size(), scheme) == 0;
  const std::string address = hasScheme ? aUrl.substr(scheme.size()) : aUrl;
  const auto parsed = NetworkAddress::Parse(address);
  return parsed ? parsed : NetworkAddress::Parse(address + kDefaultPort);
}

} // namespace

HttpApiConnection::HttpApiConnection(std::string aServer,
                                     std::string aToken,
                                     Duration aTimeout)
  : m_server(std::move(aServer))
  , m_token(std::move(aToken))
  , m_timeout(aTimeout)
{
}

ApiReply HttpApiConnection::Call(const ApiCall& aCall)
{
  const auto address = ParseServerUrl(m_server);
  if (!address) {
    ApiReply reply;
    reply.m_detail = "the URL is not of the form http://HOST:PORT";
    return reply;
  }
  httplib::Client client(address->Host(), address->Port());
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(m_timeout);
  client.set_write_timeout(m_timeout);
  client.set_url_encode(false);

  httplib::Request request;
  request.method = NameOf(aCall.m_method);
  request.path = aCall.m_path;
  if (!m_token.empty()) {
    request.set_header("Authorization", "Bearer " + m_token);
  }
  if (!aCall.m_body.empty()) {
    request.set_header("Content-Type", "application/json");
    request.body = aCall.m_body;
  }
  const httplib::Result result = client.send(request);
  if (!result) {
    return NoReply(result.error());
  }
  ApiReply reply;
  reply.m_delivery = Delivery::kAnswered;
  reply.m_status = result->status;
  reply.m_body = result->body;
  return reply;
}

std::string EncodePathPart(const std::string& aPart)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : aPart) {
    const auto byte = static_cast<unsigned char>(character);
    const bool plain =
      byte < 0x80 && (std::isalnum(byte) != 0 || character == '-' ||
                      character == '.' || character == '_' || character == '~');
    if (plain) {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 0xFU];
    }
  }
  return encoded;
}

} // namespace lycheestep
