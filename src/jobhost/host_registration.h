#ifndef LYCHEESTEP_HOST_REGISTRATION_H
#define LYCHEESTEP_HOST_REGISTRATION_H

#include <cstdint>
#include <string>

#include "lycheestep/row_store.h"

namespace lycheestep {

// Keeps the row that tells the leader of this host. The leader removes the rows
// of hosts that were silent for long, and a late write of an earlier process of
// the host may remove the row as well. A host without heartbeats therefore
// writes its row again from time to time. Used on the control thread only.
class HostRegistration
{
public:
  // aValue is the value of the host's row.
  HostRegistration(const std::string& aHost,
                   std::string aValue,
                   RowStore& aStore);

  // Writes the row if it is due. aLeads is true while this host leads, which
  // sends itself no heartbeats.
  void Tick(bool aLeads, TimePoint aNow);

  // Handles a heartbeat of the leader, which knows this host.
  void OnHeartbeat(TimePoint aNow) { m_lastSign = aNow; }

  // Removes the row, unless another process of the host has written it since.
  void Remove();

private:
  const RowKey m_key;
  const std::string m_value;
  RowStore& m_store;
  // The version of the row as this process wrote it; zero if it has not.
  std::uint64_t m_version = 0;
  // When the row was written or a heartbeat came last.
  TimePoint m_lastSign;
  // A write that failed is not repeated before this time.
  TimePoint m_retryAt;
};

} // namespace lycheestep

#endif
