#ifndef LYCHEESTEP_HTTP_CONNECTIONS_H
#define LYCHEESTEP_HTTP_CONNECTIONS_H

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_router.h"
#include "lycheestep/time_types.h"

namespace httplib {
class Client;
}

namespace lycheestep {

// How far a call got.
enum class HttpProgress
{
  kAnswered, // the whole answer is here
  kNotSent,  // no connection, or the body was held back: it had no effect
  kLost,     // sent, at least in part, and not answered
};

// One header line.
struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

// The answer to a call.
struct HttpReply
{
  HttpProgress m_progress = HttpProgress::kLost;
  // Meaningful with kAnswered only.
  int m_status = 0;
  std::string m_body;
};

// One call with its own time limit.
struct HttpRequest
{
  HttpMethod m_method = HttpMethod::kGet;
  std::string m_address;
  // With its query, if any.
  std::string m_path;
  std::vector<HttpHeader> m_headers;
  // Sent as JSON; empty for none.
  std::string m_body;
  // Limits connecting, writing and reading, each.
  Duration m_timeout = std::chrono::seconds(1);
};

// Keeps idle connections to several hosts and uses them again. Safe from any
// thread; each call takes a connection for itself.
class HttpConnections
{
public:
  // aTimeout limits connecting, writing and reading, each. Connections that
  // were idle for longer than aIdleAge are not used again.
  explicit HttpConnections(Duration aTimeout,
                           Duration aIdleAge = std::chrono::seconds(1));
  ~HttpConnections();
  HttpConnections(const HttpConnections&) = delete;
  HttpConnections& operator=(const HttpConnections&) = delete;

  // Posts JSON text to aPath at aAddress ("127.0.0.1:9001"). The clock is
  // read after the connection is made, right before the body is written;
  // past aNotAfter the body is held back.
  HttpReply Post(const std::string& aAddress,
                 const std::string& aPath,
                 const std::string& aBody,
                 TimePoint aNotAfter = TimePoint::max());

  // Makes one call under the request's own time limit.
  HttpReply Call(const HttpRequest& aRequest);

  // Closes the idle connections to aAddress.
  void Drop(const std::string& aAddress);

  // Reads aPath.
  HttpReply Get(const std::string& aAddress, const std::string& aPath);

private:
  // A connection that nobody uses.
  struct Idle
  {
    std::unique_ptr<httplib::Client> m_client;
    TimePoint m_since;
  };

  using IdleList = std::vector<Idle>;

  std::unique_ptr<httplib::Client> Take(const std::string& aAddress);
  void GiveBack(const std::string& aAddress,
                std::unique_ptr<httplib::Client> aClient);

  const Duration m_timeout;
  const Duration m_idleAge;
  std::mutex m_mutex;
  std::map<std::string, IdleList> m_idle;
};

} // namespace lycheestep

#endif
