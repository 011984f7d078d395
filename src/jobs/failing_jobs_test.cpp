// Guards against quarantine that keeps accepted work from free capacity: jobs
// whose tasks always fail are played beside ordinary ones, on few and many
// targets. Found by an independent review: 30 failing tasks of one job kept all
// 4 targets of a service idle for 24 s.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <cstdint>
#include <iostream>
#include <ostream>
#include <string>
#include <vector>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPlayed = seconds(30);
constexpr Duration kOrdinaryPeriod = milliseconds(500);

// What happens to the cell in the middle of the time.
enum class Change
{
  kNone,
  kLeader,
  kTargetRestarts,
};

struct Case
{
  std::string m_name;
  std::size_t m_targets = 0;
  // The jobs whose tasks all fail: this many at the same time, once a period.
  JobSpec m_failing;
  std::uint32_t m_jobs = 1;
  Duration m_period = kPlayed;
  std::uint32_t m_maxAttempts = 2;
  Change m_change = Change::kNone;
};

std::ostream& operator<<(std::ostream& aOut, const Case& aCase)
{
  return aOut << aCase.m_name << " on " << aCase.m_targets << " targets";
}

JobSpec Tasks(std::uint32_t aCount)
{
  return MakeSingleStepJob(
    aCount, Resources(2000, 256, 0, 0, 0), milliseconds(600));
}

JobSpec Gang(std::uint32_t aCount)
{
  JobSpec spec = Tasks(aCount);
  spec.m_steps[0].m_gang = true;
  return spec;
}

JobSpec LongRunning(std::uint32_t aCount)
{
  JobSpec spec = Tasks(aCount);
  spec.m_steps[0].m_longRunning = true;
  spec.m_steps[0].m_estimate = seconds(2);
  return spec;
}

// A cell with ordinary jobs of one task, one each half second, and the failing
// jobs of a case.
class FailingJobs : public testing::TestWithParam<Case>
{
protected:
  FailingJobs()
    : m_cell(1, GetParam().m_targets, Resources(16000, 16384, 0, 0, 0))
  {
    m_cell.Queue().m_maxAttempts = GetParam().m_maxAttempts;
    m_cell.EnableWaitingWorkCheck();
    m_cell.Run(milliseconds(300));
  }

  void Play()
  {
    const Case& test = GetParam();
    Duration sinceFailing = test.m_period;
    for (Duration played{ 0 }; played < kPlayed; played += kOrdinaryPeriod) {
      m_cell.Submit(Tasks(1));
      if (sinceFailing >= test.m_period) {
        SubmitFailing();
        sinceFailing = Duration::zero();
      }
      if (played == kPlayed / 2) {
        Apply(test.m_change);
      }
      m_cell.Run(kOrdinaryPeriod);
      sinceFailing += kOrdinaryPeriod;
    }
  }

  void SubmitFailing()
  {
    for (std::uint32_t i = 0; i < GetParam().m_jobs; ++i) {
      m_cell.FailJob(m_cell.Submit(GetParam().m_failing));
    }
  }

  void Apply(Change aChange)
  {
    if (aChange == Change::kLeader) {
      m_cell.ChangeLeader();
    } else if (aChange == Change::kTargetRestarts) {
      m_cell.RestartTarget(0);
    }
  }

  JobCellModel m_cell;
};

std::vector<Case> Cases()
{
  std::vector<Case> cases;
  for (const std::size_t targets : { 1U, 2U, 4U, 48U }) {
    const auto wide = static_cast<std::uint32_t>(targets * 8);
    cases.push_back({ "one wide job", targets, Tasks(wide) });
    cases.push_back(
      { "a wide job each 6 s", targets, Tasks(wide), 1, seconds(6), 5 });
    cases.push_back({ "8 wide jobs at once", targets, Tasks(24), 8 });
    cases.push_back({ "many jobs of one task and one attempt",
                      targets,
                      Tasks(1),
                      static_cast<std::uint32_t>(targets * 2),
                      seconds(1),
                      1 });
    cases.push_back({ "gangs", targets, Gang(6), 1, milliseconds(1500) });
    cases.push_back(
      { "a job that runs until it is cancelled", targets, LongRunning(6) });
    cases.push_back({ "six jobs that run until they are cancelled",
                      targets,
                      LongRunning(1),
                      6 });
    cases.push_back({ "a new leader",
                      targets,
                      Tasks(wide),
                      1,
                      seconds(5),
                      2,
                      Change::kLeader });
    cases.push_back({ "a restarted target",
                      targets,
                      Tasks(wide),
                      1,
                      seconds(5),
                      2,
                      Change::kTargetRestarts });
  }
  return cases;
}

} // namespace

TEST_P(FailingJobs, KeepNoAcceptedWorkFromFreeCapacity)
{
  Play();
  EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(Kinds, FailingJobs, testing::ValuesIn(Cases()));

namespace {

// A cell in which one target fails all that it gets. It seems idle, and would
// get most of the work if it were not avoided.
class FailingTargets : public testing::TestWithParam<std::size_t>
{};

} // namespace

TEST_P(FailingTargets, GetLittleWorkAndFailNoJob)
{
  const std::size_t targets = GetParam();
  JobCellModel cell(1, targets, Resources(16000, 16384, 0, 0, 0));
  cell.Faults().m_runsFailByChance = false;
  cell.EnableWaitingWorkCheck();
  cell.FailOnTarget(0);
  cell.Run(milliseconds(300));
  std::vector<JobId> jobs;
  for (int i = 0; i < 60; ++i) {
    jobs.push_back(cell.Submit(Tasks(1)));
    cell.Run(kOrdinaryPeriod);
  }
  cell.Run(seconds(10));
  EXPECT_THAT(cell.Broken(), testing::IsEmpty());
  std::cout << cell.StartsOn(0) << " of " << cell.Starts() << " starts\n";
  EXPECT_LT(cell.StartsOn(0), jobs.size() / 4);
  for (const JobId& job : jobs) {
    EXPECT_EQ(cell.StateOf(job), JobState::kDone) << job.Text();
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, FailingTargets, testing::Values(2U, 4U, 48U));

} // namespace lycheestep
