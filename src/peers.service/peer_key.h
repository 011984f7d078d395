#ifndef LYCHEESTEP_PEER_KEY_H
#define LYCHEESTEP_PEER_KEY_H

#include <string>

namespace lycheestep {

// A CURVE key pair as Z85 text, the format that ZeroMQ expects.
struct PeerKeyPair
{
  std::string m_public;
  std::string m_secret;
};

// Derives the key pair that all entry hosts with the shared key aSharedKey use.
// A host proves that it knows the shared key by knowing both the public and
// the secret key: the public key is never sent in the clear, and no handshake
// succeeds without it.
PeerKeyPair DerivePeerKeys(const std::string& aSharedKey);

} // namespace lycheestep

#endif
