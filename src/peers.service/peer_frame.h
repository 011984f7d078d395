#ifndef LYCHEESTEP_PEER_FRAME_H
#define LYCHEESTEP_PEER_FRAME_H

#include <memory>
#include <string>

namespace lycheestep {

namespace proto {
class PeerMessage;
}

// Protocol versions up to this one are understood.
constexpr unsigned kPeerProtocolVersion = 1;

// A frame as it was read, or why it was dropped.
struct PeerFrame
{
  // Null when the frame was dropped.
  std::shared_ptr<const proto::PeerMessage> m_message;
  // "malformed", "version" or "sender"; empty when it was taken.
  const char* m_cause = "";
};

// Reads the bytes of one frame. Unknown fields are passed over.
PeerFrame ReadPeerFrame(const std::string& aBytes);

} // namespace lycheestep

#endif
