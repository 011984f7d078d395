#include "action_dispatcher.h"

#include <utility>
#include <variant>

#include "lycheestep/caller_gateway.h"
#include "lycheestep/decision_log.h"
#include "lycheestep/kernel.h"
#include "lycheestep/metrics_sink.h"
#include "lycheestep/peer_transport.h"
#include "lycheestep/platform_client.h"
#include "lycheestep/target_client.h"

namespace lycheestep {

ActionDispatcher::ActionDispatcher(const Kernel& aKernel)
  : m_platform(aKernel.Find<PlatformClient>("platform"))
  , m_targets(aKernel.Find<TargetClient>("targets"))
  , m_gateway(aKernel.Find<CallerGateway>("gateway"))
  , m_peers(aKernel.Find<PeerTransport>("peers"))
  , m_log(aKernel.Find<DecisionLog>("log"))
  , m_metrics(aKernel.Find<MetricsSink>("metrics"))
{
}

bool ActionDispatcher::Dispatch(Action& aAction)
{
  std::visit([this](auto& aTyped) { Pass(aTyped); }, aAction);
  return std::holds_alternative<StopCompleted>(aAction);
}

void ActionDispatcher::Pass(AnswerCaller& aAction)
{
  if (m_gateway) {
    m_gateway->Deliver(std::move(aAction));
  }
}

void ActionDispatcher::Pass(AnswerExplain& aAction)
{
  if (m_gateway) {
    m_gateway->Deliver(std::move(aAction));
  }
}

void ActionDispatcher::Pass(AnswerOperator& aAction)
{
  if (m_gateway) {
    m_gateway->Deliver(std::move(aAction));
  }
}

void ActionDispatcher::Pass(TransactTable& aAction)
{
  if (m_platform) {
    m_platform->Transact(std::move(aAction));
  }
}

void ActionDispatcher::Pass(ReadTable& aAction)
{
  if (m_platform) {
    m_platform->Read(std::move(aAction));
  }
}

void ActionDispatcher::Pass(FetchHostList& /*aAction*/)
{
  if (m_platform) {
    m_platform->FetchHosts();
  }
}

void ActionDispatcher::Pass(StartTask& aAction)
{
  if (m_targets) {
    m_targets->StartOn(std::move(aAction));
  }
}

void ActionDispatcher::Pass(RenewLeases& aAction)
{
  if (m_targets) {
    m_targets->Renew(std::move(aAction));
  }
}

void ActionDispatcher::Pass(ControlTask& aAction)
{
  if (m_targets) {
    m_targets->Control(std::move(aAction));
  }
}

void ActionDispatcher::Pass(QueryAttempt& aAction)
{
  if (m_targets) {
    m_targets->Query(std::move(aAction));
  }
}

void ActionDispatcher::Pass(SendPeerMessage& aAction)
{
  if (m_peers) {
    m_peers->Send(std::move(aAction));
  }
}

void ActionDispatcher::Pass(LogDecision& aAction)
{
  if (m_log) {
    m_log->Write(aAction);
  }
  if (m_metrics) {
    m_metrics->CountDecision(aAction);
  }
}

void ActionDispatcher::Pass(LogNote& aAction)
{
  if (m_log) {
    m_log->Write(aAction);
  }
}

void ActionDispatcher::Pass(StopCompleted& /*aAction*/) {}

} // namespace lycheestep
