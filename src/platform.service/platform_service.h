#ifndef LYCHEESTEP_PLATFORM_SERVICE_H
#define LYCHEESTEP_PLATFORM_SERVICE_H

#include <string>
#include <system_error>

#include "http_connections.h"
#include "lycheestep/platform_client.h"
#include "lycheestep/service.h"
#include "worker_pool.h"

namespace lycheestep {

class EventSink;
class MetricsSink;
struct ProcessSettings;

// Calls the platform over HTTP: POST /v1/table/transact, POST /v1/table/read
// and POST /v1/hosts/query. Reads and writes run on separate thread pools, so
// that slow reads do not delay writes.
class PlatformService
  : public Service
  , public PlatformClient
{
public:
  explicit PlatformService(const ProcessSettings& aSettings);

  std::string Name() const override { return "platform"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override;

  void Transact(TransactTable aCall) override;
  void Read(ReadTable aCall) override;
  void FetchHosts() override;

private:
  void DoTransact(const TransactTable& aCall);
  void DoRead(const ReadTable& aCall);
  void DoFetchHosts();
  HttpReply PostRead(const std::string& aBody);
  void CountCall(const char* aCall, const HttpReply& aReply, TimePoint aSince);

  const NetworkAddress m_address;
  const DataCentreName m_dataCentre;
  // The tag of the last host list; empty before the first list and after a list
  // that could not be decoded. It needs no lock: only one fetch is in progress
  // at a time, and the next one begins after the HostListAnswered event of the
  // previous one.
  std::string m_hostsTag;
  HttpConnections m_connections;
  WorkerPool m_writers;
  WorkerPool m_readers;
  EventSink* m_events = nullptr;
  MetricsSink* m_metrics = nullptr;
};

} // namespace lycheestep

#endif
