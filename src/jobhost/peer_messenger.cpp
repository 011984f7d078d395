#include "peer_messenger.h"

#include <pthread.h>
#include <zmq.h>

#include <chrono>
#include <utility>

#include "event_log.h"
#include "jobs.pb.h"
#include "lycheestep/network_address.h"
#include "peer_key.h"
#include "peer_reply.h"

namespace lycheestep {

namespace {

constexpr const char* kWakeEndpoint = "inproc://wake";

// The largest message that a host accepts from another host.
constexpr std::size_t kMaxMessageBytes = 2097152;

// The number of messages that may wait in the queue; further ones are dropped.
constexpr std::size_t kMaxQueuedMessages = 2000;

// Connections that were not used for longer than this are closed.
constexpr Duration kPeerIdleTimeout = std::chrono::seconds(30);

// The thread checks for idle connections at least this often.
constexpr long kPollTimeoutMs = 5000;

} // namespace

PeerMessenger::PeerMessenger(std::string aHost,
                             std::uint64_t aIncarnation,
                             std::string aAddress,
                             const std::string& aSharedKey,
                             EventLog& aLog,
                             OnMessage aOnMessage)
  : m_host(std::move(aHost))
  , m_incarnation(aIncarnation)
  , m_address(std::move(aAddress))
  , m_keys(DerivePeerKeys(aSharedKey))
  , m_log(aLog)
  , m_onMessage(std::move(aOnMessage))
  , m_context(zmq_ctx_new())
{
}

PeerMessenger::~PeerMessenger()
{
  if (m_thread.joinable()) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
      zmq_send(m_wakeSend, "", 0, ZMQ_DONTWAIT);
    }
    m_thread.join();
  }
  m_peers.clear();
  m_listener.reset();
  if (m_wakeSend != nullptr) {
    zmq_close(m_wakeSend);
    zmq_close(m_wakeReceive);
  }
  zmq_ctx_term(m_context);
}

bool PeerMessenger::Start()
{
  m_listener = std::make_unique<PeerSocket>(PeerSocket::Listen(
    m_context, "tcp://" + m_address, m_keys, kMaxMessageBytes));
  if (!m_listener->IsOpen()) {
    return false;
  }
  m_wakeReceive = zmq_socket(m_context, ZMQ_PAIR);
  m_wakeSend = zmq_socket(m_context, ZMQ_PAIR);
  if (zmq_bind(m_wakeReceive, kWakeEndpoint) != 0 ||
      zmq_connect(m_wakeSend, kWakeEndpoint) != 0) {
    return false;
  }
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "peers");
  return true;
}

void PeerMessenger::Send(const std::string& aAddress,
                         proto::JobPeerMessage aMessage)
{
  aMessage.set_from(m_host);
  aMessage.set_incarnation(m_incarnation);
  aMessage.set_address(m_address);
  if (!NetworkAddress::Parse(aAddress)) {
    // Rows and messages of other hosts name it, among them those of other
    // releases.
    m_log.Write("peer-address-malformed",
                "bytes=" + std::to_string(aAddress.size()));
    return;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_queued.size() >= kMaxQueuedMessages) {
    m_log.Write("peer-message-dropped", "to=" + aAddress);
    return;
  }
  m_queued.push_back(Outgoing{ aAddress, aMessage.SerializeAsString() });
  if (m_queued.size() == 1) {
    zmq_send(m_wakeSend, "", 0, ZMQ_DONTWAIT);
  }
}

void PeerMessenger::Run()
{
  for (;;) {
    zmq_pollitem_t items[] = { { m_listener->Handle(), 0, ZMQ_POLLIN, 0 },
                               { m_wakeReceive, 0, ZMQ_POLLIN, 0 } };
    zmq_poll(items, 2, kPollTimeoutMs);
    char byte = 0;
    while (zmq_recv(m_wakeReceive, &byte, sizeof(byte), ZMQ_DONTWAIT) >= 0) {
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stopping) {
        return;
      }
    }
    SendQueued();
    ReceiveAll();
    CloseIdlePeers();
  }
}

void PeerMessenger::SendQueued()
{
  std::vector<Outgoing> queued;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    queued.swap(m_queued);
  }
  const TimePoint now = Clock::now();
  for (const Outgoing& outgoing : queued) {
    auto peer = m_peers.find(outgoing.m_address);
    if (peer == m_peers.end()) {
      PeerSocket socket =
        PeerSocket::Connect(m_context, "tcp://" + outgoing.m_address, m_keys);
      peer = m_peers.emplace(outgoing.m_address, Peer{ std::move(socket), now })
               .first;
    }
    peer->second.m_lastUsed = now;
    peer->second.m_socket.Send(outgoing.m_bytes);
  }
}

void PeerMessenger::ReceiveAll()
{
  while (auto frame = m_listener->Receive()) {
    proto::JobPeerMessage message;
    if (!message.ParseFromString(frame->m_bytes)) {
      m_log.Write("peer-message-malformed",
                  "bytes=" + std::to_string(frame->m_bytes.size()));
      continue;
    }
    if (IsReplyToOther(message, m_incarnation)) {
      m_log.Write("peer-reply-to-former-process", "peer=" + message.from());
      continue;
    }
    m_onMessage(message);
  }
}

void PeerMessenger::CloseIdlePeers()
{
  const TimePoint now = Clock::now();
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const bool idle = now - it->second.m_lastUsed > kPeerIdleTimeout;
    it = idle ? m_peers.erase(it) : std::next(it);
  }
}

} // namespace lycheestep
