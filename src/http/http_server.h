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

// What a server takes.
struct HttpLimits
{
  // Connections served at once, each by a thread of its own.
  std::size_t m_threads = 64;
  // Largest body in bytes.
  std::size_t m_bodyLimit = 1048576;
  // Idle connections are closed after this.
  std::chrono::seconds m_idleTimeout{ 3 };
  // Most header lines of one call.
  std::size_t m_headerLimit = 64;
};

// A bounded HTTP server. Calls outside its limits, malformed or truncated,
// get an error without reaching a handler.
class HttpServer : public HttpRouter
{
public:
  // Makes the body of an error answer from its status.
  using ErrorBody = std::function<std::string(int)>;

  HttpServer(const HttpLimits& aLimits, ErrorBody aErrorBody);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void AddRoute(HttpMethod aMethod,
                const std::string& aPattern,
                HttpHandler aHandler) override;

  // Binds and serves. Port 0 takes a free one.
  std::error_code Listen(const std::string& aHost, int aPort);

  // The port that was bound.
  int Port() const { return m_port; }

  // Takes no new connections and waits for the running handlers.
  void Stop();

private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
  int m_port = 0;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
