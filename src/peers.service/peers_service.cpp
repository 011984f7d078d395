#include "peers_service.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include <array>
#include <chrono>
#include <utility>

#include "lycheestep/event_sink.h"
#include "lycheestep/kernel.h"
#include "lycheestep/metrics_sink.h"
#include "lycheestep/process_settings.h"
#include "lycheestep/service_factory.h"
#include "peer.pb.h"
#include "peer_frame.h"

namespace lycheestep {

namespace {

const ServiceRegistration kRegistration("peers",
                                        [](const ProcessSettings& aSettings) {
                                          return std::make_unique<PeersService>(
                                            aSettings);
                                        });

// The most messages queued for the socket thread; Send() drops further ones.
constexpr std::size_t kWaitingLimit = 10000;
// The most addresses that the service opens a socket to.
constexpr std::size_t kAddressLimit = 256;
// The most frames received before queued messages are sent.
constexpr int kMaxFramesPerPoll = 1000;

// The frame rate limit counts the frames of each connection in this window.
constexpr Duration kRateWindow = std::chrono::seconds(1);

// Returns aPeer as the value of a metric label. Characters that would need an
// escape are replaced by an underscore.
std::string LabelOf(const std::string& aPeer)
{
  std::string label;
  for (const char c : aPeer) {
    label += c == '"' || c == '\\' || c == '\n' ? '_' : c;
  }
  return label;
}

} // namespace

PeersService::PeersService(const ProcessSettings& aSettings)
  : m_settings(aSettings)
  , m_keys(DerivePeerKeys(aSettings.m_peerKey))
{
}

PeersService::~PeersService()
{
  Stop();
}

std::error_code PeersService::Start(Kernel& aKernel)
{
  m_events = aKernel.Find<EventSink>("control");
  m_metrics = aKernel.Find<MetricsSink>("metrics");
  if (m_settings.m_scheduler.m_peerAddress.empty()) {
    return {};
  }
  if (m_settings.m_peerKey.empty()) {
    return std::make_error_code(std::errc::permission_denied);
  }
  m_context = zmq_ctx_new();
  m_wakeUp = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  PeerSocket listener = PeerSocket::Listen(m_context,
                                           m_settings.m_scheduler.m_peerAddress,
                                           m_keys,
                                           m_settings.m_peerFrameLimit);
  if (!listener.IsOpen()) {
    Stop();
    return std::make_error_code(std::errc::address_in_use);
  }
  m_endpoint = listener.Endpoint();
  m_thread =
    std::thread([this](PeerSocket aListener) { Run(std::move(aListener)); },
                std::move(listener));
  pthread_setname_np(m_thread.native_handle(), "peers");
  return {};
}

void PeersService::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    eventfd_write(m_wakeUp, 1);
    m_thread.join();
  }
  if (m_context) {
    // The thread has closed all sockets, so zmq_ctx_term() does not block.
    zmq_ctx_term(std::exchange(m_context, nullptr));
    close(m_wakeUp);
  }
}

void PeersService::Send(SendPeerMessage aMessage)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_thread.joinable() || m_waiting.size() >= kWaitingLimit) {
      return;
    }
    m_waiting.push_back(std::move(aMessage));
  }
  eventfd_write(m_wakeUp, 1);
}

void PeersService::Run(PeerSocket aListener)
{
  Sockets sockets;
  std::array<zmq_pollitem_t, 2> items{};
  items[0] = { aListener.Handle(), 0, ZMQ_POLLIN, 0 };
  items[1] = { nullptr, m_wakeUp, ZMQ_POLLIN, 0 };
  while (true) {
    zmq_poll(items.data(), static_cast<int>(items.size()), -1);
    eventfd_t wakeUps = 0;
    eventfd_read(m_wakeUp, &wakeUps);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stopping) {
        return;
      }
    }
    ReceiveWaiting(aListener);
    SendWaiting(sockets);
  }
}

void PeersService::SendWaiting(Sockets& aSockets)
{
  std::vector<SendPeerMessage> messages;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    messages = std::exchange(m_waiting, {});
  }
  for (const SendPeerMessage& message : messages) {
    SendOne(aSockets, message);
  }
}

void PeersService::SendOne(Sockets& aSockets, const SendPeerMessage& aMessage)
{
  auto found = aSockets.find(aMessage.m_address);
  if (found == aSockets.end()) {
    if (aSockets.size() >= kAddressLimit) {
      CountDrop("addresses");
      return;
    }
    found =
      aSockets
        .emplace(aMessage.m_address,
                 PeerSocket::Connect(m_context, aMessage.m_address, m_keys))
        .first;
  }
  const std::string bytes = aMessage.m_message->SerializeAsString();
  if (found->second.Send(bytes)) {
    Count(aMessage.m_to.Text(), "out", bytes.size());
  } else {
    CountDrop("unconnected");
  }
}

void PeersService::ReceiveWaiting(PeerSocket& aListener)
{
  for (int i = 0; i < kMaxFramesPerPoll; ++i) {
    const auto frame = aListener.Receive();
    if (!frame) {
      return;
    }
    TakeFrame(*frame);
  }
  // More frames may be pending: wake up the next poll at once to receive them.
  eventfd_write(m_wakeUp, 1);
}

void PeersService::TakeFrame(const ReceivedFrame& aFrame)
{
  if (IsOverRate(aFrame.m_connection)) {
    CountDrop("rate");
    return;
  }
  PeerFrame frame = ReadPeerFrame(aFrame.m_bytes);
  if (!frame.m_message) {
    CountDrop(frame.m_cause);
    return;
  }
  Count(frame.m_message->from(), "in", aFrame.m_bytes.size());
  PeerMessageReceived event;
  event.m_from = EntryId(frame.m_message->from());
  event.m_message = std::move(frame.m_message);
  m_events->Post(std::move(event));
}

bool PeersService::IsOverRate(const std::string& aConnection)
{
  const TimePoint now = Clock::now();
  if (now - m_rateSince >= kRateWindow) {
    m_frames.clear();
    m_rateSince = now;
  }
  return ++m_frames[aConnection] > m_settings.m_peerFrameRate;
}

void PeersService::Count(const std::string& aPeer,
                         const char* aDirection,
                         std::size_t aBytes)
{
  if (!m_metrics) {
    return;
  }
  const std::string label = "peer=\"" + LabelOf(aPeer) + "\",direction=\"" +
                            std::string(aDirection) + '"';
  m_metrics->Count("lycheestep_peer_messages_total", label, 1);
  m_metrics->Count("lycheestep_peer_bytes_total", label, aBytes);
}

void PeersService::CountDrop(const char* aCause)
{
  if (m_metrics) {
    m_metrics->Count("lycheestep_peer_dropped_total",
                     std::string("cause=\"") + aCause + '"',
                     1);
  }
}

} // namespace lycheestep
