#ifndef LYCHEESTEP_PEER_KEY_H
#define LYCHEESTEP_PEER_KEY_H

#include <string>

namespace lycheestep {

// A CURVE key pair as ZeroMQ takes it, in Z85 text.
struct PeerKeyPair
{
  std::string m_public;
  std::string m_secret;
};

// The key pair that all entry hosts with the same shared key have. A host
// proves that it knows the shared key by knowing both halves: the public half
// is never sent in the clear, and no handshake succeeds without it.
PeerKeyPair DerivePeerKeys(const std::string& aSharedKey);

} // namespace lycheestep

#endif
