#ifndef LYCHEESTEP_PEER_HOST_H
#define LYCHEESTEP_PEER_HOST_H

#include <chrono>
#include <optional>
#include <string>

#include "lycheestep/id.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Another host of the system, as described by its row in the store.
struct PeerHost
{
  // Where the host listens for peers.
  std::string m_address;
  DataCentreName m_dataCentre;
  double m_processorShare = 0;
  // When the host last replied to a heartbeat or its row was first read,
  // whichever was later.
  TimePoint m_lastSeen;
  // True if the host replied to a heartbeat since it was last started.
  bool m_answeredHeartbeat = false;
  // Since when the host has said that it reaches the store without a relay;
  // nothing if it last said that it does not.
  std::optional<TimePoint> m_reachesStoreSince;

  // Returns true if the host replied to a heartbeat lately. A host that is not
  // live relays no calls to the store, gets no calls for the advisor and is not
  // named as a successor.
  bool IsLive(TimePoint aNow) const
  {
    constexpr Duration kSilentTimeout = std::chrono::seconds(4);
    return m_answeredHeartbeat && aNow - m_lastSeen < kSilentTimeout;
  }
};

// Returns aRow with what heartbeats have told about aKnown, the same host as
// known before, if its row still has the same address.
inline PeerHost UpdatedPeerHost(PeerHost aRow, const PeerHost& aKnown)
{
  if (aRow.m_address == aKnown.m_address) {
    aRow.m_lastSeen = aKnown.m_lastSeen;
    aRow.m_answeredHeartbeat = aKnown.m_answeredHeartbeat;
    aRow.m_reachesStoreSince = aKnown.m_reachesStoreSince;
  }
  return aRow;
}

} // namespace lycheestep

#endif
