// Tests of JobScheduler under more load than a large fleet can run: gangs of
// many widths, wide steps of small tasks and short checks, all with advice.
#include "job_cell_model.h"
#include "placement.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One kind of work and how often it is submitted.
struct Kind
{
  QueueConfig m_terms;
  double m_jobsPerSecond = 0;
  double m_meanWidth = 1;
  std::uint32_t m_maxWidth = 1;
  std::int64_t m_milliCores = 0;
  std::int64_t m_memoryMib = 0;
  Duration m_workTime = Duration::zero();
  // The share of jobs whose tasks are gangs.
  double m_gangShare = 0;
  // The share of targets that may run a step of this kind.
  double m_fitShare = 1;
};

struct Submitted
{
  JobId m_job;
  std::uint32_t m_width = 0;
  // The job is of use to its caller if it ends within this time.
  Duration m_limit = Duration::zero();
};

// The spread of the widths: the standard deviation of their logarithm.
constexpr double kWidthSpread = 0.8;

// Submits work to a cell for some time and counts what ended.
class Flood
{
public:
  Flood(std::uint64_t aSeed, std::size_t aTargets)
    : m_cell(aSeed, aTargets, Resources(16000, 32768, 0, 0, 0))
    , m_random(static_cast<std::uint32_t>(aSeed))
  {
    m_cell.Advisor().m_hosts = aTargets / 8;
    m_cell.Advisor().m_validFor = milliseconds(2500);
  }

  JobCellModel& Cell() { return m_cell; }

  void Submit(const std::vector<Kind>& aKinds, Duration aTime)
  {
    constexpr Duration kStep = milliseconds(50);
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      for (std::size_t i = 0; i < aKinds.size(); ++i) {
        std::poisson_distribution<int> count(
          aKinds[i].m_jobsPerSecond *
          std::chrono::duration<double>(kStep).count());
        for (int left = count(m_random); left > 0; --left) {
          m_submitted[i].push_back(SubmitOne(aKinds[i]));
        }
      }
      m_cell.Run(kStep);
    }
  }

  // Returns the share of the kind's jobs that are done, of the widest aTop of
  // them without the widest aSkip.
  double Served(std::size_t aKind, double aSkip, double aTop)
  {
    std::vector<Submitted> jobs = m_submitted[aKind];
    std::stable_sort(jobs.begin(),
                     jobs.end(),
                     [](const Submitted& aLeft, const Submitted& aRight) {
                       return aLeft.m_width > aRight.m_width;
                     });
    const auto count = static_cast<double>(jobs.size());
    const auto first = static_cast<std::ptrdiff_t>(count * aSkip);
    const auto last = static_cast<std::ptrdiff_t>(count * (aSkip + aTop));
    const auto done = std::count_if(
      jobs.begin() + first, jobs.begin() + last, [this](const Submitted& aJob) {
        return m_cell.StateOf(aJob.m_job) == JobState::kDone &&
               m_cell.TookOf(aJob.m_job) <= aJob.m_limit;
      });
    return static_cast<double>(done) / static_cast<double>(last - first);
  }

private:
  Submitted SubmitOne(const Kind& aKind)
  {
    std::lognormal_distribution<double> width(std::log(aKind.m_meanWidth) -
                                                kWidthSpread * kWidthSpread / 2,
                                              kWidthSpread);
    JobStep step;
    step.m_count = std::clamp(
      static_cast<std::uint32_t>(width(m_random)), 1U, aKind.m_maxWidth);
    step.m_demand = Resources(aKind.m_milliCores, aKind.m_memoryMib, 0, 0, 0);
    step.m_estimate = aKind.m_workTime;
    step.m_gang = std::bernoulli_distribution(aKind.m_gangShare)(m_random);
    JobSpec spec;
    spec.m_payload = "flood";
    spec.m_steps = { step };
    m_cell.Queue() = aKind.m_terms;
    m_cell.Advisor().m_fitShareOf[aKind.m_terms.m_name] = aKind.m_fitShare;
    const Duration adviceTime = aKind.m_terms.m_advice.m_perCall +
                                aKind.m_terms.m_advice.m_perTarget * 30;
    const Duration limit =
      3 * ObjectiveOf(aKind.m_terms, step.m_estimate + adviceTime);
    return Submitted{ m_cell.Submit(spec), step.m_count, limit };
  }

  JobCellModel m_cell;
  std::minstd_rand m_random;
  std::map<std::size_t, std::vector<Submitted>> m_submitted;
};

QueueConfig MakeQueue(const char* aName,
                      std::uint32_t aPriority,
                      double aSlackFactor,
                      Duration aLatencyTarget,
                      Duration aPerCall,
                      Duration aPerTarget)
{
  QueueConfig queue;
  queue.m_name = QueueName(aName);
  queue.m_service = ServiceName("desk");
  queue.m_priority = aPriority;
  queue.m_maxAttempts = 3;
  queue.m_slackFactor = aSlackFactor;
  queue.m_latencyTarget = aLatencyTarget;
  queue.m_advice.m_required = true;
  queue.m_advice.m_perCall = aPerCall;
  queue.m_advice.m_perTarget = aPerTarget;
  queue.m_advice.m_ticketLife = milliseconds(2500);
  return queue;
}

// Indexes into MixedWork.
constexpr std::size_t kPlans = 0;
constexpr std::size_t kRounds = 1;
constexpr std::size_t kChecks = 2;

// Plans are gangs, rounds are wide and checks are short. aLoad is the part of
// the capacity of 350 targets of 16 cores that they need together.
std::vector<Kind> MixedWork(double aLoad)
{
  Kind plan;
  plan.m_terms = MakeQueue("plans",
                           1,
                           2.2,
                           seconds(1),
                           milliseconds(455),
                           std::chrono::microseconds(6500));
  plan.m_jobsPerSecond = 7.5 * aLoad;
  plan.m_meanWidth = 20;
  plan.m_maxWidth = 120;
  plan.m_milliCores = 4500;
  plan.m_memoryMib = 8100;
  plan.m_workTime = seconds(4);
  plan.m_gangShare = 1;
  plan.m_fitShare = 0.25;
  Kind round;
  round.m_terms = MakeQueue("rounds",
                            2,
                            4,
                            seconds(3),
                            milliseconds(169),
                            std::chrono::microseconds(2340));
  round.m_jobsPerSecond = 15 * aLoad;
  round.m_meanWidth = 25;
  round.m_maxWidth = 150;
  round.m_milliCores = 1700;
  round.m_memoryMib = 2500;
  round.m_workTime = milliseconds(3400);
  round.m_fitShare = 0.45;
  Kind check;
  check.m_terms = MakeQueue("checks",
                            0,
                            1.5,
                            milliseconds(300),
                            milliseconds(12),
                            std::chrono::microseconds(170));
  check.m_jobsPerSecond = 120 * aLoad;
  check.m_meanWidth = 3;
  check.m_maxWidth = 19;
  check.m_milliCores = 2500;
  check.m_memoryMib = 3600;
  check.m_workTime = milliseconds(800);
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
  Flood flood(21, kTargets);
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
