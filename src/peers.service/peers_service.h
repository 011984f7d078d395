#ifndef LYCHEESTEP_PEERS_SERVICE_H
#define LYCHEESTEP_PEERS_SERVICE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "lycheestep/peer_transport.h"
#include "lycheestep/service.h"
#include "lycheestep/time_types.h"
#include "peer_socket.h"

namespace lycheestep {

class EventSink;
class MetricsSink;
struct ProcessSettings;

// Exchanges messages with other entry hosts. One ROUTER socket receives them,
// one DEALER socket per address sends them, and one thread owns all sockets.
// Unreadable frames and frames above the rate limit of a connection are dropped
// and counted; a frame above the size limit closes its connection.
class PeersService
  : public Service
  , public PeerTransport
{
public:
  explicit PeersService(const ProcessSettings& aSettings);
  ~PeersService() override;

  std::string Name() const override { return "peers"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override;

  void Send(SendPeerMessage aMessage) override;

  // Returns the endpoint at which peers reach this process; empty if no peer
  // address is set.
  std::string Endpoint() const { return m_endpoint; }

private:
  using Sockets = std::map<std::string, PeerSocket>;

  void Run(PeerSocket aListener);
  void SendWaiting(Sockets& aSockets);
  void SendOne(Sockets& aSockets, const SendPeerMessage& aMessage);
  void ReceiveWaiting(PeerSocket& aListener);
  void TakeFrame(const ReceivedFrame& aFrame);
  bool IsOverRate(const std::string& aConnection);
  void Count(const std::string& aPeer,
             const char* aDirection,
             std::size_t aBytes);
  void CountDrop(const char* aCause);

  const ProcessSettings& m_settings;
  const PeerKeyPair m_keys;
  std::string m_endpoint;
  void* m_context = nullptr;
  int m_wakeUp = -1;
  EventSink* m_events = nullptr;
  MetricsSink* m_metrics = nullptr;
  std::mutex m_mutex;
  std::vector<SendPeerMessage> m_waiting;
  bool m_stopping = false;
  // The number of frames received on each connection in the one-second window
  // that began at m_rateSince. Used by m_thread only.
  std::map<std::string, std::size_t> m_frames;
  TimePoint m_rateSince{};
  std::thread m_thread;
};

} // namespace lycheestep

#endif
