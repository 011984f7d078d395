#include "leader_election.h"

#include <gtest/gtest.h>

#include "job_rows.h"
#include "jobs.pb.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LeaderRecord RecordOf(const std::string& aHost, Duration aAge)
{
  LeaderRecord reading;
  reading.m_version = 7;
  reading.m_host = aHost;
  reading.m_incarnation = 5;
  reading.m_renewalAge = aAge;
  reading.m_lease = seconds(8);
  reading.m_validity = seconds(4);
  return reading;
}

} // namespace

TEST(LeaderElection, HeartbeatsKeepAHostQuiet)
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

TEST(LeaderElection, HostsFurtherDownTheLineLookLater)
{
  LeaderElection first("a", 1);
  LeaderElection third("c", 1);
  LeaderElection stranger("x", 1);
  const TimePoint now{ seconds(100) };
  for (LeaderElection* election : { &first, &third, &stranger }) {
    election->OnHeartbeat({ "a", "b", "c" }, milliseconds(0), false, now);
  }
  EXPECT_LT(first.NextReadTime(), third.NextReadTime());
  EXPECT_LT(third.NextReadTime(), stranger.NextReadTime());
}

TEST(LeaderElection, OnlyAVacantRowIsTaken)
{
  const TimePoint now{ seconds(100) };
  LeaderElection election("b", 1);
  EXPECT_TRUE(election.OnRowRead(LeaderRecord(), now));
  EXPECT_FALSE(election.OnRowRead(RecordOf("a", milliseconds(600)), now));
  EXPECT_TRUE(election.OnRowRead(RecordOf("a", seconds(2)), now));
  // This host's own former process can't lead any more.
  EXPECT_TRUE(election.OnRowRead(RecordOf("b", milliseconds(100)), now));
  LeaderRecord released = RecordOf("a", milliseconds(100));
  released.m_released = true;
  EXPECT_TRUE(election.OnRowRead(released, now));
  LeaderRecord ended = RecordOf("a", milliseconds(100));
  ended.m_processEnded = true;
  EXPECT_TRUE(election.OnRowRead(ended, now));
}

// Found on phanviet-ops trouble-2: hosts took the lead from a leader that only
// waited for a slow store.
TEST(LeaderElection, SlowStoreExcusesAnOldRow)
{
  LeaderElection election("b", 1);
  LeaderRecord reading = RecordOf("a", milliseconds(1900));
  reading.m_readLatency = milliseconds(400);
  EXPECT_FALSE(election.OnRowRead(reading, TimePoint(seconds(100))));
  reading.m_renewalAge = seconds(4);
  EXPECT_TRUE(election.OnRowRead(reading, TimePoint(seconds(100))));
}

// Found in the incident of ozolini-rake: after an outage of the store a host
// took the lead from a leader that was just about to renew.
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

TEST(LeaderElection, FormerLeasesCoverOrdersThatMayStillBeSent)
{
  EXPECT_EQ(LeaderElection::RemainingFormerLease(LeaderRecord()),
            Duration::zero());
  // Orders may go out for 3 s more, and the last lease lasts 8 s on a clock
  // that may be 2% slow.
  const Duration silent =
    LeaderElection::RemainingFormerLease(RecordOf("a", seconds(1)));
  EXPECT_GE(silent, seconds(3) + milliseconds(8160));
  LeaderRecord released = RecordOf("a", seconds(1));
  released.m_released = true;
  const Duration left = LeaderElection::RemainingFormerLease(released);
  EXPECT_GE(left, milliseconds(7160));
  EXPECT_LT(left, silent);
}

TEST(LeaderElection, RowThatCannotBeReadIsNobodys)
{
  RowAnswer answer;
  Row row;
  row.m_key = LeaderKey();
  row.m_version = 9;
  row.m_value = "\xff\xff\xff";
  answer.m_rows.push_back(row);
  LeaderElection election("b", 1);
  EXPECT_TRUE(
    election.OnRowRead(DecodeLeaderRow(answer), TimePoint(seconds(100))));
}

} // namespace lycheestep
