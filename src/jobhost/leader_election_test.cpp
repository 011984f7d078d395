#include "leader_election.h"

#include <algorithm>
#include <memory>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "job_rows.h"
#include "jobs.pb.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LeaderRecord RecordOf(const std::string& aHost, Duration aAge)
{
  LeaderRecord record;
  record.m_version = 7;
  record.m_host = aHost;
  record.m_incarnation = 5;
  record.m_renewalAge = aAge;
  record.m_lease = seconds(8);
  record.m_validity = seconds(4);
  return record;
}

} // namespace

TEST(LeaderElection, HeartbeatsPostponeTheRead)
{
  LeaderElection election("b", 1);
  TimePoint now{ seconds(100) };
  election.Begin(now, milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    election.OnHeartbeat({ "b", "c" }, milliseconds(20), false, now);
    now += milliseconds(250);
    EXPECT_FALSE(election.ShouldReadRow(now));
  }
  EXPECT_TRUE(election.ShouldReadRow(now + seconds(1)));
}

TEST(LeaderElection, HostsOfLowerRankReadTheRowLater)
{
  LeaderElection first("a", 1);
  LeaderElection third("c", 1);
  LeaderElection unlisted("x", 1);
  const TimePoint now{ seconds(100) };
  for (LeaderElection* election : { &first, &third, &unlisted }) {
    election->OnHeartbeat({ "a", "b", "c" }, milliseconds(0), false, now);
  }
  EXPECT_LT(first.NextReadTime(), third.NextReadTime());
  EXPECT_LT(third.NextReadTime(), unlisted.NextReadTime());
}

TEST(LeaderElection, OnlyAVacantRowIsTaken)
{
  const TimePoint now{ seconds(100) };
  LeaderElection election("b", 1);
  EXPECT_TRUE(election.OnRowRead(LeaderRecord(), now));
  EXPECT_FALSE(election.OnRowRead(RecordOf("a", milliseconds(600)), now));
  EXPECT_TRUE(election.OnRowRead(RecordOf("a", seconds(2)), now));
  // The process whose place this one took can't lead any more.
  LeaderElection later("b", 2);
  EXPECT_TRUE(later.OnRowRead(RecordOf("b", milliseconds(100)), now));
  LeaderRecord released = RecordOf("a", milliseconds(100));
  released.m_released = true;
  EXPECT_TRUE(election.OnRowRead(released, now));
  LeaderRecord ended = RecordOf("a", milliseconds(100));
  ended.m_processEnded = true;
  EXPECT_TRUE(election.OnRowRead(ended, now));
}

// A slow store delays renewals, so the leader's row gets old although the
// leader works. Hosts took the lead then; seen on phanviet-ops trouble-2.
TEST(LeaderElection, SlowReadAllowsAnOlderRow)
{
  LeaderElection election("b", 1);
  LeaderRecord record = RecordOf("a", milliseconds(1900));
  record.m_readLatency = milliseconds(400);
  EXPECT_FALSE(election.OnRowRead(record, TimePoint(seconds(100))));
  record.m_renewalAge = seconds(4);
  EXPECT_TRUE(election.OnRowRead(record, TimePoint(seconds(100))));
}

// After an outage of the store, a host that read the leader's row before the
// leader could renew took the lead. Seen in the incident of ozolini-rake.
TEST(LeaderElection, LeaderRenewsFirstAfterAnOutageOfTheStore)
{
  LeaderElection election("b", 1);
  TimePoint now{ seconds(100) };
  election.OnReadFailed(now);
  now = election.NextReadTime();
  EXPECT_FALSE(election.OnRowRead(RecordOf("a", seconds(4)), now));
  now = election.NextReadTime();
  EXPECT_TRUE(election.OnRowRead(RecordOf("a", seconds(4)), now));
}

// After an outage of the store or a loss of all power, every host finds the row
// old at the same time. Small hosts took the lead then, could not read the
// stored jobs and renew in time, and lost it. Seen on both grown deployments.
TEST(LeaderElection, LargestHostLeadsFirstWhenAllFindTheRowOld)
{
  const std::vector<ElectionHost> hosts = { { "a-small", 0.12 },
                                            { "b-large", 0.5 },
                                            { "c-small", 0.12 } };
  LeaderElection large("b-large", 1);
  LeaderElection small("c-small", 1);
  const TimePoint now{ seconds(100) };
  for (LeaderElection* election : { &large, &small }) {
    election->Begin(now, milliseconds(0));
    election->SetHosts(hosts);
  }
  EXPECT_TRUE(large.OnRowRead(RecordOf("x", seconds(4)), now));
  EXPECT_FALSE(small.OnRowRead(RecordOf("x", seconds(4)), now));
  // Time for a read and for the write that takes the lead.
  EXPECT_GE(small.NextReadTime(), now + milliseconds(200));
  EXPECT_TRUE(small.OnRowRead(RecordOf("x", seconds(5)), small.NextReadTime()));
}

TEST(LeaderElection, HigherRanksGoFirstAfterAnOutageOfTheStore)
{
  LeaderElection third("c", 1);
  TimePoint now{ seconds(100) };
  third.OnHeartbeat({ "a", "b", "c" }, milliseconds(0), false, now);
  third.OnReadFailed(now);
  now = third.NextReadTime();
  EXPECT_FALSE(third.OnRowRead(RecordOf("x", seconds(4)), now));
  now = third.NextReadTime();
  EXPECT_FALSE(third.OnRowRead(RecordOf("x", seconds(4)), now));
  now = third.NextReadTime();
  EXPECT_TRUE(third.OnRowRead(RecordOf("x", seconds(4)), now));
}

// Hosts with one row, on virtual time. Whoever takes the lead never renews, and
// does nothing any more.
class SilentLeaders
{
public:
  // The first aLarge hosts are large and are the successors of "former", whose
  // last heartbeat reaches each host at a random moment.
  SilentLeaders(std::size_t aLarge, std::size_t aSmall, std::uint64_t aSeed)
    : m_random(static_cast<std::uint32_t>(aSeed))
  {
    std::vector<std::string> successors;
    std::vector<ElectionHost> hosts;
    for (std::size_t i = 0; i < aLarge + aSmall; ++i) {
      const bool large = i < aLarge;
      hosts.push_back(ElectionHost{ NameOf(i), large ? 0.5 : 0.12 });
      if (large) {
        successors.push_back(NameOf(i));
      }
    }
    std::uniform_int_distribution<int> delay(0, 20);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      m_elections.push_back(std::make_unique<LeaderElection>(NameOf(i), 1));
      m_elections.back()->SetHosts(hosts);
      m_elections.back()->OnHeartbeat(successors,
                                      milliseconds(0),
                                      false,
                                      m_now + milliseconds(delay(m_random)));
    }
  }

  // Lets time pass until the next host takes the lead, and returns its index.
  std::size_t NextLeader()
  {
    while (true) {
      m_now += milliseconds(1);
      for (std::size_t i = 0; i < m_elections.size(); ++i) {
        if (m_elections[i] && m_elections[i]->ShouldReadRow(m_now) &&
            m_elections[i]->OnRowRead(Row(), m_now)) {
          ++m_version;
          m_host = NameOf(i);
          m_renewedAt = m_now;
          m_elections[i].reset();
          return i;
        }
      }
    }
  }

private:
  LeaderRecord Row() const
  {
    LeaderRecord record = RecordOf(m_host, m_now - m_renewedAt);
    record.m_version = m_version;
    return record;
  }

  static std::string NameOf(std::size_t aIndex)
  {
    return "host-" + std::to_string(aIndex);
  }

  std::minstd_rand m_random;
  TimePoint m_now{ seconds(100) };
  std::string m_host = "former";
  std::uint64_t m_version = 1;
  TimePoint m_renewedAt = m_now;
  std::vector<std::unique_ptr<LeaderElection>> m_elections;
};

TEST(LeaderElection, LargeHostsGoFirstWhileNewLeadersNeverRenew)
{
  constexpr std::size_t kLarge = 4;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SilentLeaders hosts(kLarge, 20, seed);
    for (std::size_t turn = 0; turn < kLarge; ++turn) {
      EXPECT_LT(hosts.NextLeader(), kLarge)
        << "seed " << seed << ", turn " << turn;
    }
  }
}

// A leader that reaches the store by a relay only renews late and is soon lost.
TEST(LeaderElection, HostThatNeedsARelayGoesLast)
{
  LeaderElection election("a", 1);
  const TimePoint now{ seconds(100) };
  election.OnHeartbeat({ "a", "b" }, milliseconds(0), false, now);
  LeaderRecord record = RecordOf("x", seconds(2));
  record.m_readByRelay = true;
  EXPECT_FALSE(election.OnRowRead(record, election.NextReadTime()));
  const TimePoint second = election.NextReadTime();
  EXPECT_GE(second, now + milliseconds(1200));
  EXPECT_TRUE(election.OnRowRead(record, second));
}

// At the first start the rows of most hosts are missing, and small hosts would
// keep the rank that they have among the others.
TEST(LeaderElection, RankAmongTheFirstHostsIsNotKept)
{
  const TimePoint now{ seconds(100) };
  LeaderElection small("small", 1);
  small.SetHosts({ { "small", 0.12 } });
  LeaderElection large("f-large", 1);
  std::vector<ElectionHost> hosts = { { "small", 0.12 } };
  for (const char* name : { "a", "b", "c", "d", "e", "f-large" }) {
    hosts.push_back(ElectionHost{ name, 0.5 });
  }
  large.SetHosts(hosts);
  for (LeaderElection* election : { &small, &large }) {
    election->OnHeartbeat(
      { "a", "b", "c", "d", "e" }, milliseconds(0), false, now);
    if (!election->IsRanked()) {
      election->SetHosts(hosts);
    }
  }
  const TimePoint late = now + seconds(2);
  EXPECT_TRUE(large.OnRowRead(RecordOf("x", seconds(2)), late));
  EXPECT_FALSE(small.OnRowRead(RecordOf("x", seconds(2)), late));
}

TEST(LeaderElection, FormerLeasesCoverOrdersThatMayStillBeSent)
{
  EXPECT_EQ(LeaderElection::RemainingFormerLease(LeaderRecord()),
            Duration::zero());
  // The leader may send orders for 3 s more, and the last lease lasts 8 s on a
  // clock that may be 2% slow.
  const Duration unreleased =
    LeaderElection::RemainingFormerLease(RecordOf("a", seconds(1)));
  EXPECT_GE(unreleased, seconds(3) + milliseconds(8160));
  LeaderRecord released = RecordOf("a", seconds(1));
  released.m_released = true;
  const Duration left = LeaderElection::RemainingFormerLease(released);
  EXPECT_GE(left, milliseconds(7160));
  EXPECT_LT(left, unreleased);
}

// A target's lease by the leader's clock, if the target's clock is 2% slow.
constexpr Duration kLongestLease = milliseconds(8160);

// Leaders that follow each other, by the store's clock. Each one may have sent
// orders, and so given leases, as long as it was allowed to.
class Succession
{
public:
  // The next leader takes the lead aAge after the former one renewed its row,
  // or released it. Returns how much longer it waits for former leases than
  // they last.
  Duration Succeed(Duration aAge, bool aReleased)
  {
    LeaderRecord record = RecordOf("a", aAge);
    record.m_released = aReleased;
    record.m_formerLeases = m_formerExpiry - m_renewed;
    if (record.m_formerLeases < Duration::zero()) {
      record.m_formerLeases = Duration::zero();
    }
    const Duration lastOrder =
      aReleased ? m_renewed : m_renewed + record.m_validity;
    m_lastLeaseEnd = std::max(m_lastLeaseEnd, lastOrder + kLongestLease);
    const Duration now = m_renewed + aAge;
    m_formerExpiry = now + LeaderElection::RemainingFormerLease(record);
    m_renewed = now;
    return m_formerExpiry - m_lastLeaseEnd;
  }

  // The leader leads for aTime and renews its row.
  void Lead(Duration aTime) { m_renewed += aTime; }

private:
  Duration m_renewed = seconds(100);
  Duration m_formerExpiry = Duration::zero();
  Duration m_lastLeaseEnd = Duration::zero();
};

// Guards against work that is started again while a target that can't be
// reached still has a lease of the leader before the last one.
TEST(LeaderElection, LeasesOfAllFormerLeadersCount)
{
  Succession succession;
  // The first leader is cut off from the store and may send orders for 3 s
  // more.
  EXPECT_GE(succession.Succeed(seconds(1), false), Duration::zero());
  succession.Lead(milliseconds(300));
  EXPECT_GE(succession.Succeed(milliseconds(50), true), Duration::zero());
}

TEST(LeaderElection, NoOrderOfLeadersEndsLeasesEarly)
{
  const bool held = rc::check([] {
    Succession succession;
    const auto leaders = *rc::gen::inRange(1, 8);
    for (int i = 0; i < leaders; ++i) {
      succession.Lead(milliseconds(*rc::gen::inRange(0, 6000)));
      const auto released = *rc::gen::arbitrary<bool>();
      const Duration age =
        milliseconds(*rc::gen::inRange(released ? 0 : 400, 15000));
      RC_ASSERT(succession.Succeed(age, released) >= Duration::zero());
    }
  });
  EXPECT_TRUE(held);
}

TEST(LeaderElection, LeadIsTakenIfTheRowIsMalformed)
{
  RowAnswer answer;
  answer.m_storeClock = seconds(500);
  Row row;
  row.m_key = LeaderKey();
  row.m_version = 9;
  row.m_value = "\xff\xff\xff";
  answer.m_rows.push_back(row);
  LeaderElection election("b", 1);
  EXPECT_TRUE(
    election.OnRowRead(DecodeLeaderRow(answer), TimePoint(seconds(100))));
}

// Guards against work that is started again after 1 s, as a row that can't be
// read was taken for one without leases.
TEST(LeaderElection, LeasesOfARowThatCannotBeReadCountFromTheRead)
{
  for (const char* value : { "", "\xff\xff\xff" }) {
    RowAnswer answer;
    answer.m_storeClock = seconds(500);
    Row row;
    row.m_key = LeaderKey();
    row.m_version = 9;
    row.m_value = value;
    answer.m_rows.push_back(row);
    EXPECT_GE(LeaderElection::RemainingFormerLease(DecodeLeaderRow(answer)),
              seconds(4) + kLongestLease);
  }
}

// Guards against a leader that takes its first row's time from an answer
// without the store's clock, so that the next one takes its leases to be over.
TEST(LeaderElection, LeadIsNotTakenWithoutTheStoresClock)
{
  RowAnswer answer;
  Row row;
  row.m_key = LeaderKey();
  row.m_version = 9;
  answer.m_rows.push_back(row);
  LeaderElection election("b", 1);
  const TimePoint now{ seconds(100) };
  EXPECT_FALSE(election.OnRowRead(DecodeLeaderRow(answer), now));
  EXPECT_LE(election.NextReadTime(), now + seconds(1));
  answer.m_storeClock = seconds(500);
  const TimePoint next = election.NextReadTime();
  EXPECT_FALSE(election.OnRowRead(DecodeLeaderRow(answer), next));
  EXPECT_TRUE(
    election.OnRowRead(DecodeLeaderRow(answer), election.NextReadTime()));
}

// Guards against a lead that changes several times a second, so that no work is
// started, while a former process of a host lives on beside the one that took
// its place.
TEST(LeaderElection, FormerProcessThatLivesOnTakesNoLeadBack)
{
  const TimePoint now{ seconds(100) };
  LeaderRecord record = RecordOf("a", milliseconds(0));
  LeaderElection former("a", 1);
  record.m_host = "x";
  EXPECT_FALSE(former.OnRowRead(record, now));
  record.m_host = "a";
  record.m_incarnation = 1;
  LeaderElection later("a", 2);
  EXPECT_TRUE(later.OnRowRead(record, now));
  record.m_incarnation = 2;
  ++record.m_version;
  EXPECT_FALSE(former.OnRowRead(record, now + seconds(1)));
}

} // namespace lycheestep
