#ifndef LYCHEESTEP_HTTP_ROUTER_H
#define LYCHEESTEP_HTTP_ROUTER_H

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace lycheestep {

// The methods that routes use.
enum class HttpMethod
{
  kGet,
  kPost,
  kPut,
  kDelete,
};

// A call that a handler receives. The call is complete and within the server's
// limits.
struct HttpCall
{
  // The groups that the route's pattern captures from the path, in order and
  // unescaped.
  std::vector<std::string> m_names;
  std::string m_body;
  // The value of the Host header.
  std::string m_hostHeader;
  // The token of "Authorization: Bearer TOKEN". Empty if there is none.
  std::string m_bearerToken;
};

// The answer to a call.
struct HttpAnswer
{
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
  // The value of the Retry-After header. Zero sends no such header.
  std::chrono::seconds m_retryAfter{ 0 };
};

// Answers one call. The handler runs on one of the server's connection threads
// and may block.
using HttpHandler = std::function<HttpAnswer(const HttpCall&)>;

// The interface through which services add routes before the server listens.
class HttpRouter
{
public:
  virtual ~HttpRouter() = default;

  // Adds a handler for the calls with the method aMethod whose whole path
  // matches the regular expression aPattern.
  virtual void AddRoute(HttpMethod aMethod,
                        const std::string& aPattern,
                        HttpHandler aHandler) = 0;
};

} // namespace lycheestep

#endif
