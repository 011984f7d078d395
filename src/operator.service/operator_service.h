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

// Serves operators over HTTP: /v1/catalogue, /v1/catalogue/history, /v1/work,
// /v1/status and /v1/explain. Every call must carry the operator token of the
// settings. If the token in the settings is empty, every call is rejected.
class OperatorService : public Service
{
public:
  explicit OperatorService(const ProcessSettings& aSettings);

  std::string Name() const override { return "operator"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override {}

private:
  using Handler = HttpAnswer (OperatorService::*)(const HttpCall&);

  // Adds a route that calls aDo if the call carries the operator token, and
  // rejects the call otherwise.
  void AddRoute(HttpMethod aMethod, const std::string& aPattern, Handler aDo);
  bool IsAuthorized(const HttpCall& aCall) const;

  HttpAnswer Show(const HttpCall& aCall);
  HttpAnswer Apply(const HttpCall& aCall);
  HttpAnswer History(const HttpCall& aCall);
  HttpAnswer ChangeWork(const HttpCall& aCall);
  HttpAnswer Status(const HttpCall& aCall);
  HttpAnswer Explain(const HttpCall& aCall);
  // Sends aCommand to the control thread and returns the reply. If no reply
  // comes in time, the answer says that the effect is unknown.
  HttpAnswer Ask(OperatorCommand aCommand);

  // Opens a ticket, posts the event that aMakeEvent returns for the ticket and
  // waits for the reply. Returns nothing if too many tickets are open or no
  // reply comes in time.
  template<class MakeEvent>
  std::optional<TicketReply> Await(MakeEvent aMakeEvent);

  const ProcessSettings& m_settings;
  GatewayService* m_gateway = nullptr;
  ControlThread* m_control = nullptr;
};

} // namespace lycheestep

#endif
