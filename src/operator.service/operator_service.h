#ifndef LYCHEESTEP_OPERATOR_SERVICE_H
#define LYCHEESTEP_OPERATOR_SERVICE_H

#include <optional>
#include <string>
#include <system_error>

#include "http_router.h"
#include "lycheestep/event.h"
#include "lycheestep/service.h"
#include "pending_replies.h"

namespace lycheestep {

class ControlThread;
class GatewayService;
struct ProcessSettings;

// Operators over HTTP: /v1/catalogue, /v1/catalogue/history, /v1/work,
// /v1/status and /v1/explain, for those who have the token of the settings.
// An empty token in the settings lets nobody in.
class OperatorService : public Service
{
public:
  explicit OperatorService(const ProcessSettings& aSettings);

  std::string Name() const override { return "operator"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override {}

private:
  using Handler = HttpAnswer (OperatorService::*)(const HttpCall&);

  // Adds a route that needs the token.
  void AddRoute(HttpMethod aMethod, const std::string& aPattern, Handler aDo);
  bool IsAuthorized(const HttpCall& aCall) const;

  HttpAnswer Show(const HttpCall& aCall);
  HttpAnswer Apply(const HttpCall& aCall);
  HttpAnswer History(const HttpCall& aCall);
  HttpAnswer ChangeWork(const HttpCall& aCall);
  HttpAnswer Status(const HttpCall& aCall);
  HttpAnswer Explain(const HttpCall& aCall);
  HttpAnswer Ask(OperatorCommand aCommand);

  // Posts an event made with a new ticket and waits for the answer.
  template<class MakeEvent>
  std::optional<TicketReply> Await(MakeEvent aMakeEvent);

  const ProcessSettings& m_settings;
  GatewayService* m_gateway = nullptr;
  ControlThread* m_control = nullptr;
};

} // namespace lycheestep

#endif
