#include "coordination_cell.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Resources kTask(2000, 1024, 0, 1, 1);

bool Start(CoordinationCell& aCell, std::size_t aHost)
{
  bool started = false;
  aCell.Enter(aHost, [&](CoreContext& aContext) {
    started = aCell.Host(aHost).StartTaskAt(aContext, TargetId("t0"), kTask);
  });
  return started;
}

TEST(LeaseKeeper, RenewalsKeepATaskAliveAndItsEndIsReportedOnce)
{
  CoordinationCell cell(1, 1);
  cell.m_runTime = minutes(10);
  cell.Run(seconds(10));
  ASSERT_TRUE(Start(cell, 0));
  cell.Run(minutes(12));
  ASSERT_EQ(cell.Host(0).m_ended.size(), 1U);
  EXPECT_TRUE(cell.Host(0).m_ended.front().m_succeeded);
  EXPECT_EQ(cell.Host(0).m_tasksStarted, 1);
  EXPECT_TRUE(cell.Host(0).m_fleet.Targets().front().m_used.IsZero());
}

TEST(LeaseKeeper, ATableOutageStopsNoTask)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(10));
  ASSERT_TRUE(Start(cell, 0) || Start(cell, 1));
  cell.m_faults.m_down = true;
  cell.Run(minutes(20));
  const TargetLedger& ledger = cell.Target("t0").Ledger();
  ASSERT_EQ(ledger.m_tasks.size(), 1U);
  EXPECT_EQ(ledger.m_tasks.front().m_end, TaskEnd::kRunning);
}

TEST(LeaseKeeper, AStartWithoutAnswerIsAskedFor)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(10));
  cell.m_loseStartAnswers = true;
  ASSERT_TRUE(Start(cell, 0));
  cell.Run(seconds(1));
  EXPECT_EQ(cell.Host(0).m_tasksStarted, 1);
  EXPECT_EQ(cell.Host(0).m_leases.Running(), 1U);
}

TEST(LeaseKeeper, ATaskOnASilentTargetIsOverOnlyAfterLeaseAndMargin)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(10));
  ASSERT_TRUE(Start(cell, 0));
  cell.Run(seconds(30));
  cell.m_unreachable[TargetId("t0")] = true;
  cell.Run(minutes(5));
  ASSERT_EQ(cell.Host(0).m_lost.size(), 1U);
  const TaskRecord& task = cell.Target("t0").Ledger().m_tasks.front();
  cell.Target("t0").Advance(cell.m_now);
  EXPECT_EQ(task.m_end, TaskEnd::kLapsed);
  EXPECT_GE(cell.Host(0).m_lost.front().first, task.m_ended + seconds(5));
}

TEST(LeaseKeeper, ARestartedTargetsNeverStartedIsNotBelieved)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(10));
  cell.m_loseStartAnswers = true;
  cell.m_unreachable[TargetId("t0")] = false;
  ASSERT_TRUE(Start(cell, 0));
  cell.Run(std::chrono::microseconds(500));
  // It ran the task, died and came back before it was asked.
  cell.Target("t0").Die(cell.m_now);
  cell.Target("t0").Restart();
  cell.Run(seconds(10));
  EXPECT_TRUE(cell.Host(0).m_neverStarted.empty());
  EXPECT_EQ(cell.Host(0).m_lost.size(), 1U);
}

TEST(LeaseKeeper, APeerAdoptsADeadHostsTaskBeforeItsLeaseLapses)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(10));
  const std::size_t holder = Start(cell, 0) ? 0 : 1;
  if (holder == 1) {
    ASSERT_TRUE(Start(cell, 1));
  }
  const std::size_t peer = 1 - holder;
  cell.Run(seconds(40));
  cell.Kill(holder);
  cell.Run(seconds(45));
  const TaskRecord& task = cell.Target("t0").Ledger().m_tasks.front();
  TrackedTask adopted;
  adopted.m_attempt = task.m_attempt;
  adopted.m_target = TargetId("t0");
  adopted.m_demand = kTask;
  cell.Enter(peer, [&](CoreContext& aContext) {
    cell.Host(peer).m_leases.Adopt(aContext, adopted, cell.m_now);
  });
  cell.Run(minutes(10));
  EXPECT_EQ(task.m_end, TaskEnd::kRunning);
  EXPECT_EQ(cell.Host(peer).m_fleet.Targets().front().m_used, kTask);
}

TEST(LeaseKeeper, LateAnswersOfUnknownAttemptsAreDroppedAndCounted)
{
  CoordinationCell cell(1, 1);
  cell.Run(seconds(10));
  TaskEnded late;
  late.m_target = TargetId("t0");
  late.m_report.m_attempt = AttemptId("e0/1/99");
  late.m_report.m_state = AttemptState::kEnded;
  const std::uint64_t before = cell.Host(0).m_leases.LateAnswers();
  cell.Enter(0, [&](CoreContext& aContext) {
    cell.Host(0).m_leases.HandleTaskEnded(aContext, late);
  });
  EXPECT_EQ(cell.Host(0).m_leases.LateAnswers(), before + 1);
  EXPECT_TRUE(cell.Host(0).m_ended.empty());
}

TEST(LeaseKeeper, ADeadHostsTaskLivesByRenewalAloneWhileTheTableIsDown)
{
  CoordinationCell cell(2, 1);
  cell.Run(seconds(10));
  const std::size_t holder = Start(cell, 0) ? 0 : 1;
  if (holder == 1) {
    ASSERT_TRUE(Start(cell, 1));
  }
  cell.Host(1 - holder)
    .m_leases.SetOwnerMayBeDead(
      [](const EntryId&, std::uint64_t) { return true; });
  cell.Run(seconds(10));
  cell.m_faults.m_down = true;
  cell.Kill(holder);
  cell.Run(minutes(20));
  EXPECT_EQ(cell.Target("t0").Ledger().m_tasks.front().m_end,
            TaskEnd::kRunning);
}

} // namespace
} // namespace lycheestep
