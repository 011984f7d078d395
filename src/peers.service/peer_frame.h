#ifndef LYCHEESTEP_PEER_FRAME_H
#define LYCHEESTEP_PEER_FRAME_H

#include <memory>
#include <string>

namespace lycheestep {

namespace proto {
class PeerMessage;
}

// The highest protocol version that this host understands. Frames of a higher
// version are dropped.
constexpr unsigned kPeerProtocolVersion = 1;

// The result of reading a frame: the parsed message, or the reason why the
// frame was dropped.
struct PeerFrame
{
  // The parsed message; null if the frame was dropped.
  std::shared_ptr<const proto::PeerMessage> m_message;
  // "malformed", "version" or "sender" if the frame was dropped; empty if the
  // frame was accepted.
  const char* m_cause = "";
};

// Parses aBytes as one frame and checks its protocol version and sender.
// Unknown fields are ignored.
PeerFrame ReadPeerFrame(const std::string& aBytes);

} // namespace lycheestep

#endif
