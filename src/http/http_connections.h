#ifndef LYCHEESTEP_HTTP_CONNECTIONS_H
#define LYCHEESTEP_HTTP_CONNECTIONS_H

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_messages.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class HttpConnection;

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

  // Posts the JSON text aBody to aPath at aAddress. Post
  // reads the clock after it has connected, right before it writes the body.
  // If aNotAfter has passed by then, Post withholds the body and returns
  // kNotSent.
  HttpReply Post(const NetworkAddress& aAddress,
                 const std::string& aPath,
                 const std::string& aBody,
                 TimePoint aNotAfter = TimePoint::max());

  // Makes one call with the timeout of aRequest. Closes the idle connections to
  // the address when the call is not answered.
  HttpReply Call(const HttpRequest& aRequest);

  // Sends a GET request for aPath to aAddress.
  HttpReply Get(const NetworkAddress& aAddress, const std::string& aPath);

  // Removes an idle connection to aAddress from the pool, or makes one that
  // connects with its first call. The caller has exclusive use of it.
  std::unique_ptr<HttpConnection> Take(const NetworkAddress& aAddress);

  // Returns a connection whose last call was answered to the pool. Closes it
  // when the pool already holds the most idle connections for aAddress.
  void GiveBack(const NetworkAddress& aAddress,
                std::unique_ptr<HttpConnection> aConnection);

  // Closes the idle connections to aAddress.
  void Drop(const NetworkAddress& aAddress);

private:
  // A connection that no call uses.
  struct Idle
  {
    std::unique_ptr<HttpConnection> m_connection;
    // When the last call on the connection ended.
    TimePoint m_since;
  };

  using IdleList = std::vector<Idle>;

  // Makes a call and returns its connection to the pool if it was answered.
  HttpReply CallAndGiveBack(const NetworkAddress& aAddress,
                            const HttpRequest& aRequest);

  const Duration m_timeout;
  const Duration m_idleAge;
  std::mutex m_mutex;
  std::map<NetworkAddress, IdleList> m_idle;
};

} // namespace lycheestep

#endif
