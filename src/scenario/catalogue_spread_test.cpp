// Messages and delay of two ways to spread one change of the catalogue over
// all entry hosts: direct push by the host that wrote it, and a static update
// tree as in T. Nakashima and S. Fujita, "Tree-Based Consistency Maintenance
// Scheme for Peer-to-Peer File Sharing of Editable Contents", IEICE Trans.
// Inf. & Syst., 2014. Whoever is missed finds the change by polling.

#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "lycheestep/time_types.h"

namespace lycheestep {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr Duration kWithinDataCentre = microseconds(250);
constexpr Duration kBetweenDataCentres = microseconds(5000);
constexpr Duration kPollPeriod = std::chrono::seconds(5);
// A question and an answer.
constexpr std::size_t kPollMessages = 2;
// The paper's number of children.
constexpr std::size_t kChildren = 16;
// A sender sends one message after the other, at 1 Gbit/s.
constexpr std::int64_t kNanosecondsPerByte = 8;
constexpr std::int64_t kDeltaBytes = 2000;

struct Group
{
  std::size_t m_hosts = 0;
  std::size_t m_dataCentres = 0;
  int m_lostPercent = 0;
};

struct Spread
{
  std::size_t m_messages = 0;
  Duration m_delay = Duration::zero();
  std::size_t m_largestFanOut = 0;
};

class CatalogueSpread : public ::testing::TestWithParam<Group>
{
protected:
  CatalogueSpread()
    : m_random(GetParam().m_hosts * 100 +
               static_cast<std::size_t>(GetParam().m_lostPercent))
    , m_lost(GetParam().m_hosts, false)
  {
    // Host 0 writes the change and lives.
    const std::size_t lost =
      GetParam().m_hosts * static_cast<std::size_t>(GetParam().m_lostPercent) /
      100;
    while (static_cast<std::size_t>(
             std::count(m_lost.begin(), m_lost.end(), true)) < lost) {
      m_lost[1 + m_random() % (GetParam().m_hosts - 1)] = true;
    }
  }

  Duration Link(std::size_t aFrom, std::size_t aTo) const
  {
    const std::size_t centres = GetParam().m_dataCentres;
    return aFrom % centres == aTo % centres ? kWithinDataCentre
                                            : kBetweenDataCentres;
  }

  static Duration SendTime(std::size_t aNumber)
  {
    return std::chrono::nanoseconds(static_cast<std::int64_t>(aNumber) *
                                    kDeltaBytes * kNanosecondsPerByte);
  }

  Duration UntilNextPoll()
  {
    return Duration(m_random() %
                    static_cast<std::uint64_t>(kPollPeriod.count()));
  }

  Spread DirectPush() const
  {
    Spread spread;
    for (std::size_t to = 1; to < m_lost.size(); ++to) {
      ++spread.m_messages;
      if (!m_lost[to]) {
        spread.m_delay = std::max(spread.m_delay, SendTime(to) + Link(0, to));
      }
    }
    spread.m_largestFanOut = spread.m_messages;
    return spread;
  }

  // The tree is laid out like a heap over all hosts but the writer, who hands
  // the change to its root. A host below a lost one finds out by polling,
  // which is sooner than the repair of the tree after missed heartbeats.
  Spread UpdateTree()
  {
    Spread spread;
    std::vector<Duration> reached(m_lost.size(), Duration::max());
    reached[1] = SendTime(1) + Link(0, 1);
    spread.m_messages = 1;
    spread.m_largestFanOut = std::min(kChildren, m_lost.size() - 2);
    for (std::size_t host = 1; host < m_lost.size(); ++host) {
      if (m_lost[host]) {
        continue;
      }
      if (reached[host] == Duration::max()) {
        spread.m_messages += kPollMessages;
        reached[host] = UntilNextPoll();
      }
      spread.m_delay = std::max(spread.m_delay, reached[host]);
      for (std::size_t child = 0; child < kChildren; ++child) {
        const std::size_t to = (host - 1) * kChildren + child + 2;
        if (to < m_lost.size()) {
          ++spread.m_messages;
          reached[to] = reached[host] + SendTime(child + 1) + Link(host, to);
        }
      }
    }
    return spread;
  }

  std::mt19937_64 m_random;
  std::vector<bool> m_lost;
};

void Print(const char* aName, const Group& aGroup, const Spread& aSpread)
{
  std::printf(
    "%2zu hosts, %2d%% lost, %-11s %3zu messages, all reached after "
    "%8.3f ms, largest fan-out %zu\n",
    aGroup.m_hosts,
    aGroup.m_lostPercent,
    aName,
    aSpread.m_messages,
    static_cast<double>(duration_cast<microseconds>(aSpread.m_delay).count()) /
      1000,
    aSpread.m_largestFanOut);
}

TEST_P(CatalogueSpread, DirectPushTakesNoMoreMessagesAndNoLonger)
{
  const Spread push = DirectPush();
  const Spread tree = UpdateTree();
  Print("direct push", GetParam(), push);
  Print("update tree", GetParam(), tree);
  EXPECT_LE(push.m_delay, tree.m_delay);
  if (GetParam().m_lostPercent == 0) {
    EXPECT_EQ(push.m_messages, tree.m_messages);
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         CatalogueSpread,
                         ::testing::Values(Group{ 8, 4, 0 },
                                           Group{ 8, 4, 30 },
                                           Group{ 24, 12, 0 },
                                           Group{ 24, 12, 30 },
                                           Group{ 96, 12, 0 },
                                           Group{ 96, 12, 30 }));

} // namespace
} // namespace lycheestep
