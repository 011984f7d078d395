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

// Tells how far a call got.
enum class HttpProgress
{
  kAnswered, // the whole answer was received
  kNotSent,  // no connection, or the body was withheld: the call had no effect
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
  // The HTTP status. Valid only if m_progress is kAnswered.
  int m_status = 0;
  std::string m_body;
};

// One call with its own timeout.
struct HttpRequest
{
  HttpMethod m_method = HttpMethod::kGet;
  std::string m_address;
  // The path, with the query string if there is one.
  std::string m_path;
  std::vector<HttpHeader> m_headers;
  // The JSON body. Empty when the request has no body.
  std::string m_body;
  // Limits each of connecting, writing and reading.
  Duration m_timeout = std::chrono::seconds(1);
};

// A pool of keep-alive HTTP connections to several addresses. The class is
// thread-safe: each call has exclusive use of its connection.
class HttpConnections
{
public:
  // aTimeout limits each of connecting, writing and reading. A connection that
  // was idle for aIdleAge is not used again. aIdleAge must be shorter than the
  // idle timeout of the server: a call counts as lost if the server closes the
  // connection just as the call uses it.
  explicit HttpConnections(Duration aTimeout,
                           Duration aIdleAge = std::chrono::seconds(1));
  ~HttpConnections();
  HttpConnections(const HttpConnections&) = delete;
  HttpConnections& operator=(const HttpConnections&) = delete;

  // Posts the JSON text aBody to aPath at aAddress ("127.0.0.1:9001"). Post
  // reads the clock after it has connected, right before it writes the body.
  // If aNotAfter has passed by then, Post withholds the body and returns
  // kNotSent.
  HttpReply Post(const std::string& aAddress,
                 const std::string& aPath,
                 const std::string& aBody,
                 TimePoint aNotAfter = TimePoint::max());

  // Makes one call with the timeout of aRequest. Closes the idle connections to
  // the address when the call is not answered.
  HttpReply Call(const HttpRequest& aRequest);

  // Closes the idle connections to aAddress.
  void Drop(const std::string& aAddress);

  // Sends a GET request for aPath to aAddress.
  HttpReply Get(const std::string& aAddress, const std::string& aPath);

private:
  // A connection that no call uses.
  struct Idle
  {
    std::unique_ptr<httplib::Client> m_client;
    // When the last call on the connection ended.
    TimePoint m_since;
  };

  using IdleList = std::vector<Idle>;

  // Removes an idle connection to aAddress from the pool, or makes a client
  // that connects with its first call.
  std::unique_ptr<httplib::Client> Take(const std::string& aAddress);
  // Returns a connection to the pool. Closes it when the pool already holds the
  // most idle connections for aAddress.
  void GiveBack(const std::string& aAddress,
                std::unique_ptr<httplib::Client> aClient);

  const Duration m_timeout;
  const Duration m_idleAge;
  std::mutex m_mutex;
  std::map<std::string, IdleList> m_idle;
};

} // namespace lycheestep

#endif
