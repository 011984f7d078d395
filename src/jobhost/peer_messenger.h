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

// Messages between hosts over ZeroMQ. A message is sent once; when the other
// host can't be reached it is dropped, as all that hosts say to each other is
// said again or timed out by its sender. Runs on a thread of its own.
class PeerMessenger
{
public:
  // Called on the link's thread.
  using OnMessage = std::function<void(const proto::JobPeerMessage&)>;

  // aAddress is "10.1.0.13:7720", where this host listens.
  PeerMessenger(std::string aHost,
                std::uint64_t aIncarnation,
                std::string aAddress,
                const std::string& aSharedKey,
                EventLog& aLog,
                OnMessage aOnMessage);
  ~PeerMessenger();
  PeerMessenger(const PeerMessenger&) = delete;
  PeerMessenger& operator=(const PeerMessenger&) = delete;

  // False when the address can't be listened at.
  bool Start();

  // Sends to the host that listens at aAddress. Fills in the sender. Safe
  // from any thread; never waits.
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
  // Wakes the thread for what is queued; each end belongs to its own side.
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
