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

  // The job is done when all tasks but the first have ended.
  void FinishOtherTasks()
  {
    std::vector<EndedTask> ended;
    for (std::uint32_t i = 1; i < kTasks; ++i) {
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
  CancelManyJobs();
  TellEnd(1,
          m_started[0],
          RunEnd::kDone,
          std::vector<RunName>(m_started.begin() + 1, m_started.end()));
  Pass(); // a commit of other jobs' rows begins
  ASSERT_TRUE(m_inFlight);
  ASSERT_NO_FATAL_FAILURE(FinishOtherTasks());
  CancelManyJobs();
  constexpr int kMostCommits = 20;
  bool isForgotten = false;
  for (int i = 0; i < kMostCommits; ++i) {
    Settle();
    Pass();
    TellEnds({}, {});
    Pass();
    isForgotten = isForgotten || m_watch.m_forgetEnds > 0;
    EXPECT_TRUE(!isForgotten || ReadStored().m_state == JobState::kDone) << i;
  }
  EXPECT_TRUE(isForgotten);
}

} // namespace lycheestep
