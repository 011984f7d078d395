// Tests of runs on targets that live and answer, but not where the platform's
// list says, and of stops that are lost on their way.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include <gmock/gmock.h>

#include "job_cell_model.h"
#include "single_step_job.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 6;

// The longest time that a target takes to end a run that it stops.
constexpr Duration kLongestStop = milliseconds(900);

// Longer than a cancelled run may go on.
constexpr Duration kBeyondTheBound = milliseconds(4500);

JobSpec MakeLongJob()
{
  return MakeSingleStepJob(4, Resources(4000, 1024, 0, 0, 0), seconds(60));
}

// A cell whose targets are full of long tasks.
class WrongAddressStopTest : public testing::TestWithParam<std::uint32_t>
{
protected:
  WrongAddressStopTest()
    : m_random(GetParam())
    , m_cell(GetParam(), kTargets)
  {
    m_cell.SetStopTime(kLongestStop);
  }

  void StartJobs()
  {
    constexpr int kJobs = 12;
    m_cell.Run(milliseconds(300));
    for (int i = 0; i < kJobs; ++i) {
      m_jobs.push_back(m_cell.Submit(MakeLongJob()));
    }
    m_cell.Run(seconds(4));
    for (std::size_t i = 0; i < kTargets; ++i) {
      ASSERT_GT(m_cell.RunsOn(i), 0U);
    }
  }

  void MisplaceRows()
  {
    for (std::size_t i = 1; i < kTargets; i += 2) {
      m_cell.MisplaceTargetRow(i, true);
    }
    RunUpTo(milliseconds(500));
  }

  void CancelAll()
  {
    for (const JobId& job : m_jobs) {
      m_cell.Cancel(job);
    }
  }

  void RunUpTo(milliseconds aTime)
  {
    m_cell.Run(milliseconds(std::uniform_int_distribution<milliseconds::rep>(
      0, aTime.count())(m_random)));
  }

  void ExpectAllStopped()
  {
    m_cell.Run(kBeyondTheBound);
    EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
    for (std::size_t i = 0; i < kTargets; ++i) {
      EXPECT_EQ(m_cell.RunsOn(i), 0U);
    }
  }

  std::minstd_rand m_random;
  JobCellModel m_cell;
  std::vector<JobId> m_jobs;
};

INSTANTIATE_TEST_SUITE_P(Seeds, WrongAddressStopTest, testing::Range(1U, 21U));

} // namespace

// Guards against a leader that trusts a wrong address in the list although the
// target answered at another one.
TEST_P(WrongAddressStopTest, LeaderThatStaysStopsRuns)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  MisplaceRows();
  CancelAll();
  ExpectAllStopped();
}

// Guards against a new leader that trusts a wrong address in the list although
// the former one stored another.
TEST_P(WrongAddressStopTest, NextLeaderStopsRuns)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  MisplaceRows();
  m_cell.ChangeLeader();
  RunUpTo(milliseconds(500));
  CancelAll();
  ExpectAllStopped();
}

// Guards against a leader that replaces the stored address by the wrong one.
TEST_P(WrongAddressStopTest, LastOfSeveralLeadersStopsRuns)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  MisplaceRows();
  for (int i = 0; i < 3; ++i) {
    m_cell.ChangeLeader();
    RunUpTo(milliseconds(600));
  }
  CancelAll();
  m_cell.ChangeLeader();
  ExpectAllStopped();
}

// Guards against a stop that is repeated too late for a third attempt.
TEST_P(WrongAddressStopTest, RunsAreStoppedThoughTwoStopsAreLost)
{
  ASSERT_NO_FATAL_FAILURE(StartJobs());
  m_cell.Faults().m_vanishingStops = 2;
  CancelAll();
  ExpectAllStopped();
}

} // namespace lycheestep
