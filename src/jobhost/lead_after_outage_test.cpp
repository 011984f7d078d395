// Tests of how soon a host leads once the store is back.
#include "leader_election.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LeaderRecord RowOf(const std::string& aHost,
                   std::uint64_t aIncarnation,
                   std::uint64_t aVersion,
                   Duration aAge)
{
  LeaderRecord record;
  record.m_version = aVersion;
  record.m_host = aHost;
  record.m_incarnation = aIncarnation;
  record.m_renewalAge = aAge;
  record.m_lease = seconds(8);
  record.m_validity = seconds(4);
  return record;
}

constexpr Duration kPoll = milliseconds(100);
constexpr Duration kReadTimeout = milliseconds(600);
constexpr Duration kWriteTimeout = milliseconds(900);
constexpr Duration kWay = milliseconds(44);

struct Host
{
  std::string m_name;
  std::uint64_t m_process = 0;
  std::unique_ptr<LeaderElection> m_election;
  TimePoint m_free;
  TimePoint m_poll;
  bool m_failed = false;
  bool m_tries = false;
};

// Returns how long after the return of the store a host has written its row.
// aSilent: the store swallows calls instead of refusing them. aOwnWrite: a host
// had just sent an attempt, which takes effect without an answer.
Duration TimeToLead(std::uint32_t aSeed, bool aSilent, bool aOwnWrite)
{
  std::minstd_rand random(aSeed);
  const auto draw = [&](int aFrom, int aTo) {
    return milliseconds(std::uniform_int_distribution<int>(aFrom, aTo)(random));
  };
  const TimePoint killed{ seconds(100) };
  const TimePoint calm = killed + draw(3500, 5000);
  const std::vector<std::string> names = { "a", "b", "c", "d", "e", "f", "g" };
  std::vector<ElectionHost> ranked;
  for (const std::string& name : names) {
    ranked.push_back(ElectionHost{ name, 0.25 });
  }
  std::vector<Host> hosts(names.size());
  const std::size_t restarted = 1 + random() % 6;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    Host& host = hosts[i];
    host.m_name = names[i];
    host.m_process = 10 + i;
    host.m_election = std::make_unique<LeaderElection>(names[i], 10 + i);
    host.m_poll = killed + draw(0, 99);
    if (i == 0 || i == restarted) { // "a" led
      host.m_poll += draw(1000, 3000);
      host.m_election->Begin(host.m_poll, draw(0, 300));
    } else {
      host.m_election->OnHeartbeat(
        { "b", "c", "d", "e", "f" }, Duration::zero(), false, killed);
    }
    host.m_free = host.m_poll;
  }
  std::string holder = "a";
  std::uint64_t process = 1;
  std::uint64_t version = 7;
  TimePoint renewed = killed;
  if (aOwnWrite) {
    Host& tries = hosts[1 + random() % 6];
    tries.m_tries = true;
    tries.m_free = calm + kWriteTimeout - milliseconds(1);
    holder = tries.m_name;
    process = tries.m_process;
    version = 8;
    renewed = calm;
  }
  for (TimePoint now = killed; now < calm + seconds(9);
       now += milliseconds(2)) {
    for (Host& host : hosts) {
      if (now < host.m_free || now < host.m_poll) {
        continue;
      }
      if (host.m_tries) {
        host.m_tries = false;
        host.m_election->OnAttemptLost(now);
      }
      if (host.m_failed) {
        host.m_failed = false;
        host.m_election->OnReadFailed(now);
      }
      host.m_poll = now + kPoll;
      if (!host.m_election->ShouldReadRow(now)) {
        continue;
      }
      if (now < calm) {
        host.m_failed = true;
        host.m_free = aSilent ? now + kReadTimeout : now;
        host.m_poll = host.m_free;
        continue;
      }
      TimePoint answered = now + kWay;
      if (!host.m_election->IsRanked()) {
        answered += kWay;
        host.m_election->SetHosts(ranked);
      }
      LeaderRecord record = RowOf(holder, process, version, now - renewed);
      record.m_readLatency = kWay;
      host.m_free = answered;
      host.m_poll = answered;
      if (host.m_election->OnRowRead(record, answered)) {
        return answered + kWay - calm;
      }
    }
  }
  return seconds(9);
}

Duration LongestToLead(bool aSilent, bool aOwnWrite)
{
  Duration longest = Duration::zero();
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    longest = std::max(longest, TimeToLead(seed, aSilent, aOwnWrite));
  }
  std::cout << "silent " << aSilent << " own write " << aOwnWrite
            << ": longest " << ToMilliseconds(longest) << " ms" << std::endl;
  return longest;
}

} // namespace

// Guards against an election that leaves too little time for the stops of a new
// leader: a run of a cancelled job has to be over 3 s after the return of the
// store, a stop takes up to 0.9 s, and the load and the way to the target 0.1
// s.
TEST(LeadAfterOutage, HostLeadsSoonAfterTheStoreIsBack)
{
  for (const bool silent : { false, true }) {
    for (const bool ownWrite : { false, true }) {
      EXPECT_LE(LongestToLead(silent, ownWrite), milliseconds(2000));
    }
  }
}

} // namespace lycheestep
