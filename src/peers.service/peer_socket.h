#ifndef LYCHEESTEP_PEER_SOCKET_H
#define LYCHEESTEP_PEER_SOCKET_H

#include <cstddef>
#include <optional>
#include <string>

#include "peer_key.h"

namespace lycheestep {

// One frame and the connection on which it came.
struct ReceivedFrame
{
  std::string m_connection;
  std::string m_bytes;
};

// One ZeroMQ socket with CURVE. Used by one thread only.
class PeerSocket
{
public:
  // Takes connections at aEndpoint; frames above aFrameLimit bytes close
  // their connection. IsOpen is false when the endpoint can't be bound.
  static PeerSocket Listen(void* aContext,
                           const std::string& aEndpoint,
                           const PeerKeyPair& aKeys,
                           std::size_t aFrameLimit);

  // What becomes of frames while the other host is not connected.
  enum class OfflinePolicy
  {
    kDrop,
    kQueueSome, // a few are kept, so that the first ones are not lost
  };

  // Connects in the background, again and again.
  static PeerSocket Connect(
    void* aContext,
    const std::string& aEndpoint,
    const PeerKeyPair& aKeys,
    OfflinePolicy aOfflinePolicy = OfflinePolicy::kDrop);

  ~PeerSocket();
  PeerSocket(PeerSocket&& aOther) noexcept;
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;
  PeerSocket& operator=(PeerSocket&&) = delete;

  bool IsOpen() const { return m_socket != nullptr; }

  // Sends without waiting; false when the frame was dropped.
  bool Send(const std::string& aBytes);

  // The next frame that has come, if any.
  std::optional<ReceivedFrame> Receive();

  // The endpoint that was bound.
  std::string Endpoint() const;

  // For polling.
  void* Handle() const { return m_socket; }

private:
  explicit PeerSocket(void* aSocket);
  void SetKeys(const PeerKeyPair& aKeys, bool aServer);
  void SetNumber(int aOption, int aValue);
  std::optional<std::string> ReceivePart();

  void* m_socket;
};

} // namespace lycheestep

#endif
