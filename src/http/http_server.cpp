#include "http_server.h"

#include <httplib.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "connection_stream.h"
#include "worker_pool.h"

namespace lycheestep {

namespace {

constexpr int kHttpBadRequest = 400;
constexpr int kHttpLengthRequired = 411;
constexpr int kHttpTooManyHeaders = 431;
constexpr int kHttpInternalError = 500;

// The server closes a connection when the client neither sends the rest of a
// request nor accepts bytes of the answer for this long.
constexpr std::chrono::seconds kReadTimeout{ 5 };
// A thread that waits for the next request checks at this interval whether the
// server is stopping.
constexpr std::chrono::milliseconds kStopCheckPeriod{ 300 };
// The server closes a connection after this many calls.
constexpr std::size_t kCallsPerConnection = 100000;
// The most connections that the kernel queues until the server accepts them.
constexpr int kBacklog = 1024;

// A server that waits for the next request on an idle connection with a long
// poll. httplib itself checks each idle connection every 10 ms, which costs a
// small host more CPU time than its requests.
class IdleWaitServer : public httplib::Server
{
private:
  bool process_and_close_socket(socket_t aSocket) override
  {
    ConnectionStream stream(aSocket, std::chrono::milliseconds(kReadTimeout));
    std::size_t left = keep_alive_max_count_;
    bool whole = true;
    bool closed = false;
    while (whole && !closed && left > 0 && WaitForRequest(stream)) {
      --left;
      whole = process_request(stream, left == 0, closed, nullptr);
      whole = stream.Flush() && whole;
    }
    ::shutdown(aSocket, SHUT_RDWR);
    ::close(aSocket);
    return whole;
  }

  // Waits for a request. Returns false when none arrives within the idle
  // timeout or when the server stops. The wait is split into periods of
  // kStopCheckPeriod, so that an idle connection delays Stop by one period at
  // most.
  bool WaitForRequest(ConnectionStream& aStream) const
  {
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::seconds(keep_alive_timeout_sec_);
    while (svr_sock_ != INVALID_SOCKET &&
           std::chrono::steady_clock::now() < until) {
      if (aStream.WaitForBytes(kStopCheckPeriod)) {
        return true;
      }
    }
    return false;
  }
};

// Serves connections on a pool of named threads.
class ConnectionQueue : public httplib::TaskQueue
{
public:
  explicit ConnectionQueue(std::size_t aThreads)
    : m_pool("http", aThreads)
  {
  }
  void enqueue(std::function<void()> aServe) override
  {
    m_pool.Run(std::move(aServe));
  }
  void shutdown() override { m_pool.Finish(); }

private:
  WorkerPool m_pool;
};

// Returns the token of the Authorization header. Empty if the header is absent
// or has another scheme.
std::string BearerTokenOf(const httplib::Request& aRequest)
{
  const std::string prefix = "Bearer ";
  const std::string value = aRequest.get_header_value("Authorization");
  return value.compare(0, prefix.size(), prefix) == 0
           ? value.substr(prefix.size())
           : std::string();
}

HttpCall MakeCall(const httplib::Request& aRequest)
{
  HttpCall call;
  for (std::size_t i = 1; i < aRequest.matches.size(); ++i) {
    call.m_names.push_back(aRequest.matches[i].str());
  }
  call.m_body = aRequest.body;
  call.m_hostHeader = aRequest.get_header_value("Host");
  call.m_bearerToken = BearerTokenOf(aRequest);
  return call;
}

void WriteAnswer(const HttpAnswer& aAnswer, httplib::Response& aResponse)
{
  aResponse.status = aAnswer.m_status;
  aResponse.set_content(aAnswer.m_body, aAnswer.m_contentType);
  if (aAnswer.m_retryAfter.count() > 0) {
    aResponse.set_header("Retry-After",
                         std::to_string(aAnswer.m_retryAfter.count()));
  }
}

// Returns the HTTP status with which the server rejects a call before it reads
// the body, or zero when the call is accepted. A body must have exactly one
// Content-Length, so that the limit on the body size applies to it.
int RejectionStatus(const httplib::Request& aRequest, std::size_t aHeaderLimit)
{
  if (aRequest.headers.size() > aHeaderLimit) {
    return kHttpTooManyHeaders;
  }
  const bool hasBody = aRequest.method == "POST" || aRequest.method == "PUT";
  const std::size_t lengths = aRequest.get_header_value_count("Content-Length");
  if (aRequest.has_header("Transfer-Encoding") ||
      aRequest.has_header("Content-Encoding") || (hasBody && lengths == 0)) {
    return kHttpLengthRequired;
  }
  return lengths > 1 ? kHttpBadRequest : 0;
}

} // namespace

// Holds the httplib server, so that http_server.h doesn't include httplib.
class HttpServer::Implementation
{
public:
  Implementation(const HttpLimits& aLimits, ErrorBody aErrorBody)
    : m_limits(aLimits)
    , m_errorBody(std::move(aErrorBody))
  {
    m_server.new_task_queue = [this] {
      return new ConnectionQueue(m_limits.m_threads);
    };
    m_server.set_payload_max_length(aLimits.m_bodyLimit);
    m_server.set_keep_alive_max_count(kCallsPerConnection);
    m_server.set_keep_alive_timeout(aLimits.m_idleTimeout.count());
    m_server.set_read_timeout(kReadTimeout.count());
    m_server.set_write_timeout(kReadTimeout.count());
    m_server.set_tcp_nodelay(true);
    m_server.set_socket_options([this](socket_t aSocket) {
      const int on = 1;
      setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      m_socket = aSocket;
    });
    SetErrorHandlers();
  }

  // Binds and listens, and stores the port in aBound. Returns false when
  // either fails.
  bool Bind(const std::string& aHost, int aPort, int& aBound)
  {
    aBound = aPort;
    const bool bound = aPort == 0
                         ? (aBound = m_server.bind_to_any_port(aHost)) > 0
                         : m_server.bind_to_port(aHost, aPort);
    return bound && listen(m_socket, kBacklog) == 0;
  }

  IdleWaitServer m_server;

private:
  // Makes the server answer rejected calls, errors of httplib and exceptions of
  // handlers with a body from m_errorBody.
  void SetErrorHandlers()
  {
    m_server.set_pre_routing_handler(
      [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
        const int status = RejectionStatus(aRequest, m_limits.m_headerLimit);
        if (status == 0) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        aResponse.status = status;
        aResponse.set_content(m_errorBody(status), "application/json");
        return httplib::Server::HandlerResponse::Handled;
      });
    m_server.set_error_handler([this](const httplib::Request& /*aRequest*/,
                                      httplib::Response& aResponse) {
      if (aResponse.body.empty()) {
        aResponse.set_content(m_errorBody(aResponse.status),
                              "application/json");
      }
    });
    m_server.set_exception_handler(
      [this](const httplib::Request& /*aRequest*/,
             httplib::Response& aResponse,
             const std::exception_ptr& /*aError*/) {
        aResponse.status = kHttpInternalError;
        aResponse.set_content(m_errorBody(kHttpInternalError),
                              "application/json");
      });
  }

  const HttpLimits m_limits;
  const ErrorBody m_errorBody;
  socket_t m_socket = INVALID_SOCKET;
};

HttpServer::HttpServer(const HttpLimits& aLimits, ErrorBody aErrorBody)
  : m_implementation(
      std::make_unique<Implementation>(aLimits, std::move(aErrorBody)))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

void HttpServer::AddRoute(HttpMethod aMethod,
                          const std::string& aPattern,
                          HttpHandler aHandler)
{
  const auto serve = [handler =
                        std::move(aHandler)](const httplib::Request& aRequest,
                                             httplib::Response& aResponse) {
    WriteAnswer(handler(MakeCall(aRequest)), aResponse);
  };
  httplib::Server& server = m_implementation->m_server;
  switch (aMethod) {
    case HttpMethod::kGet:
      server.Get(aPattern, serve);
      break;
    case HttpMethod::kPost:
      server.Post(aPattern, serve);
      break;
    case HttpMethod::kPut:
      server.Put(aPattern, serve);
      break;
    case HttpMethod::kDelete:
      server.Delete(aPattern, serve);
      break;
  }
}

std::error_code HttpServer::Listen(const std::string& aHost, int aPort)
{
  if (!m_implementation->Bind(aHost, aPort, m_port)) {
    return std::make_error_code(std::errc::address_in_use);
  }
  m_thread =
    std::thread([this] { m_implementation->m_server.listen_after_bind(); });
  pthread_setname_np(m_thread.native_handle(), "http-accept");
  while (!m_implementation->m_server.is_running()) {
    std::this_thread::yield();
  }
  return {};
}

void HttpServer::Stop()
{
  if (m_thread.joinable()) {
    m_implementation->m_server.stop();
    m_thread.join();
  }
}

} // namespace lycheestep
