#ifndef LYCHEESTEP_PEER_TRANSPORT_H
#define LYCHEESTEP_PEER_TRANSPORT_H

#include "lycheestep/action.h"

namespace lycheestep {

// Carries messages to other entry hosts. Messages may be lost; those that
// arrive come back as PeerMessageReceived at the other side.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;

  // Queues a message and returns at once.
  virtual void Send(SendPeerMessage aMessage) = 0;
};

} // namespace lycheestep

#endif
