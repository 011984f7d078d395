#ifndef LYCHEESTEP_LOCAL_PLATFORM_H
#define LYCHEESTEP_LOCAL_PLATFORM_H

#include <string>
#include <system_error>
#include <vector>

#include "lycheestep/platform_client.h"
#include "lycheestep/service.h"
#include "lycheestep/target_protocol.h"
#include "table_model.h"
#include "worker_pool.h"

namespace lycheestep {

class EventSink;

// The platform in the memory of the process, for trying the system on one
// machine. One thread answers all calls.
class LocalPlatform
  : public Service
  , public PlatformClient
{
public:
  explicit LocalPlatform(std::vector<TargetListing> aHosts);

  std::string Name() const override { return "platform"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override { m_pool.Stop(); }

  void Transact(TransactTable aCall) override;
  void Read(ReadTable aCall) override;
  void FetchHosts() override;

private:
  const std::vector<TargetListing> m_hosts;
  // Used by the thread of the pool only.
  TableModel m_table;
  EventSink* m_events = nullptr;
  WorkerPool m_pool;
};

} // namespace lycheestep

#endif
