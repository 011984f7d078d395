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

// Callers over HTTP: POST /v1/requests, GET and DELETE /v1/requests/{id},
// /healthz, /readyz and /metrics. Other services add routes to its server,
// which listens once all services are started.
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

  // The port that the server listens on.
  int Port() const { return m_server.Port(); }

  // Where the waiting calls stand.
  PendingReplies& Replies() { return m_replies; }

private:
  void AddCallerRoutes();
  void AddProcessRoutes(MetricsSink* aMetrics);
  HttpAnswer Submit(const HttpCall& aCall);
  HttpAnswer QueryOrCancel(const HttpCall& aCall, bool aCancel);
  std::optional<Answer> PollForResult(const RequestId& aRequest,
                                      TimePoint aUntil);
  std::optional<TicketReply> Ask(CallerTicket aTicket,
                                 Event aEvent,
                                 TimePoint aUntil);
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
