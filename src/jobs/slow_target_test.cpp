// Tests of waves of cancellations in cells whose targets answer starts slowly,
// so that many starts wait to be sent.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <random>
#include <vector>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 6;
constexpr Duration kWavePeriod = seconds(1);
constexpr int kWaves = 12;
constexpr int kJobsPerWave = 12;

JobSpec MakeJob()
{
  return MakeSingleStepJob(6, Resources(1000, 1024, 0, 0, 0), seconds(1));
}

// Waves of jobs of which most are cancelled 0 to 2.5 s after their submission,
// on targets of which every second one takes 0.5 s to answer a start.
class CancelledWaves
{
public:
  explicit CancelledWaves(std::uint32_t aSeed)
    : m_random(aSeed)
    , m_cell(aSeed, kTargets)
  {
    m_cell.Faults().m_slowStart = milliseconds(500);
    m_cell.Run(milliseconds(300));
  }

  JobCellModel& Cell() { return m_cell; }

  // Plays all waves and calls aBetween after each with its number, then lets
  // the cell finish.
  void Play(const std::function<void(int)>& aBetween)
  {
    for (int wave = 0; wave < kWaves; ++wave) {
      SubmitWave();
      aBetween(wave);
      CancelUntil(m_cell.Now() + kWavePeriod);
    }
    CancelUntil(m_cell.Now() + seconds(30));
  }

private:
  struct PlannedCancel
  {
    Duration m_at;
    JobId m_job;
  };

  void SubmitWave()
  {
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> delay(0, 2500);
    for (int i = 0; i < kJobsPerWave; ++i) {
      const JobId job = m_cell.Submit(MakeJob());
      if (percent(m_random) < 70) {
        m_cancels.push_back(
          { m_cell.Now() + milliseconds(delay(m_random)), job });
      }
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

  std::minstd_rand m_random;
  JobCellModel m_cell;
  std::vector<PlannedCancel> m_cancels;
};

// Each test plays its waves under each of these seeds.
class SlowTargetTest : public testing::TestWithParam<std::uint32_t>
{};

INSTANTIATE_TEST_SUITE_P(Seeds, SlowTargetTest, testing::Range(1U, 6U));

} // namespace

TEST_P(SlowTargetTest, CancelledJobsNeitherStartNorGoOn)
{
  CancelledWaves waves(GetParam());
  waves.Play([](int /*aWave*/) {});
  EXPECT_TRUE(waves.Cell().AllOver());
  EXPECT_THAT(waves.Cell().Broken(), testing::IsEmpty());
}

TEST_P(SlowTargetTest, TargetsThatBeginToDrainGetNoLateStart)
{
  CancelledWaves waves(GetParam());
  waves.Play([&waves](int aWave) {
    if (aWave == 5) {
      waves.Cell().DrainTarget(1);
      waves.Cell().DrainTarget(2);
      waves.Cell().DrainTarget(3);
    }
  });
  EXPECT_TRUE(waves.Cell().AllOver());
  EXPECT_THAT(waves.Cell().Broken(), testing::IsEmpty());
}

TEST_P(SlowTargetTest, NextLeaderStopsRunsOfCancelledJobs)
{
  CancelledWaves waves(GetParam());
  waves.Play([&waves](int aWave) {
    if (aWave % 5 == 4) {
      waves.Cell().ChangeLeader();
    }
  });
  EXPECT_TRUE(waves.Cell().AllOver());
  EXPECT_THAT(waves.Cell().Broken(), testing::IsEmpty());
}

} // namespace lycheestep
