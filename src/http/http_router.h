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

// One call as a handler sees it: within its limits and whole.
struct HttpCall
{
  // The parts of the path that the route's pattern captures, unescaped.
  std::vector<std::string> m_names;
  std::string m_body;
  // The Host header.
  std::string m_hostHeader;
  // The token of "Authorization: Bearer TOKEN"; empty if there is none.
  std::string m_bearerToken;
};

// The answer to a call.
struct HttpAnswer
{
  int m_status = 200;
  std::string m_body;
  std::string m_contentType = "application/json";
  // Zero: no Retry-After.
  std::chrono::seconds m_retryAfter{ 0 };
};

// Runs on a traffic thread; may wait.
using HttpHandler = std::function<HttpAnswer(const HttpCall&)>;

// Where services add routes before the server listens.
class HttpRouter
{
public:
  virtual ~HttpRouter() = default;

  // aPattern is a regular expression that the whole path has to match.
  virtual void AddRoute(HttpMethod aMethod,
                        const std::string& aPattern,
                        HttpHandler aHandler) = 0;
};

} // namespace lycheestep

#endif
