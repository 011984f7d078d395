#include "peer_socket.h"

#include <zmq.h>

#include <array>
#include <cstdint>
#include <utility>

namespace lycheestep {

namespace {

// The most frames queued on one connection, in each direction.
constexpr int kQueueLimit = 1000;
// The most frames queued for sending under OfflinePolicy::kQueueSome.
constexpr int kOfflineQueueLimit = 100;
// ZeroMQ takes the following times in milliseconds.
constexpr int kReconnectInitialMs = 100;
constexpr int kReconnectMaxMs = 2000;
constexpr int kHeartbeat = 2000;
constexpr int kHandshakeLimit = 5000;

// The buffer size for the text of an endpoint, in bytes.
constexpr std::size_t kEndpointSize = 256;

} // namespace

PeerSocket::PeerSocket(void* aSocket)
  : m_socket(aSocket)
{
  SetNumber(ZMQ_LINGER, 0);
  SetNumber(ZMQ_SNDHWM, kQueueLimit);
  SetNumber(ZMQ_RCVHWM, kQueueLimit);
  SetNumber(ZMQ_HANDSHAKE_IVL, kHandshakeLimit);
}

PeerSocket PeerSocket::Listen(void* aContext,
                              const std::string& aEndpoint,
                              const PeerKeyPair& aKeys,
                              std::size_t aFrameLimit)
{
  PeerSocket socket(zmq_socket(aContext, ZMQ_ROUTER));
  socket.SetKeys(aKeys, true);
  const auto limit = static_cast<std::int64_t>(aFrameLimit);
  zmq_setsockopt(socket.m_socket, ZMQ_MAXMSGSIZE, &limit, sizeof(limit));
  if (zmq_bind(socket.m_socket, aEndpoint.c_str()) != 0) {
    zmq_close(socket.m_socket);
    socket.m_socket = nullptr;
  }
  return socket;
}

PeerSocket PeerSocket::Connect(void* aContext,
                               const std::string& aEndpoint,
                               const PeerKeyPair& aKeys,
                               OfflinePolicy aOfflinePolicy)
{
  PeerSocket socket(zmq_socket(aContext, ZMQ_DEALER));
  socket.SetKeys(aKeys, false);
  if (aOfflinePolicy == OfflinePolicy::kDrop) {
    socket.SetNumber(ZMQ_IMMEDIATE, 1);
  } else {
    socket.SetNumber(ZMQ_SNDHWM, kOfflineQueueLimit);
  }
  socket.SetNumber(ZMQ_RECONNECT_IVL, kReconnectInitialMs);
  socket.SetNumber(ZMQ_RECONNECT_IVL_MAX, kReconnectMaxMs);
  socket.SetNumber(ZMQ_HEARTBEAT_IVL, kHeartbeat);
  zmq_connect(socket.m_socket, aEndpoint.c_str());
  return socket;
}

PeerSocket::~PeerSocket()
{
  if (m_socket) {
    zmq_close(m_socket);
  }
}

PeerSocket::PeerSocket(PeerSocket&& aOther) noexcept
  : m_socket(std::exchange(aOther.m_socket, nullptr))
{
}

void PeerSocket::SetKeys(const PeerKeyPair& aKeys, bool aServer)
{
  SetNumber(ZMQ_CURVE_SERVER, aServer ? 1 : 0);
  const std::string& secretKey = aKeys.m_secret;
  const std::string& publicKey = aKeys.m_public;
  zmq_setsockopt(
    m_socket, ZMQ_CURVE_SECRETKEY, secretKey.c_str(), secretKey.size() + 1);
  zmq_setsockopt(
    m_socket, ZMQ_CURVE_PUBLICKEY, publicKey.c_str(), publicKey.size() + 1);
  if (!aServer) {
    zmq_setsockopt(
      m_socket, ZMQ_CURVE_SERVERKEY, publicKey.c_str(), publicKey.size() + 1);
  }
}

void PeerSocket::SetNumber(int aOption, int aValue)
{
  zmq_setsockopt(m_socket, aOption, &aValue, sizeof(aValue));
}

bool PeerSocket::Send(const std::string& aBytes)
{
  return zmq_send(m_socket, aBytes.data(), aBytes.size(), ZMQ_DONTWAIT) >= 0;
}

std::optional<ReceivedFrame> PeerSocket::Receive()
{
  std::optional<std::string> connection = ReceivePart();
  if (!connection) {
    return std::nullopt;
  }
  ReceivedFrame frame;
  frame.m_connection = std::move(*connection);
  int more = 0;
  std::size_t size = sizeof(more);
  zmq_getsockopt(m_socket, ZMQ_RCVMORE, &more, &size);
  // A frame is one message part after the identity. A message with more parts
  // is malformed: all parts are read, and m_bytes is left empty so that the
  // reader drops the frame.
  for (int parts = 0; more != 0; ++parts) {
    const std::string bytes = ReceivePart().value_or(std::string());
    frame.m_bytes = parts == 0 ? bytes : std::string();
    zmq_getsockopt(m_socket, ZMQ_RCVMORE, &more, &size);
  }
  return frame;
}

std::optional<std::string> PeerSocket::ReceivePart()
{
  zmq_msg_t message;
  zmq_msg_init(&message);
  std::optional<std::string> part;
  if (zmq_msg_recv(&message, m_socket, ZMQ_DONTWAIT) >= 0) {
    part.emplace(static_cast<const char*>(zmq_msg_data(&message)),
                 zmq_msg_size(&message));
  }
  zmq_msg_close(&message);
  return part;
}

std::string PeerSocket::Endpoint() const
{
  std::array<char, kEndpointSize> endpoint{};
  std::size_t size = endpoint.size();
  zmq_getsockopt(m_socket, ZMQ_LAST_ENDPOINT, endpoint.data(), &size);
  return endpoint.data();
}

} // namespace lycheestep
