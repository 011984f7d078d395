// Tests that the segments of an occurrence are not removed before the store
// says that the occurrence is done.
#include "segmented_job_fixture.h"

namespace lycheestep {

namespace {

constexpr std::uint32_t kTasks = 20;

// The number of the first end after those of AllButTheLastEnd.
constexpr std::uint64_t kNextEnd = 2 * kTasks - 1;

class EarlyOccurrenceRemovalTest : public SegmentedJobFixture
{
protected:
  EarlyOccurrenceRemovalTest()
    : SegmentedJobFixture(kTasks, 1000, 3)
  {
  }

  std::vector<RunName> RunsOf(std::uint32_t aOccurrence) const
  {
    std::vector<RunName> runs;
    for (const RunName& run : m_started) {
      if (run.m_task.m_step.m_occurrence == aOccurrence) {
        runs.push_back(run);
      }
    }
    return runs;
  }

  // The ends of the first two occurrences but for their last tasks.
  std::vector<EndedTask> AllButTheLastEnd() const
  {
    std::vector<EndedTask> ended;
    for (const std::uint32_t occurrence : { 0U, 1U }) {
      std::vector<RunName> runs = RunsOf(occurrence);
      runs.pop_back();
      for (const RunName& run : runs) {
        ended.push_back(EndedTask{ ended.size() + 1, run, RunEnd::kDone, "" });
      }
    }
    return ended;
  }
};

} // namespace

// Guards against done tasks of an occurrence that the next leader starts again,
// because their segments went before the row that says that it is done.
TEST_F(EarlyOccurrenceRemovalTest, NextLeaderKnowsThatTheOccurrenceIsDone)
{
  ASSERT_EQ(m_started.size(), 3 * kTasks);
  StoreAll();
  const RunName lastOfFirst = RunsOf(0).back();
  const RunName lastOfSecond = RunsOf(1).back();
  std::vector<RunName> running = RunsOf(2);
  running.push_back(lastOfFirst);
  running.push_back(lastOfSecond);
  TellEnds(AllButTheLastEnd(), running);
  StoreAll();
  // The first occurrence is done. The row that says so is on its way.
  running = RunsOf(2);
  running.push_back(lastOfSecond);
  TellEnd(kNextEnd, lastOfFirst, RunEnd::kDone, running);
  Pass();
  ASSERT_TRUE(CommitHasProgress());
  // The second one is done while many other rows wait.
  CancelManyJobs();
  TellEnd(kNextEnd + 1, lastOfSecond, RunEnd::kDone, RunsOf(2));
  Settle();
  Pass();
  Settle(); // and here the leader is lost
  const StoredProgress progress = ReadStored();
  const auto known = std::count_if(
    progress.m_tasks.begin(), progress.m_tasks.end(), [](const auto& aTask) {
      return aTask.m_name.m_step.m_occurrence == 1;
    });
  EXPECT_GE(progress.m_occurrencesDone, 1U);
  EXPECT_TRUE(progress.m_occurrencesDone == 2 || known == kTasks)
    << progress.m_occurrencesDone << " occurrences done, " << known
    << " tasks of the second one known";
}

} // namespace lycheestep
