// Tests of cancellations in cells whose targets answer stops slowly, so that
// stops for one target have to leave before the earlier ones are answered.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Every second target of a cell is slow.
constexpr std::size_t kSlowTarget = 1;

// Longer than a cancelled run may go on.
constexpr Duration kBeyondTheBound = milliseconds(4500);

constexpr std::int64_t kTaskMilliCores = 1000;
constexpr std::int64_t kTaskMegabytes = 1024;

// A job whose tasks outlast the bound.
JobSpec MakeLongJob(std::uint32_t aTasks)
{
  return MakeSingleStepJob(
    aTasks, Resources(kTaskMilliCores, kTaskMegabytes, 0, 0, 0), seconds(60));
}

// A seed, how long a slow target takes to answer a stop, and the number of runs
// that fill a target.
using SlowStopCase = std::tuple<std::uint32_t, milliseconds, std::uint32_t>;

// Fills a cell of two targets, one of them slow, with runs of long jobs.
class SlowStopTest : public testing::TestWithParam<SlowStopCase>
{
protected:
  SlowStopTest()
    : m_random(std::get<0>(GetParam()))
    , m_runs(std::get<2>(GetParam()))
    , m_cell(
        std::get<0>(GetParam()),
        2,
        Resources(m_runs * kTaskMilliCores, m_runs * kTaskMegabytes, 0, 0, 0))
  {
    m_cell.Faults().m_slowStop = std::get<1>(GetParam());
  }

  void FillTargets()
  {
    constexpr std::uint32_t kMaxTasks = 4;
    for (std::uint32_t left = 2 * m_runs; left > 0;) {
      const std::uint32_t tasks = std::min(
        left, std::uniform_int_distribution<>(1, kMaxTasks)(m_random) + 0U);
      m_jobs.push_back(m_cell.Submit(MakeLongJob(tasks)));
      left -= tasks;
    }
    m_cell.Run(seconds(4));
    ASSERT_EQ(m_cell.RunsOn(kSlowTarget), m_runs);
  }

  void CancelAll()
  {
    for (const JobId& job : m_jobs) {
      m_cell.Cancel(job);
    }
  }

  // Changes the leader up to 0.3 s after the cancellations.
  void ChangeLeaderSoon()
  {
    m_cell.Run(milliseconds(std::uniform_int_distribution<>(0, 300)(m_random)));
    m_cell.ChangeLeader();
  }

  void ExpectAllStopped()
  {
    m_cell.Run(kBeyondTheBound);
    EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
    EXPECT_EQ(m_cell.RunsOn(kSlowTarget), 0U);
    EXPECT_TRUE(m_cell.AllOver());
  }

  std::minstd_rand m_random;
  const std::uint32_t m_runs;
  JobCellModel m_cell;
  std::vector<JobId> m_jobs;
};

std::string NameOf(const testing::TestParamInfo<SlowStopCase>& aInfo)
{
  const auto& [seed, stopTime, runs] = aInfo.param;
  return "Seed" + std::to_string(seed) + "Stop" +
         std::to_string(stopTime.count()) + "Runs" + std::to_string(runs);
}

// A stop that takes 1 s counts as unanswered.
INSTANTIATE_TEST_SUITE_P(Cells,
                         SlowStopTest,
                         testing::Combine(testing::Range(1U, 21U),
                                          testing::Values(milliseconds(300),
                                                          milliseconds(500),
                                                          milliseconds(650),
                                                          milliseconds(1000)),
                                          testing::Values(2U, 8U, 32U)),
                         NameOf);

// Many more stops for a target than can be on their way to it at once.
INSTANTIATE_TEST_SUITE_P(ManyRuns,
                         SlowStopTest,
                         testing::Combine(testing::Range(1U, 4U),
                                          testing::Values(milliseconds(650)),
                                          testing::Values(60U)),
                         NameOf);

// Waves of long jobs on six targets, all cancelled 0.5 s to 2.5 s after their
// submission.
class SlowStopWavesTest : public testing::TestWithParam<std::uint32_t>
{
protected:
  SlowStopWavesTest()
    : m_random(GetParam())
    , m_cell(GetParam(), 6)
  {
    m_cell.Faults().m_slowStop = milliseconds(500);
    m_cell.Run(milliseconds(300));
  }

  void Play()
  {
    constexpr int kWaves = 10;
    for (int wave = 0; wave < kWaves; ++wave) {
      SubmitWave();
      CancelUntil(m_cell.Now() + seconds(1));
    }
    CancelUntil(m_cell.Now() + seconds(2) + kBeyondTheBound);
    EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
    EXPECT_TRUE(m_cell.AllOver());
  }

  std::minstd_rand m_random;
  JobCellModel m_cell;

private:
  struct PlannedCancel
  {
    Duration m_at;
    JobId m_job;
  };

  void SubmitWave()
  {
    constexpr int kJobs = 6;
    constexpr std::uint32_t kTasks = 6;
    std::uniform_int_distribution<> delay(500, 2500);
    for (int i = 0; i < kJobs; ++i) {
      const JobId job = m_cell.Submit(MakeLongJob(kTasks));
      m_cancels.push_back(
        { m_cell.Now() + milliseconds(delay(m_random)), job });
    }
  }

  void CancelUntil(Duration aUntil)
  {
    while (m_cell.Now() < aUntil) {
      for (auto it = m_cancels.begin(); it != m_cancels.end();) {
        if (it->m_at > m_cell.Now()) {
          ++it;
          continue;
        }
        m_cell.Cancel(it->m_job);
        it = m_cancels.erase(it);
      }
      m_cell.Run(milliseconds(10));
    }
  }

  std::vector<PlannedCancel> m_cancels;
};

INSTANTIATE_TEST_SUITE_P(Seeds, SlowStopWavesTest, testing::Range(1U, 21U));

} // namespace

// Guards against stops that wait for the answers to earlier ones.
TEST_P(SlowStopTest, CancelledRunsAreStoppedInTime)
{
  ASSERT_NO_FATAL_FAILURE(FillTargets());
  CancelAll();
  ExpectAllStopped();
}

// Guards against a new leader whose stops wait for each other.
TEST_P(SlowStopTest, NextLeaderStopsCancelledRunsInTime)
{
  ASSERT_NO_FATAL_FAILURE(FillTargets());
  CancelAll();
  ChangeLeaderSoon();
  ExpectAllStopped();
}

// Guards against stops that wait for slow holds as well.
TEST_P(SlowStopTest, SlowHoldsDelayNoStopBeyondTheBound)
{
  m_cell.Faults().m_slowHold = milliseconds(500);
  ASSERT_NO_FATAL_FAILURE(FillTargets());
  CancelAll();
  ExpectAllStopped();
}

// Guards against stops of a new leader that wait for the slow hold by which it
// takes the target, and then for each other.
TEST_P(SlowStopTest, NextLeaderStopsCancelledRunsInTimeWithSlowHolds)
{
  m_cell.Faults().m_slowHold = milliseconds(500);
  ASSERT_NO_FATAL_FAILURE(FillTargets());
  CancelAll();
  ChangeLeaderSoon();
  ExpectAllStopped();
}

// Guards against stops that gather before targets while starts leave as well.
TEST_P(SlowStopWavesTest, CancelledRunsAreStoppedInTime)
{
  Play();
}

// Guards against slow holds that delay the stops of waves.
TEST_P(SlowStopWavesTest, CancelledRunsAreStoppedInTimeWithSlowHolds)
{
  m_cell.Faults().m_slowHold = milliseconds(500);
  Play();
}

} // namespace lycheestep
