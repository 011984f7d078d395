#ifndef LYCHEESTEP_HTTP_SERVER_H
#define LYCHEESTEP_HTTP_SERVER_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <thread>

#include "http_router.h"

namespace lycheestep {

// The limits of an HttpServer.
struct HttpLimits
{
  // The most connections served at the same time. Each takes one thread.
  std::size_t m_threads = 64;
  // The largest request body, in bytes.
  std::size_t m_bodyLimit = 1048576;
  // The server closes a connection that was idle for this long.
  std::chrono::seconds m_idleTimeout{ 3 };
  // The most header lines of one call.
  std::size_t m_headerLimit = 64;
};

// An HTTP server with limits. A call that exceeds a limit, is malformed or is
// truncated doesn't reach a handler and gets an error.
class HttpServer : public HttpRouter
{
public:
  // Returns the body of an error answer with the given HTTP status.
  using ErrorBody = std::function<std::string(int)>;

  HttpServer(const HttpLimits& aLimits, ErrorBody aErrorBody);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void AddRoute(HttpMethod aMethod,
                const std::string& aPattern,
                HttpHandler aHandler) override;

  // Binds to the address and starts to serve on a thread of its own. Port 0
  // binds to a free port. Returns address_in_use when binding fails.
  std::error_code Listen(const std::string& aHost, int aPort);

  // The port that Listen bound. Zero before Listen.
  int Port() const { return m_port; }

  // Stops accepting connections and waits until the running handlers return.
  void Stop();

private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
  int m_port = 0;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
