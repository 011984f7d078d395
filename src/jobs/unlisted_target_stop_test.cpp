// Tests of runs that a former leader sent to targets which live and answer, but
// which the platform's list no longer has when the next leader begins.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 6;

// Longer than a cancelled run may go on.
constexpr Duration kBeyondTheBound = milliseconds(4500);

// The jobs of a cell, and the targets whose rows go away.
struct CellShape
{
  const char* m_name = "";
  std::size_t m_jobs = 1;
  std::uint32_t m_tasks = 1;
  std::int64_t m_milliCores = 1000;
  bool m_gang = false;
  // The rows of all targets go away instead of those of every second one. The
  // end of one member ends the others of its gang wherever they run.
  bool m_allAway = false;
};

void PrintTo(const CellShape& aShape, std::ostream* aStream)
{
  *aStream << aShape.m_name;
}

const std::vector<CellShape>& Shapes()
{
  static const std::vector<CellShape> kShapes = {
    { "SingleTasks", 24, 1, 4000, false, false },
    { "WideJobs", 3, 12, 4000, false, false },
    { "AllRowsAway", 8, 4, 4000, false, true },
    { "Gangs", 4, 4, 8000, true, true },
    { "WideGang", 1, 12, 16000, true, true },
  };
  return kShapes;
}

// A job whose tasks outlast the bound and the leases of a former leader.
JobSpec MakeLongJob(const CellShape& aShape)
{
  JobSpec spec = MakeSingleStepJob(
    aShape.m_tasks, Resources(aShape.m_milliCores, 1024, 0, 0, 0), seconds(60));
  spec.m_steps.front().m_gang = aShape.m_gang;
  return spec;
}

using UnlistedCase = std::tuple<std::uint32_t, CellShape>;

// Plays a cell under a seed until its jobs run, and takes rows of targets away.
class UnlistedTargetStopTest : public testing::TestWithParam<UnlistedCase>
{
protected:
  UnlistedTargetStopTest()
    : m_shape(std::get<1>(GetParam()))
    , m_random(std::get<0>(GetParam()))
    , m_cell(std::get<0>(GetParam()), kTargets)
  {
  }

  void StartJobs()
  {
    m_cell.Run(milliseconds(300));
    for (std::size_t i = 0; i < m_shape.m_jobs; ++i) {
      m_jobs.push_back(m_cell.Submit(MakeLongJob(m_shape)));
    }
    m_cell.Run(seconds(2));
    ASSERT_EQ(RunsOnAll(), m_shape.m_jobs * m_shape.m_tasks);
  }

  void HideRows()
  {
    std::size_t runs = 0;
    for (std::size_t i = 0; i < kTargets; ++i) {
      if (m_shape.m_allAway || i % 2 == 1) {
        m_cell.HideTargetRow(i, true);
        runs += m_cell.RunsOn(i);
      }
    }
    ASSERT_GT(runs, 0U);
    m_cell.Run(milliseconds(300));
  }

  void CancelAll()
  {
    for (const JobId& job : m_jobs) {
      m_cell.Cancel(job);
    }
  }

  // Lets up to aTime pass.
  void RunUpTo(milliseconds aTime)
  {
    m_cell.Run(milliseconds(std::uniform_int_distribution<milliseconds::rep>(
      0, aTime.count())(m_random)));
  }

  bool AllCancelledInStore() const
  {
    return std::all_of(m_jobs.begin(), m_jobs.end(), [this](const JobId& aJob) {
      return m_cell.StateOf(aJob) == JobState::kCancelled;
    });
  }

  // Lets time pass until the ends of all jobs are stored, and no longer.
  void WaitUntilEndsAreStored()
  {
    for (int i = 0; i < 15 && !AllCancelledInStore(); ++i) {
      m_cell.Run(milliseconds(10));
    }
    ASSERT_TRUE(AllCancelledInStore());
    ASSERT_GT(RunsOnAll(), 0U);
  }

  void ExpectAllStopped()
  {
    m_cell.Run(kBeyondTheBound);
    EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
    EXPECT_EQ(RunsOnAll(), 0U);
    EXPECT_TRUE(AllCancelledInStore());
  }

  std::size_t RunsOnAll() const
  {
    std::size_t runs = 0;
    for (std::size_t i = 0; i < kTargets; ++i) {
      runs += m_cell.RunsOn(i);
    }
    return runs;
  }

  const CellShape m_shape;
  std::minstd_rand m_random;
  JobCellModel m_cell;
  std::vector<JobId> m_jobs;
};

std::string NameOf(const testing::TestParamInfo<UnlistedCase>& aInfo)
{
  const auto& [seed, shape] = aInfo.param;
  return shape.m_name + std::to_string(seed);
}

INSTANTIATE_TEST_SUITE_P(Cells,
                         UnlistedTargetStopTest,
                         testing::Combine(testing::Range(1U, 21U),
                                          testing::ValuesIn(Shapes())),
                         NameOf);

} // namespace

TEST_P(UnlistedTargetStopTest, LeaderThatStaysStopsRuns)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  ASSERT_NO_FATAL_FAILURE(HideRows());
  CancelAll();
  ExpectAllStopped();
}

// Guards against a cancellation that only the next leader learns of.
TEST_P(UnlistedTargetStopTest, NextLeaderStopsRunsCancelledBefore)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  ASSERT_NO_FATAL_FAILURE(HideRows());
  CancelAll();
  m_cell.ChangeLeader();
  ExpectAllStopped();
}

// Guards against a leader that knows the run's target, but not its address.
TEST_P(UnlistedTargetStopTest, NextLeaderStopsRunsCancelledAfterwards)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  ASSERT_NO_FATAL_FAILURE(HideRows());
  m_cell.ChangeLeader();
  RunUpTo(milliseconds(500));
  CancelAll();
  ExpectAllStopped();
}

// Guards against a cancellation while nobody leads.
TEST_P(UnlistedTargetStopTest, NextLeaderStopsRunsCancelledWithoutLeader)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  ASSERT_NO_FATAL_FAILURE(HideRows());
  m_cell.LoseLeader(milliseconds(500));
  RunUpTo(milliseconds(400));
  CancelAll();
  ExpectAllStopped();
}

// Guards against an address that only the leader after the sender can know.
TEST_P(UnlistedTargetStopTest, LastOfSeveralLeadersStopsRuns)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  ASSERT_NO_FATAL_FAILURE(HideRows());
  for (int i = 0; i < 3; ++i) {
    m_cell.ChangeLeader();
    RunUpTo(milliseconds(300));
  }
  CancelAll();
  for (int i = 0; i < 3; ++i) {
    m_cell.ChangeLeader();
    RunUpTo(milliseconds(300));
  }
  ExpectAllStopped();
}

// Guards against runs of a job that is over in the store before all its stops
// have left.
TEST_P(UnlistedTargetStopTest, NextLeaderStopsRunsOfJobWhoseEndIsStored)
{
  m_cell.Faults().m_slowStop = milliseconds(300);
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  ASSERT_NO_FATAL_FAILURE(HideRows());
  CancelAll();
  ASSERT_NO_FATAL_FAILURE(WaitUntilEndsAreStored());
  m_cell.ChangeLeader();
  ExpectAllStopped();
}

// Guards against runs of a job that a leader ended before it had taken their
// targets.
TEST_P(UnlistedTargetStopTest, NextLeaderStopsRunsOfJobEndedBeforeAnyStop)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  m_cell.Faults().m_slowHold = milliseconds(500);
  m_cell.ChangeLeader();
  ASSERT_NO_FATAL_FAILURE(HideRows());
  CancelAll();
  ASSERT_NO_FATAL_FAILURE(WaitUntilEndsAreStored());
  m_cell.ChangeLeader();
  ExpectAllStopped();
}

} // namespace lycheestep
