// Tests of JobScheduler under more load than a large fleet can run: gangs of
// many widths, wide steps of small tasks and short checks, all with advice.
#include "job_flood.h"

#include <cstdlib>
#include <iostream>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The spread of the widths: the standard deviation of their logarithm.
constexpr double kWidthSpread = 0.8;

// Returns a quantity that is the same for all jobs.
Spread Always(double aValue)
{
  return Spread{ aValue, 0, aValue };
}

// Indexes into MixedWork.
constexpr std::size_t kPlans = 0;
constexpr std::size_t kRounds = 1;
constexpr std::size_t kChecks = 2;

// Plans are gangs, rounds are wide and checks are short. aLoad is the part of
// the capacity of 350 targets of 16 cores that they need together.
std::vector<FloodKind> MixedWork(double aLoad)
{
  FloodKind plan;
  plan.m_terms = MakeFloodQueue("plans",
                                1,
                                2.2,
                                seconds(1),
                                milliseconds(455),
                                std::chrono::microseconds(6500));
  plan.m_jobsPerSecond = 7.5 * aLoad;
  plan.m_width = { 20, kWidthSpread, 120 };
  plan.m_milliCores = Always(4500);
  plan.m_memoryMib = Always(8100);
  plan.m_estimateMs = Always(4000);
  plan.m_gangShare = 1;
  plan.m_fitShare = 0.25;
  FloodKind round;
  round.m_terms = MakeFloodQueue("rounds",
                                 2,
                                 4,
                                 seconds(3),
                                 milliseconds(169),
                                 std::chrono::microseconds(2340));
  round.m_jobsPerSecond = 15 * aLoad;
  round.m_width = { 25, kWidthSpread, 150 };
  round.m_milliCores = Always(1700);
  round.m_memoryMib = Always(2500);
  round.m_estimateMs = Always(3400);
  round.m_fitShare = 0.45;
  FloodKind check;
  check.m_terms = MakeFloodQueue("checks",
                                 0,
                                 1.5,
                                 milliseconds(300),
                                 milliseconds(12),
                                 std::chrono::microseconds(170));
  check.m_jobsPerSecond = 120 * aLoad;
  check.m_width = { 3, kWidthSpread, 19 };
  check.m_milliCores = Always(2500);
  check.m_memoryMib = Always(3600);
  check.m_estimateMs = Always(800);
  check.m_fitShare = 0.6;
  check.m_gangShare = 0.3;
  return { plan, round, check };
}

} // namespace

TEST(JobFlood, WidestTenthIsServedHalfAsOftenAsItsKind)
{
  constexpr std::size_t kTargets = 350;
  // The fleet is overloaded for a while, as in a burst.
  constexpr double kLoad = 1.6;
  JobFlood flood(21, kTargets);
  if (std::getenv("LYCHEESTEP_TRACE") != nullptr) {
    flood.Cell().TraceTo(&std::cout);
  }
  flood.Cell().Run(seconds(1));
  flood.Submit(MixedWork(kLoad), seconds(15));
  flood.Cell().Run(seconds(14));
  for (const std::size_t kind : { kPlans, kRounds, kChecks }) {
    const double all = flood.Served(kind, 0, 1);
    std::cout << "kind " << kind << ": served " << all
              << ", of the widest tenth " << flood.Served(kind, 0, 0.1)
              << ", of the next fifth " << flood.Served(kind, 0.1, 0.2) << "\n";
    EXPECT_GE(flood.Served(kind, 0, 0.1), all / 2) << "kind " << kind;
    EXPECT_GE(flood.Served(kind, 0.1, 0.2), all / 2) << "kind " << kind;
  }
  EXPECT_THAT(flood.Cell().Broken(), testing::IsEmpty());
}

} // namespace lycheestep
