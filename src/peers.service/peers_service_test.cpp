#include "peers_service.h"

#include <gmock/gmock.h>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>

#include "lycheestep/event_sink.h"
#include "lycheestep/kernel.h"
#include "lycheestep/process_settings.h"
#include "peer.pb.h"
#include "peer_frame.h"

namespace lycheestep {
namespace {

// Stands in for the service "control" and keeps the sender of the last peer
// message.
class Collector
  : public Service
  , public EventSink
{
public:
  std::string Name() const override { return "control"; }
  std::error_code Start(Kernel& /*aKernel*/) override { return {}; }
  void Stop() override {}
  void Post(Event aEvent) override
  {
    const auto& message = std::get<PeerMessageReceived>(aEvent);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_last = message.m_from.Text();
    m_received.notify_all();
  }
  bool TryPost(Event aEvent) override
  {
    Post(std::move(aEvent));
    return true;
  }
  bool WaitFor(const std::string& aFrom, Duration aLimit)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_received.wait_for(lock, aLimit, [&] { return m_last == aFrom; });
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_received;
  std::string m_last;
};

// An entry host that consists of a PeersService and a Collector only.
struct Host
{
  explicit Host(const std::string& aKey)
  {
    m_settings.m_peerKey = aKey;
    m_settings.m_scheduler.m_peerAddress = "tcp://127.0.0.1:*";
    m_kernel.Register(std::make_unique<Collector>());
    m_kernel.Register(std::make_unique<PeersService>(m_settings));
    EXPECT_FALSE(m_kernel.Start());
    m_peers = m_kernel.Find<PeersService>("peers");
    m_events = m_kernel.Find<Collector>("control");
  }

  void SendTo(const Host& aOther, const std::string& aFrom)
  {
    proto::PeerMessage message;
    message.set_protocol_version(1);
    message.set_from(aFrom);
    m_peers->Send({ EntryId("other"),
                    aOther.m_peers->Endpoint(),
                    std::make_shared<proto::PeerMessage>(message) });
  }

  ProcessSettings m_settings;
  Kernel m_kernel;
  PeersService* m_peers = nullptr;
  Collector* m_events = nullptr;
};

// Sends up to aTries messages and returns true once aTo receives one. Messages
// may be lost while the connection is being established.
bool Reaches(Host& aFrom, Host& aTo, const std::string& aName, int aTries)
{
  constexpr std::chrono::milliseconds kStep{ 50 };
  for (int i = 0; i < aTries; ++i) {
    aFrom.SendTo(aTo, aName);
    if (aTo.m_events->WaitFor(aName, kStep)) {
      return true;
    }
  }
  return false;
}

TEST(PeersServiceTest, CarriesMessagesBetweenHostsOfOneKeyOnly)
{
  Host left("shared");
  Host right("shared");
  Host stranger("other");
  EXPECT_TRUE(Reaches(left, right, "left", 600));
  EXPECT_TRUE(Reaches(right, left, "right", 600));
  EXPECT_FALSE(Reaches(stranger, right, "stranger", 10));
  EXPECT_TRUE(Reaches(left, right, "left again", 600));
}

// Every damaged frame is either accepted or dropped with a cause.
TEST(PeerFrameTest, SurvivesDamagedFrames)
{
  proto::PeerMessage message;
  message.set_protocol_version(1);
  message.set_from("e1");
  message.mutable_forwarded_request()->set_body("b");
  const std::string whole = message.SerializeAsString();
  EXPECT_TRUE(ReadPeerFrame(whole).m_message);
  std::mt19937 random(7);
  constexpr int kFrames = 20000;
  for (int i = 0; i < kFrames; ++i) {
    std::string damaged = whole.substr(0, random() % (whole.size() + 1));
    for (std::size_t flips = random() % 4; flips > 0 && !damaged.empty();
         --flips) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    const PeerFrame frame = ReadPeerFrame(damaged);
    EXPECT_EQ(frame.m_message == nullptr, *frame.m_cause != '\0');
  }
  message.set_protocol_version(kPeerProtocolVersion + 1);
  EXPECT_STREQ(ReadPeerFrame(message.SerializeAsString()).m_cause, "version");
  EXPECT_STREQ(ReadPeerFrame("").m_cause, "sender");
}

} // namespace
} // namespace lycheestep
