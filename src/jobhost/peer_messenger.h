#ifndef LYCHEESTEP_PEER_MESSENGER_H
#define LYCHEESTEP_PEER_MESSENGER_H

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lycheestep/time_types.h"
#include "peer_socket.h"

namespace lycheestep {

class EventLog;

namespace proto {
class JobPeerMessage;
}

// Sends and receives messages between hosts over ZeroMQ on a thread of its own.
// A message is sent once, and dropped if the other host can't be reached. This
// is safe because the sender of every message either repeats it or applies a
// timeout.
class PeerMessenger
{
public:
  // Handles a received message; called on the messenger's thread.
  using OnMessage = std::function<void(const proto::JobPeerMessage&)>;

  // aAddress is the address at which this host listens, for example
  // "10.1.0.13:7720".
  PeerMessenger(std::string aHost,
                std::uint64_t aIncarnation,
                std::string aAddress,
                const std::string& aSharedKey,
                EventLog& aLog,
                OnMessage aOnMessage);
  ~PeerMessenger();
  PeerMessenger(const PeerMessenger&) = delete;
  PeerMessenger& operator=(const PeerMessenger&) = delete;

  // Opens the listening socket and starts the thread. Returns false if a socket
  // can't be opened.
  bool Start();

  // Queues a message for the host that listens at aAddress and fills in the
  // sender's fields. Thread-safe; does not wait for the network. The message is
  // dropped and the log says so if the queue is full.
  void Send(const std::string& aAddress, proto::JobPeerMessage aMessage);

private:
  struct Outgoing
  {
    std::string m_address;
    std::string m_bytes;
  };

  struct Peer
  {
    PeerSocket m_socket;
    TimePoint m_lastUsed;
  };

  void Run();
  void SendQueued();
  void ReceiveAll();
  void CloseIdlePeers();

  const std::string m_host;
  const std::uint64_t m_incarnation;
  const std::string m_address;
  const PeerKeyPair m_keys;
  EventLog& m_log;
  const OnMessage m_onMessage;
  void* m_context;
  // The two ends of a socket pair that wakes the thread when a message is
  // queued or the messenger stops. m_wakeSend is used under m_mutex,
  // m_wakeReceive only by the thread.
  void* m_wakeSend = nullptr;
  void* m_wakeReceive = nullptr;
  std::mutex m_mutex;
  std::vector<Outgoing> m_queued;
  bool m_stopping = false;
  std::unique_ptr<PeerSocket> m_listener;
  std::map<std::string, Peer> m_peers;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
