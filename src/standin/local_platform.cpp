#include "local_platform.h"

#include <utility>

#include "lycheestep/event_sink.h"
#include "lycheestep/kernel.h"

namespace lycheestep {

LocalPlatform::LocalPlatform(std::vector<TargetListing> aHosts)
  : m_hosts(std::move(aHosts))
  , m_pool("platform", 1)
{
}

std::error_code LocalPlatform::Start(Kernel& aKernel)
{
  m_events = aKernel.Find<EventSink>("control");
  return {};
}

void LocalPlatform::Transact(TransactTable aCall)
{
  m_pool.Run([this, call = std::move(aCall)] {
    m_events->Post(TableAnswered{
      call.m_ticket, m_table.Transact(call.m_transaction, Clock::now()) });
  });
}

void LocalPlatform::Read(ReadTable aCall)
{
  m_pool.Run([this, call = std::move(aCall)] {
    m_events->Post(TableAnswered{ call.m_ticket, m_table.Read(call.m_query) });
  });
}

void LocalPlatform::FetchHosts()
{
  m_pool.Run([this] {
    m_events->Post(HostListAnswered{ true, false, m_hosts });
  });
}

} // namespace lycheestep
