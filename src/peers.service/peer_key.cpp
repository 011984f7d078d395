#include "peer_key.h"

#include <openssl/sha.h>
#include <zmq.h>

#include <array>
#include <cstddef>

namespace lycheestep {

namespace {

// The size of a 32-byte key as Z85 text, with the terminating zero.
constexpr std::size_t kTextSize = 41;

// Prefix that is hashed with the shared key, so that other uses of the same
// shared key derive different keys (domain separation).
constexpr const char* kPurpose = "lycheestep peer key 1:";

} // namespace

PeerKeyPair DerivePeerKeys(const std::string& aSharedKey)
{
  const std::string text = kPurpose + aSharedKey;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()),
         text.size(),
         digest.data());
  std::array<char, kTextSize> secretKey{};
  std::array<char, kTextSize> publicKey{};
  zmq_z85_encode(secretKey.data(), digest.data(), digest.size());
  zmq_curve_public(publicKey.data(), secretKey.data());
  return { publicKey.data(), secretKey.data() };
}

} // namespace lycheestep
