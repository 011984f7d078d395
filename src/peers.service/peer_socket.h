#ifndef LYCHEESTEP_PEER_SOCKET_H
#define LYCHEESTEP_PEER_SOCKET_H

#include <cstddef>
#include <optional>
#include <string>

#include "peer_key.h"

namespace lycheestep {

// A received frame and the ZeroMQ identity of the connection it arrived on.
struct ReceivedFrame
{
  std::string m_connection;
  std::string m_bytes;
};

// A ZeroMQ socket that encrypts and authenticates with CURVE. A PeerSocket may
// be used by one thread only.
class PeerSocket
{
public:
  // Accepts connections at aEndpoint. A frame larger than aFrameLimit bytes
  // closes its connection. IsOpen() returns false if the endpoint can't be
  // bound.
  static PeerSocket Listen(void* aContext,
                           const std::string& aEndpoint,
                           const PeerKeyPair& aKeys,
                           std::size_t aFrameLimit);

  // Says what Send() does with frames while the other host is not connected.
  enum class OfflinePolicy
  {
    kDrop,
    kQueueSome, // queues a few, so that the first frames are not lost
  };

  // Connects to aEndpoint in the background and reconnects with backoff
  // whenever the connection fails.
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

  // Sends aBytes as one frame without blocking. Returns false if the frame was
  // dropped.
  bool Send(const std::string& aBytes);

  // Returns the next received frame without blocking, or nullopt if there is
  // none. Works on sockets made by Listen() only, as it expects the identity
  // of the connection before each frame.
  std::optional<ReceivedFrame> Receive();

  // Returns the endpoint that the socket was last bound or connected to.
  std::string Endpoint() const;

  // Returns the ZeroMQ socket, for zmq_poll().
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
