#include "peer_frame.h"

#include <google/protobuf/stubs/logging.h>

#include <cstddef>

#include "peer.pb.h"

namespace lycheestep {

namespace {

// The longest sender name that is accepted, in bytes.
constexpr std::size_t kNameLimit = 128;

} // namespace

PeerFrame ReadPeerFrame(const std::string& aBytes)
{
  // The caller counts the cause of a drop, so protobuf need not write parse
  // errors to standard error as well.
  const google::protobuf::LogSilencer silencer;
  PeerFrame frame;
  auto message = std::make_shared<proto::PeerMessage>();
  if (!message->ParseFromString(aBytes)) {
    frame.m_cause = "malformed";
    return frame;
  }
  if (message->protocol_version() > kPeerProtocolVersion) {
    frame.m_cause = "version";
    return frame;
  }
  if (message->from().empty() || message->from().size() > kNameLimit) {
    frame.m_cause = "sender";
    return frame;
  }
  frame.m_message = message;
  return frame;
}

} // namespace lycheestep
