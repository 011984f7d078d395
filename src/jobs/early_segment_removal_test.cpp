// Tests that the segments of a job are not removed before the store says that
// the job is over.
#include "segmented_job_fixture.h"

namespace lycheestep {

namespace {

class EarlySegmentRemovalTest : public SegmentedJobFixture
{
protected:
  EarlySegmentRemovalTest()
    : SegmentedJobFixture(2, 40)
  {
  }

  // While callers cancel many other jobs, the second task fails.
  void FailWhileManyJobsChange()
  {
    CancelManyJobs();
    TellEnd(2, m_started[1], RunEnd::kFailed, {});
    ASSERT_EQ(m_scheduler.Find(m_job)->m_state, JobState::kFailed);
  }
};

} // namespace

// Guards against a failed job that the next leader finds running and without
// the ends of its tasks.
TEST_F(EarlySegmentRemovalTest, SegmentsStayUntilTheEndOfTheJobIsStored)
{
  ASSERT_EQ(m_started.size(), 2U);
  StoreAll();
  // The commit that says that the first task is done is on its way.
  TellEnd(1, m_started[0], RunEnd::kDone, { m_started[1] });
  Pass();
  ASSERT_TRUE(m_inFlight);
  ASSERT_TRUE(CommitHasProgress());
  ASSERT_NO_FATAL_FAILURE(FailWhileManyJobsChange());
  Settle();
  Pass();
  int commits = 0;
  for (; !CommitHasProgress() && commits < 10; ++commits) {
    EXPECT_THAT(m_removals, testing::IsEmpty()) << "commit " << commits;
    Settle();
    Pass();
  }
  EXPECT_GT(commits, 0);
  EXPECT_TRUE(CommitHasProgress());
}

// Guards against a done task that the next leader starts again, because the
// segments went before the state.
TEST_F(EarlySegmentRemovalTest, NextLeaderKnowsThatTheFirstTaskIsDone)
{
  ASSERT_EQ(m_started.size(), 2U);
  StoreAll();
  TellEnd(1, m_started[0], RunEnd::kDone, { m_started[1] });
  Pass();
  ASSERT_NO_FATAL_FAILURE(FailWhileManyJobsChange());
  Settle();
  Pass();
  Settle(); // and here the leader is lost
  const StoredProgress progress = ReadStored();
  const bool isOver = progress.m_state == JobState::kFailed;
  const bool knowsDone = std::any_of(
    progress.m_tasks.begin(), progress.m_tasks.end(), [](const auto& aTask) {
      return aTask.m_task.m_state == TaskState::kDone;
    });
  EXPECT_TRUE(isOver || knowsDone)
    << "state " << static_cast<int>(progress.m_state) << ", "
    << progress.m_tasks.size() << " tasks";
}

} // namespace lycheestep
