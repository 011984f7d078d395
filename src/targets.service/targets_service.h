#ifndef LYCHEESTEP_TARGETS_SERVICE_H
#define LYCHEESTEP_TARGETS_SERVICE_H

#include <string>
#include <system_error>

#include "ended_poller.h"
#include "http_connections.h"
#include "lycheestep/service.h"
#include "lycheestep/target_client.h"
#include "worker_pool.h"

namespace lycheestep {

class EventSink;
class MetricsSink;
struct ProcessSettings;

// Calls the targets over HTTP: POST /v1/tasks, /v1/leases,
// /v1/tasks/{attempt}/control, /v1/tasks/{attempt}/query and /v1/ended.
// Starts run on a separate thread pool, so that starts at a slow target do not
// delay lease renewals.
class TargetsService
  : public Service
  , public TargetClient
{
public:
  explicit TargetsService(const ProcessSettings& aSettings);

  std::string Name() const override { return "targets"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override;

  void StartOn(StartTask aCall) override;
  void Renew(RenewLeases aCall) override;
  void Control(ControlTask aCall) override;
  void Query(QueryAttempt aCall) override;

private:
  void DoStart(const StartTask& aCall);
  void DoRenew(const RenewLeases& aCall);
  void DoControl(const ControlTask& aCall);
  void DoQuery(const QueryAttempt& aCall);
  void CountCall(const char* aCall, const HttpReply& aReply, TimePoint aSince);

  const EntryId m_entry;
  HttpConnections m_connections;
  EndedPoller m_poller;
  WorkerPool m_startPool;
  // Runs lease renewals, control calls and queries.
  WorkerPool m_controlPool;
  EventSink* m_events = nullptr;
  MetricsSink* m_metrics = nullptr;
};

} // namespace lycheestep

#endif
