// Tests that the largest jobs are served about as often as the others on a
// fleet that gets more work than it can run.
#include "job_flood.h"

#include <cmath>
#include <iostream>
#include <ostream>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What happens while the jobs come in.
enum class Trouble
{
  kNone,
  kLeaderLost,
  kPowerLost,
  kStoreAway,
  kBurst,
};

struct Case
{
  std::size_t m_targets = 0;
  Trouble m_trouble = Trouble::kNone;
  // The runs of a case differ by seed and are judged together, as a run on a
  // small fleet has few large jobs.
  std::uint64_t m_firstSeed = 0;
  std::uint64_t m_runs = 0;
};

std::ostream& operator<<(std::ostream& aOut, const Case& aCase)
{
  constexpr const char* kNames[] = {
    "no trouble", "leader lost", "power lost", "store away", "burst"
  };
  return aOut << aCase.m_targets << " targets, "
              << kNames[static_cast<std::size_t>(aCase.m_trouble)];
}

// The index of each kind in the vector that MixedWork returns.
constexpr std::size_t kPlans = 0;
constexpr std::size_t kRounds = 1;
constexpr std::size_t kChecks = 2;

// Plans are gangs, rounds are wide and checks are short. Larger fleets get
// wider jobs and more of them.
std::vector<FloodKind> MixedWork(std::size_t aTargets)
{
  // More than the fleet can run.
  constexpr double kLoad = 1.1;
  constexpr double kUsualTargets = 350;
  const double size = static_cast<double>(aTargets) / kUsualTargets;
  const double wider = std::sqrt(size);
  FloodKind plan;
  plan.m_terms = MakeFloodQueue(
    "plans", 1, 2.2, seconds(1), milliseconds(455), microseconds(6500));
  plan.m_jobsPerSecond = 5.9 * kLoad * wider;
  plan.m_steps = { 1.2, 0.4, 2 };
  plan.m_width = { 20 * wider, 0.8, 120 * wider };
  plan.m_milliCores = { 4500, 0.4, 7600 };
  plan.m_memoryMib = { 8100, 0.5, 16000 };
  plan.m_estimateMs = { 4000, 0.5, 10000 };
  plan.m_gangShare = 1;
  plan.m_fitShare = 0.25;
  FloodKind round;
  round.m_terms = MakeFloodQueue(
    "rounds", 2, 4, seconds(3), milliseconds(169), microseconds(2340));
  round.m_jobsPerSecond = 7.9 * kLoad * wider;
  round.m_steps = { 1.5, 0.4, 3.8 };
  round.m_width = { 25 * wider, 0.8, 150 * wider };
  round.m_milliCores = { 1700, 0.45, 5200 };
  round.m_memoryMib = { 2500, 0.6, 7500 };
  round.m_estimateMs = { 3400, 0.5, 8400 };
  round.m_fitShare = 0.45;
  FloodKind check;
  check.m_terms = MakeFloodQueue(
    "checks", 0, 1.5, milliseconds(300), milliseconds(12), microseconds(170));
  check.m_jobsPerSecond = 110 * kLoad * size;
  check.m_width = { 3.2, 0.8, 19 };
  check.m_milliCores = { 2500, 0.45, 7400 };
  check.m_memoryMib = { 3600, 0.6, 11000 };
  check.m_estimateMs = { 800, 0.5, 2000 };
  check.m_gangShare = 0.3;
  check.m_fitShare = 0.7;
  return { plan, round, check };
}

// Submits jobs for 41 s, with a burst of rounds and one of plans, and waits
// until what was accepted can have ended.
void Play(JobFlood& aFlood, const Case& aCase)
{
  const std::vector<FloodKind> kinds = MixedWork(aCase.m_targets);
  JobCellModel& cell = aFlood.Cell();
  cell.Run(seconds(1));
  aFlood.Submit(kinds, seconds(4));
  aFlood.Submit(kinds, seconds(5), kRounds, 2.3);
  if (aCase.m_trouble == Trouble::kLeaderLost) {
    cell.LoseLeader(seconds(1));
  } else if (aCase.m_trouble == Trouble::kPowerLost) {
    cell.LoseLeader(seconds(6)); // until a host is up again and has read all
  }
  aFlood.Submit(kinds, seconds(12));
  const double factor = aCase.m_trouble == Trouble::kBurst ? 3 : 1.7;
  aFlood.Submit(kinds, seconds(4), kPlans, factor);
  cell.Faults().m_storeDown = aCase.m_trouble == Trouble::kStoreAway;
  aFlood.Submit(kinds, seconds(4));
  cell.Faults().m_storeDown = false;
  aFlood.Submit(kinds, seconds(12));
  cell.Run(seconds(14));
}

// The number of jobs and how many of them were served.
struct Tally
{
  double m_jobs = 0;
  double m_served = 0;

  void Add(const JobFlood& aFlood, std::size_t aKind, double aSkip, double aTop)
  {
    const double jobs = static_cast<double>(aFlood.Count(aKind)) * aTop;
    m_jobs += jobs;
    m_served += jobs * aFlood.Served(aKind, aSkip, aTop);
  }
  double Share() const { return m_served / m_jobs; }
};

struct Tallies
{
  Tally m_all;
  Tally m_largestTenth;
  Tally m_nextFifth;
};

class LargeJobsServed : public testing::TestWithParam<Case>
{};

} // namespace

TEST_P(LargeJobsServed, LargestTenthAndNextFifthHalfAsOftenAsAll)
{
  Tallies tallies[kChecks + 1];
  for (std::uint64_t run = 0; run < GetParam().m_runs; ++run) {
    JobFlood flood(GetParam().m_firstSeed + run, GetParam().m_targets);
    Play(flood, GetParam());
    EXPECT_THAT(flood.Cell().Broken(), testing::IsEmpty());
    for (const std::size_t kind : { kPlans, kRounds, kChecks }) {
      tallies[kind].m_all.Add(flood, kind, 0, 1);
      tallies[kind].m_largestTenth.Add(flood, kind, 0, 0.1);
      tallies[kind].m_nextFifth.Add(flood, kind, 0.1, 0.2);
    }
  }
  for (const std::size_t kind : { kPlans, kRounds, kChecks }) {
    const double all = tallies[kind].m_all.Share();
    const double largest = tallies[kind].m_largestTenth.Share();
    const double next = tallies[kind].m_nextFifth.Share();
    std::cout << GetParam() << ", kind " << kind << ": served " << all
              << ", of the largest tenth " << largest << ", of the next fifth "
              << next << "\n";
    EXPECT_GE(largest, all / 2) << "kind " << kind;
    EXPECT_GE(next, all / 2) << "kind " << kind;
  }
}

INSTANTIATE_TEST_SUITE_P(
  SmallFleet,
  LargeJobsServed,
  testing::Values(Case{ 60, Trouble::kNone, 1, 2 },
                  Case{ 60, Trouble::kLeaderLost, 11, 2 },
                  Case{ 60, Trouble::kPowerLost, 21, 2 },
                  Case{ 60, Trouble::kStoreAway, 31, 2 },
                  Case{ 60, Trouble::kBurst, 41, 2 }));

INSTANTIATE_TEST_SUITE_P(UsualFleet,
                         LargeJobsServed,
                         testing::Values(Case{ 350, Trouble::kNone, 1, 1 }));

// Takes minutes: run it with --gtest_also_run_disabled_tests.
INSTANTIATE_TEST_SUITE_P(
  DISABLED_LargeFleet,
  LargeJobsServed,
  testing::Values(Case{ 350, Trouble::kLeaderLost, 11, 2 },
                  Case{ 350, Trouble::kStoreAway, 31, 2 },
                  Case{ 350, Trouble::kBurst, 41, 2 },
                  Case{ 1200, Trouble::kNone, 1, 1 }));

} // namespace lycheestep
