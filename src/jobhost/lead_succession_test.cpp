#include "lead_succession.h"

#include <chrono>
#include <optional>

#include <gmock/gmock.h>

#include "peer_host.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;

constexpr double kLarge = 0.5;
constexpr double kSmall = 0.12;

// Returns a live host that has reached the store since aReachesSince.
PeerHost MakeHost(double aShare, std::optional<TimePoint> aReachesSince)
{
  PeerHost host;
  host.m_processorShare = aShare;
  host.m_lastSeen = TimePoint(seconds(100));
  host.m_answeredHeartbeat = true;
  host.m_reachesStoreSince = aReachesSince;
  return host;
}

} // namespace

// A host that is cut off from the store takes a lead that it can't renew.
TEST(LeadSuccession, HostsThatReachTheStoreComeFirst)
{
  const TimePoint now{ seconds(100) };
  PeerHosts hosts;
  hosts["a"] = MakeHost(kLarge, std::nullopt);
  hosts["b"] = MakeHost(kSmall, TimePoint(seconds(90)));
  hosts["c"] = MakeHost(kLarge, TimePoint(seconds(90)));
  hosts["gone"] = MakeHost(kLarge, TimePoint(seconds(90)));
  hosts["gone"].m_lastSeen = TimePoint(seconds(50));
  EXPECT_THAT(RankSuccessors(hosts, now), ElementsAre("c", "b", "a"));
}

TEST(LeadSuccession, SmallLeaderHandsOverToAMuchLargerHost)
{
  const TimePoint now{ seconds(100) };
  const TimePoint longAgo{ seconds(50) };
  PeerHosts hosts;
  hosts["small"] = MakeHost(kSmall, longAgo);
  EXPECT_FALSE(ShouldHandOver(hosts, kSmall, longAgo, now));
  hosts["large"] = MakeHost(kLarge, longAgo);
  EXPECT_TRUE(ShouldHandOver(hosts, kSmall, longAgo, now));
  EXPECT_FALSE(ShouldHandOver(hosts, kLarge, longAgo, now));
  // Not during the first seconds of a term.
  EXPECT_FALSE(ShouldHandOver(hosts, kSmall, now - seconds(2), now));
}

TEST(LeadSuccession, HostsOfOneShareKeepTheLead)
{
  const TimePoint now{ seconds(100) };
  const TimePoint longAgo{ seconds(50) };
  for (const double share : { 0.0, kLarge }) {
    PeerHosts hosts;
    hosts["other"] = MakeHost(share, longAgo);
    EXPECT_FALSE(ShouldHandOver(hosts, share, longAgo, now));
  }
}

TEST(LeadSuccession, NobodyHandsOverToAHostThatHardlyReachesTheStore)
{
  const TimePoint now{ seconds(100) };
  const TimePoint longAgo{ seconds(50) };
  PeerHosts hosts;
  hosts["large"] = MakeHost(kLarge, std::nullopt);
  EXPECT_FALSE(ShouldHandOver(hosts, kSmall, longAgo, now));
  hosts["large"] = MakeHost(kLarge, now - milliseconds(500));
  EXPECT_FALSE(ShouldHandOver(hosts, kSmall, longAgo, now));
  hosts["large"] = MakeHost(kLarge, longAgo);
  hosts["large"].m_lastSeen = longAgo;
  EXPECT_FALSE(ShouldHandOver(hosts, kSmall, longAgo, now));
}

} // namespace lycheestep
