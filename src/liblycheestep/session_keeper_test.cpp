#include "coordination_cell.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(SessionKeeper, TermCountsFromBeforeTheRenewalWasSent)
{
  CoordinationCell cell(1, 1);
  cell.m_faults.m_delay = milliseconds(900);
  cell.Run(seconds(60));
  const SessionKeeper& session = cell.Host(0).m_session;
  EXPECT_EQ(session.Epoch(), 1U);
  // Renewed at the latest one period and one slow call ago.
  EXPECT_LE(session.MainUntil(), cell.m_now + seconds(8) - milliseconds(1));
  EXPECT_GE(session.MainUntil(),
            cell.m_now + seconds(8) - seconds(3) - milliseconds(1900));
}

TEST(SessionKeeper, LostRepliesAreReadBack)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(5));
  cell.m_faults.m_loseReplies = true;
  cell.Run(seconds(2));
  cell.m_faults.m_loseReplies = false;
  cell.Run(seconds(6));
  EXPECT_EQ(cell.Host(0).m_session.Epoch(), 1U);
  EXPECT_EQ(cell.Host(0).m_sessionsLost, 0);
  EXPECT_GT(cell.Host(0).m_session.MainUntil(), cell.m_now);
}

TEST(SessionKeeper, APausedHostFindsItsSessionEndedAndOpensANewOne)
{
  CoordinationCell cell(2, 2);
  cell.Run(seconds(20));
  cell.Pause(0);
  cell.Run(seconds(40));
  // On waking nothing may be started from the lapsed term.
  EXPECT_LT(cell.Host(0).m_session.MainUntil(), cell.m_now);
  cell.Resume(0);
  cell.Run(seconds(10));
  EXPECT_EQ(cell.Host(0).m_sessionsLost, 1);
  EXPECT_EQ(cell.Host(0).m_session.Epoch(), 2U);
}

TEST(SessionKeeper, ATakerNeverActsBeforeTheHoldersTermEnded)
{
  for (int seed = 0; seed < 40; ++seed) {
    CoordinationCell cell(2, 1);
    cell.m_base.m_seed = static_cast<std::uint64_t>(seed);
    cell.Run(seconds(20) + milliseconds(173 * seed));
    const TimePoint until = cell.Host(0).m_session.MainUntil();
    cell.CutTable(0, true);
    while (cell.Host(1).m_fleet.Targets().front().m_grant.m_main.IsZero() &&
           cell.m_now < until + seconds(60)) {
      cell.Run(milliseconds(100));
    }
    EXPECT_GE(cell.m_now, until);
  }
}

TEST(SessionKeeper, AfterAnOutageHostsComeBackInBoundedBatches)
{
  CoordinationCell cell(8, 48);
  cell.Run(seconds(30));
  cell.m_faults.m_down = true;
  cell.Run(seconds(120));
  cell.m_faults.m_down = false;
  std::uint64_t most = 0;
  for (int second = 0; second < 20; ++second) {
    const std::uint64_t before = cell.m_table.Counts().m_transactions;
    cell.Run(seconds(1));
    most = std::max(most, cell.m_table.Counts().m_transactions - before);
  }
  RecordProperty("most_writes_per_second", static_cast<int>(most));
  EXPECT_LE(most, 24U);
  for (std::size_t host = 0; host < 8; ++host) {
    EXPECT_EQ(cell.Host(host).m_sessionsLost, 0);
    EXPECT_GT(cell.Host(host).m_session.MainUntil(), cell.m_now);
  }
}

} // namespace
} // namespace lycheestep
