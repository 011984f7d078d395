// Tests of messages between hosts over sockets on this machine.
#include "peer_messenger.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <gmock/gmock.h>

#include "event_log.h"
#include "free_port.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "peer_reply.h"

namespace lycheestep {

namespace {

constexpr std::uint64_t kCallerIncarnation = 7;
constexpr std::uint64_t kFormerIncarnation = 6;

// Returns an address of this machine at which nobody listens.
std::string FreeAddress()
{
  return "127.0.0.1:" + std::to_string(FreePort());
}

proto::JobPeerMessage StoreReply(std::uint64_t aTo, std::uint64_t aCall)
{
  proto::JobPeerMessage reply = MakeReplyTo(aTo);
  reply.mutable_store_reply()->set_id(aCall);
  return reply;
}

// A host that made calls, and one that replies to them.
class PeerMessengerTest : public testing::Test
{
protected:
  PeerMessengerTest()
    : m_log("test", m_metrics)
    , m_callerAddress(FreeAddress())
    , m_caller("caller",
               kCallerIncarnation,
               m_callerAddress,
               "key",
               m_log,
               [this](const proto::JobPeerMessage& aMessage) {
                 const std::lock_guard<std::mutex> lock(m_mutex);
                 m_received.insert(aMessage.store_reply().id());
                 m_arrived.notify_all();
               })
    , m_other("other",
              1,
              FreeAddress(),
              "key",
              m_log,
              [](const proto::JobPeerMessage& /*aMessage*/) {})
  {
  }

  // Sends the replies again and again until one arrives, as messages get lost
  // until the hosts are connected. Returns the calls to which replies arrived.
  std::set<std::uint64_t> SendUntilOneArrives(
    const std::vector<proto::JobPeerMessage>& aReplies)
  {
    constexpr int kTries = 500;
    std::unique_lock<std::mutex> lock(m_mutex);
    for (int i = 0; i < kTries && m_received.empty(); ++i) {
      for (const proto::JobPeerMessage& reply : aReplies) {
        m_other.Send(m_callerAddress, reply);
      }
      m_arrived.wait_for(lock, std::chrono::milliseconds(20));
    }
    return m_received;
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  std::mutex m_mutex;
  std::condition_variable m_arrived;
  std::set<std::uint64_t> m_received;
  const std::string m_callerAddress;
  PeerMessenger m_caller;
  PeerMessenger m_other;
};

} // namespace

// Guards against a process that has started again and takes the reply to a call
// of its former life for the reply to the call with the same number: a write
// that did not take place would count as done.
TEST_F(PeerMessengerTest, ReplyToAFormerProcessIsDropped)
{
  ASSERT_TRUE(m_caller.Start());
  ASSERT_TRUE(m_other.Start());
  // Messages of one host arrive in order.
  EXPECT_EQ(SendUntilOneArrives({ StoreReply(kFormerIncarnation, 1),
                                  StoreReply(kCallerIncarnation, 2) }),
            std::set<std::uint64_t>{ 2 });
}

TEST_F(PeerMessengerTest, ReplyOfAnEarlierReleaseIsAccepted)
{
  ASSERT_TRUE(m_caller.Start());
  ASSERT_TRUE(m_other.Start());
  EXPECT_EQ(SendUntilOneArrives({ StoreReply(0, 3) }),
            std::set<std::uint64_t>{ 3 });
}

// Guards against a row or message of another host whose address is none and
// that holds up what is sent to the other hosts.
TEST_F(PeerMessengerTest, TextThatIsNoAddressIsPassedOver)
{
  ASSERT_TRUE(m_caller.Start());
  ASSERT_TRUE(m_other.Start());
  const std::vector<std::string> texts = { "",
                                           "shelf-17:1733612345678",
                                           "10.0.0.1:0",
                                           "a b:80",
                                           std::string(70000, 'a') };
  for (const std::string& text : texts) {
    m_other.Send(text, StoreReply(kCallerIncarnation, 4));
  }
  EXPECT_THAT(m_metrics.Render(),
              testing::HasSubstr("event=\"peer-address-malformed\"} 5\n"));
  EXPECT_EQ(SendUntilOneArrives({ StoreReply(kCallerIncarnation, 5) }),
            std::set<std::uint64_t>{ 5 });
}

} // namespace lycheestep
