#include "coordination_cell.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const Resources kCapacity(16000, 32768, 0, 8, 64);
const Resources kTask(2000, 1024, 0, 1, 1);

// The usable share of all hosts of a target.
Resources UsableOf(CoordinationCell& aCell,
                   const std::vector<std::size_t>& aHosts,
                   const std::string& aTarget)
{
  Resources sum;
  for (const std::size_t host : aHosts) {
    const FleetTarget* target =
      aCell.Host(host).m_fleet.Find(TargetId(aTarget));
    sum += target->m_grant.UsableAt(aCell.m_now);
  }
  return sum;
}

Resources HeldBy(CoordinationCell& aCell, std::size_t aHost)
{
  Resources sum;
  for (const FleetTarget& target : aCell.Host(aHost).m_fleet.Targets()) {
    sum += target.m_grant.UsableAt(aCell.m_now);
  }
  return sum;
}

// The host that holds most of a target.
std::size_t HolderOf(CoordinationCell& aCell, const std::string& aTarget)
{
  std::size_t best = 0;
  std::int64_t most = -1;
  for (std::size_t host = 0; host < 3; ++host) {
    const std::int64_t share =
      UsableOf(aCell, { host }, aTarget).Get(ResourceKind::kProcessors);
    if (share > most) {
      most = share;
      best = host;
    }
  }
  return best;
}

TEST(GrantBook, HostsClaimEverythingAndNothingTwice)
{
  CoordinationCell cell(3, 12);
  cell.Run(seconds(20));
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(UsableOf(cell, { 0, 1, 2 }, "t" + std::to_string(i)), kCapacity);
  }
  for (const std::size_t host : { 0U, 1U, 2U }) {
    EXPECT_FALSE(HeldBy(cell, host).IsZero());
  }
}

TEST(GrantBook, ADeadHostsMainSharesComeBackBeforeItsReserve)
{
  CoordinationCell cell(3, 12);
  cell.Run(seconds(20));
  const Resources lost = HeldBy(cell, 0);
  cell.Kill(0);
  cell.Run(seconds(9));
  // Its own term could still run: nothing may be taken yet.
  EXPECT_EQ(HeldBy(cell, 1) + HeldBy(cell, 2), kCapacity.Scaled(12, 1) - lost);
  cell.Run(seconds(40));
  EXPECT_EQ(HeldBy(cell, 1) + HeldBy(cell, 2),
            kCapacity.Scaled(12, 1) - lost.Scaled(1, 4));
  cell.Run(minutes(31));
  EXPECT_EQ(HeldBy(cell, 1) + HeldBy(cell, 2), kCapacity.Scaled(12, 1));
}

TEST(GrantBook, TasksOfADeadHostStayCountedOnTakenShares)
{
  CoordinationCell cell(3, 6);
  cell.Run(seconds(20));
  const std::size_t dead = HolderOf(cell, "t0");
  for (int i = 0; i < 3; ++i) {
    cell.Enter(dead, [&](CoreContext& aContext) {
      EXPECT_TRUE(cell.Host(dead).StartTaskAt(aContext, TargetId("t0"), kTask));
    });
  }
  cell.Run(seconds(1));
  cell.Kill(dead);
  std::vector<std::size_t> others;
  for (const std::size_t host : { 0U, 1U, 2U }) {
    if (host != dead) {
      others.push_back(host);
    }
  }
  cell.Run(seconds(50));
  const Resources main = kCapacity - kCapacity.Scaled(1, 4);
  EXPECT_EQ(UsableOf(cell, others, "t0"), main - kTask.Scaled(3, 1));
  // Nobody renews the tasks, so their leases lapse and the room is free.
  cell.Run(seconds(120));
  EXPECT_EQ(UsableOf(cell, others, "t0"), main);
}

TEST(GrantBook, RoomMovesToTheHostThatNeedsIt)
{
  CoordinationCell cell(3, 12);
  cell.Run(seconds(20));
  cell.Enter(1, [&](CoreContext&) {
    cell.Host(1).m_grants.SetDemand(kCapacity.Scaled(9, 1), kCapacity);
  });
  const std::uint64_t writes = cell.m_table.Counts().m_transactions;
  cell.Run(seconds(20));
  EXPECT_TRUE(kCapacity.Scaled(8, 1).FitsIn(HeldBy(cell, 1)));
  EXPECT_EQ(cell.Host(1).m_fleet.LargestFree(cell.m_now), kCapacity);
  EXPECT_FALSE(HeldBy(cell, 0).IsZero());
  // 3 hosts renew about 9 times each; the moves themselves are few.
  EXPECT_LE(cell.m_table.Counts().m_transactions - writes, 80U);
}

TEST(GrantBook, AGracefulStopReleasesEverythingAtOnce)
{
  CoordinationCell cell(2, 6);
  cell.Run(seconds(20));
  bool released = false;
  cell.Enter(0, [&](CoreContext& aContext) {
    cell.Host(0).m_grants.ReleaseAll(aContext,
                                     [&](CoreContext&) { released = true; });
  });
  cell.Run(seconds(3));
  EXPECT_TRUE(released);
  cell.Run(seconds(30));
  EXPECT_EQ(HeldBy(cell, 1), kCapacity.Scaled(6, 1));
}

TEST(GrantBook, LostRepliesNeverGiveATargetAwayTwice)
{
  CoordinationCell cell(3, 12);
  for (int round = 0; round < 12; ++round) {
    cell.m_faults.m_loseReplies = round % 2 == 0;
    cell.Enter(static_cast<std::size_t>(round % 3), [&](CoreContext&) {
      cell.Host(static_cast<std::size_t>(round % 3))
        .m_grants.SetDemand(kCapacity.Scaled(10, 1), kCapacity);
    });
    for (int step = 0; step < 20; ++step) {
      cell.Run(std::chrono::milliseconds(400));
      for (int i = 0; i < 12; ++i) {
        EXPECT_TRUE(UsableOf(cell, { 0, 1, 2 }, "t" + std::to_string(i))
                      .FitsIn(kCapacity));
      }
    }
    cell.Enter(static_cast<std::size_t>(round % 3), [&](CoreContext&) {
      cell.Host(static_cast<std::size_t>(round % 3))
        .m_grants.SetDemand(Resources(), Resources());
    });
  }
}

TEST(GrantBook, ACutOffHostServesFromItsReserveOnly)
{
  CoordinationCell cell(3, 12);
  cell.Run(seconds(20));
  const Resources before = HeldBy(cell, 0);
  cell.CutTable(0, true);
  cell.Run(seconds(15));
  EXPECT_EQ(HeldBy(cell, 0), before.Scaled(1, 4));
  cell.Run(minutes(10));
  EXPECT_EQ(HeldBy(cell, 0), before.Scaled(1, 4));
  EXPECT_EQ(HeldBy(cell, 0) + HeldBy(cell, 1) + HeldBy(cell, 2),
            kCapacity.Scaled(12, 1));
  cell.CutTable(0, false);
  cell.Run(seconds(10));
  EXPECT_EQ(cell.Host(0).m_sessionsLost, 1);
  EXPECT_TRUE(before.Scaled(1, 4).FitsIn(HeldBy(cell, 0)));
}

} // namespace
} // namespace lycheestep
