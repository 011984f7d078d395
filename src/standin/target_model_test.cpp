#include "target_model.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

class TargetModelTest : public ::testing::Test
{
protected:
  static TargetListing Listing()
  {
    TargetListing listing;
    listing.m_id = TargetId("w1");
    listing.m_capacity = Resources(4000, 8192, 1, 3, 8);
    return listing;
  }

  static TaskStart Task(const std::string& aAttempt, std::int64_t aMilliCores)
  {
    TaskStart start;
    start.m_attempt = AttemptId(aAttempt);
    start.m_request = RequestId("r-" + aAttempt);
    start.m_demand = Resources(aMilliCores, 1024, 0, 1, 1);
    start.m_leaseTerm = seconds(10);
    return start;
  }

  static TaskBehaviour Runs(Duration aFor)
  {
    TaskBehaviour behaviour;
    behaviour.m_runTime = aFor;
    behaviour.m_answer = "whole";
    return behaviour;
  }

  CheckpointStore m_checkpoints;
  TargetModel m_target{ Listing(), seconds(2), m_checkpoints };
};

TEST_F(TargetModelTest, RefusesWhatDoesNotFitInAnyResource)
{
  const TaskBehaviour runs = Runs(seconds(5));
  EXPECT_EQ(m_target.Start(Task("a", 3000), runs, kStart).m_status,
            StartStatus::kStarted);
  EXPECT_EQ(m_target.Start(Task("b", 2000), runs, kStart).m_status,
            StartStatus::kRefused);
  EXPECT_EQ(m_target.Start(Task("c", 500), runs, kStart).m_status,
            StartStatus::kStarted);
  EXPECT_EQ(m_target.Start(Task("d", 100), runs, kStart).m_status,
            StartStatus::kStarted);
  EXPECT_EQ(m_target.Start(Task("e", 100), runs, kStart).m_status,
            StartStatus::kRefused);
  EXPECT_EQ(m_target.Ledger().m_refused.size(), 2U);
  EXPECT_EQ(m_target.Ledger().m_peak, Resources(3600, 3072, 0, 3, 3));
}

TEST_F(TargetModelTest, EndsTasksInTimeAndKeepsResultsUntilForgotten)
{
  m_target.Start(Task("a", 100), Runs(milliseconds(300)), kStart);
  EXPECT_EQ(m_target.NextEnd(), kStart + milliseconds(300));
  const auto ended = m_target.Advance(kStart + seconds(1));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].m_body, "whole");
  EXPECT_EQ(ended[0].m_ranFor, milliseconds(300));
  EXPECT_TRUE(m_target.Given().IsZero());
  LeaseRenewal renewal;
  EXPECT_EQ(m_target.Renew(renewal, kStart + seconds(2)).m_tasks.size(), 1U);
  renewal.m_forget = { AttemptId("a") };
  EXPECT_TRUE(m_target.Renew(renewal, kStart + seconds(3)).m_tasks.empty());
}

TEST_F(TargetModelTest, LapsedLeaseEndsTheTask)
{
  m_target.Start(Task("a", 100), Runs(seconds(60)), kStart);
  LeaseRenewal renewal;
  renewal.m_leaseTerm = seconds(10);
  renewal.m_renew = { AttemptId("a") };
  m_target.Renew(renewal, kStart + seconds(8));
  EXPECT_TRUE(m_target.Advance(kStart + seconds(17)).empty());
  const auto ended = m_target.Advance(kStart + seconds(19));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_TRUE(ended[0].m_stopped);
  EXPECT_EQ(m_target.Ledger().m_tasks[0].m_end, TaskEnd::kLapsed);
  EXPECT_EQ(m_target.Ledger().m_tasks[0].m_ended, kStart + seconds(18));
}

TEST_F(TargetModelTest, QueriedAttemptNeverStartsAndNoneStartsTwice)
{
  EXPECT_EQ(m_target.Query(AttemptId("a"), kStart).m_state,
            AttemptState::kNeverStarted);
  const TaskBehaviour runs = Runs(seconds(1));
  EXPECT_EQ(m_target.Start(Task("a", 100), runs, kStart).m_status,
            StartStatus::kRefused);
  m_target.Start(Task("b", 100), runs, kStart);
  EXPECT_EQ(m_target.Start(Task("b", 100), runs, kStart).m_status,
            StartStatus::kStarted);
  EXPECT_EQ(m_target.Ledger().m_tasks.size(), 1U);
  EXPECT_EQ(m_target.Ledger().m_duplicates, 1U);
}

TEST_F(TargetModelTest, CheckpointSavesProgressForTheNextStart)
{
  TaskBehaviour runs = Runs(seconds(9));
  runs.m_stopTime = Duration::zero();
  m_target.Start(Task("a", 100), runs, kStart);
  m_target.Control(
    AttemptId("a"), TaskControl::kCheckpoint, kStart + seconds(4));
  EXPECT_EQ(m_target.Advance(kStart + seconds(4)).size(), 1U);
  TaskStart again = Task("a2", 100);
  again.m_request = RequestId("r-a");
  again.m_resume = true;
  m_target.Start(again, runs, kStart + seconds(5));
  EXPECT_EQ(m_target.NextEnd(), kStart + seconds(10));
}

TEST_F(TargetModelTest, UsageShowsLateAndThrottleHoldsItToTheDemand)
{
  TaskBehaviour runs = Runs(seconds(9));
  runs.m_usage = Resources(900, 1024, 0, 1, 1);
  m_target.Start(Task("a", 100), runs, kStart);
  LeaseRenewal renewal;
  const auto usageAt = [this, &renewal](Duration aAfter) {
    return m_target.Renew(renewal, kStart + aAfter).m_tasks.at(0).m_usage;
  };
  EXPECT_TRUE(usageAt(seconds(1)).IsZero());
  EXPECT_EQ(usageAt(seconds(2)).Get(ResourceKind::kProcessors), 900);
  m_target.Control(AttemptId("a"), TaskControl::kThrottle, kStart + seconds(3));
  EXPECT_EQ(usageAt(seconds(3)).Get(ResourceKind::kProcessors), 100);
}

TEST_F(TargetModelTest, LeavingByItsOwnWordRefusesAndDeathEndsEverything)
{
  const TaskBehaviour runs = Runs(seconds(9));
  m_target.Leave(false, kStart);
  EXPECT_EQ(m_target.Start(Task("a", 100), runs, kStart).m_status,
            StartStatus::kStarted);
  m_target.Leave(true, kStart + seconds(1));
  const StartReply refused =
    m_target.Start(Task("b", 100), runs, kStart + seconds(1));
  EXPECT_EQ(refused.m_status, StartStatus::kRefused);
  EXPECT_TRUE(refused.m_leaving);
  EXPECT_EQ(m_target.LeavingSince(), kStart);
  m_target.Die(kStart + seconds(2));
  EXPECT_EQ(m_target.Ledger().m_tasks[0].m_end, TaskEnd::kDied);
  EXPECT_TRUE(m_target.Given().IsZero());
}

} // namespace
} // namespace lycheestep
