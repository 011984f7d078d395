#ifndef LYCHEESTEP_ACTION_DISPATCHER_H
#define LYCHEESTEP_ACTION_DISPATCHER_H

#include "lycheestep/action.h"

namespace lycheestep {

class CallerGateway;
class DecisionLog;
class Kernel;
class MetricsSink;
class PeerTransport;
class PlatformClient;
class TargetClient;

// Passes each action to the service that takes it. An action without its
// service is dropped.
class ActionDispatcher
{
public:
  // Looks the services up by name.
  explicit ActionDispatcher(const Kernel& aKernel);

  // Passes one action on. Returns true for StopCompleted, which no service
  // takes.
  bool Dispatch(Action& aAction);

private:
  // One overload for every alternative of Action, for std::visit.
  void Pass(AnswerCaller& aAction);
  void Pass(AnswerExplain& aAction);
  void Pass(AnswerOperator& aAction);
  void Pass(TransactTable& aAction);
  void Pass(ReadTable& aAction);
  void Pass(FetchHostList& aAction);
  void Pass(StartTask& aAction);
  void Pass(RenewLeases& aAction);
  void Pass(ControlTask& aAction);
  void Pass(QueryAttempt& aAction);
  void Pass(SendPeerMessage& aAction);
  void Pass(LogDecision& aAction);
  void Pass(LogNote& aAction);
  void Pass(StopCompleted& aAction);

  PlatformClient* m_platform;
  TargetClient* m_targets;
  CallerGateway* m_gateway;
  PeerTransport* m_peers;
  DecisionLog* m_log;
  MetricsSink* m_metrics;
};

} // namespace lycheestep

#endif
