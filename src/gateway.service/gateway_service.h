#ifndef LYCHEESTEP_GATEWAY_SERVICE_H
#define LYCHEESTEP_GATEWAY_SERVICE_H

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <system_error>

#include "http_server.h"
#include "lycheestep/caller_gateway.h"
#include "lycheestep/event.h"
#include "lycheestep/service.h"
#include "pending_replies.h"

namespace lycheestep {

class ControlThread;
class MetricsSink;
struct ProcessSettings;

// Serves callers over HTTP: POST /v1/requests, GET and DELETE
// /v1/requests/{id}, /healthz, /readyz and /metrics. Other services add routes
// to the HTTP server of the gateway through AddRoute(). The HTTP server listens
// from Start() on; the process starts the gateway as its last service, so that
// all other services are started by then.
class GatewayService
  : public Service
  , public CallerGateway
  , public HttpRouter
{
public:
  explicit GatewayService(const ProcessSettings& aSettings);

  std::string Name() const override { return "gateway"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override;

  void Deliver(AnswerCaller aAnswer) override;
  void Deliver(AnswerExplain aAnswer) override;
  void Deliver(AnswerOperator aAnswer) override;

  void AddRoute(HttpMethod aMethod,
                const std::string& aPattern,
                HttpHandler aHandler) override;

  // Returns the port on which the HTTP server listens.
  int Port() const { return m_server.Port(); }

  // Returns the table of the calls that wait for a reply. Services that add
  // routes use the table for their own calls.
  PendingReplies& Replies() { return m_replies; }

private:
  void AddCallerRoutes();
  void AddProcessRoutes(MetricsSink* aMetrics);
  // Handles POST /v1/requests.
  HttpAnswer Submit(const HttpCall& aCall);
  // Handles GET and, if aCancel is true, DELETE of /v1/requests/{id}.
  HttpAnswer QueryOrCancel(const HttpCall& aCall, bool aCancel);
  // Asks the control thread for the result of aRequest until the request has
  // ended. Returns nothing if aUntil comes first or the gateway is stopping.
  std::optional<Answer> PollForResult(const RequestId& aRequest,
                                      TimePoint aUntil);
  // Posts aEvent, which carries aTicket, to the control thread, waits for the
  // reply and closes aTicket. Returns nothing if aTicket is zero, if the
  // control thread doesn't accept the event or if aUntil comes before the
  // reply.
  std::optional<TicketReply> Ask(CallerTicket aTicket,
                                 Event aEvent,
                                 TimePoint aUntil);
  // Returns a random id of 32 hexadecimal digits.
  RequestId MakeRequestId();

  const ProcessSettings& m_settings;
  PendingReplies m_replies;
  HttpServer m_server;
  ControlThread* m_control = nullptr;
  std::atomic<bool> m_stopping{ false };
  std::mutex m_idMutex;
  std::mt19937_64 m_idGenerator;
};

} // namespace lycheestep

#endif
