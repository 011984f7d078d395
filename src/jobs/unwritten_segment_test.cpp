// Tests that ends of runs count as stored only when the store says what follows
// from them, also if their segment is not written as its job is over.
#include "segmented_job_fixture.h"

namespace lycheestep {

namespace {

// One more than a segment has, so that the job has two.
constexpr std::uint32_t kTasks = kTasksPerSegment + 1;

class UnwrittenSegmentTest : public SegmentedJobFixture
{
protected:
  UnwrittenSegmentTest()
    : SegmentedJobFixture(kTasks, 2000)
  {
  }

  std::vector<RunName> RunsFrom(std::uint32_t aFirst) const
  {
    return { m_started.begin() + aFirst, m_started.end() };
  }

  // The job is done when all tasks but the first two have ended.
  void FinishOtherTasks()
  {
    std::vector<EndedTask> ended;
    for (std::uint32_t i = 2; i < kTasks; ++i) {
      ended.push_back(EndedTask{ i + 1, m_started[i], RunEnd::kDone, "" });
    }
    TellEnds(ended, {});
    ASSERT_EQ(m_scheduler.Find(m_job)->m_state, JobState::kDone);
  }
};

} // namespace

// Guards against an end that the target may forget although no row has it: its
// segment was not written as the job was over by then, and the row that says so
// came later.
TEST_F(UnwrittenSegmentTest, EndIsKeptUntilTheEndOfTheJobIsStored)
{
  ASSERT_EQ(m_started.size(), kTasks);
  StoreAll();
  TellEnd(1, m_started[0], RunEnd::kDone, RunsFrom(1));
  StoreAll(); // and so is that the job is running
  ASSERT_EQ(ReadStored().m_state, JobState::kRunning);
  CancelManyJobs();
  TellEnd(2, m_started[1], RunEnd::kDone, RunsFrom(2));
  Pass(); // a commit of other jobs' rows begins
  ASSERT_TRUE(m_inFlight);
  ASSERT_NO_FATAL_FAILURE(FinishOtherTasks());
  CancelManyJobs();
  constexpr int kMostCommits = 5;
  bool isForgotten = false;
  for (int i = 0; i < kMostCommits; ++i) {
    Settle();
    // The next commit is slow, so that several holds are sent meanwhile.
    constexpr int kPasses = 30;
    for (int pass = 0; pass < kPasses; ++pass) {
      Pass();
      isForgotten = isForgotten || m_watch.m_forgetEnds > 1;
      TellEnds({}, {});
    }
    EXPECT_TRUE(!isForgotten || ReadStored().m_state == JobState::kDone) << i;
  }
  EXPECT_TRUE(isForgotten);
}

} // namespace lycheestep
