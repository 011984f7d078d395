#include "job_flood.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "placement.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;

// A job that ends within this many times its objective is of use.
constexpr int kUseFactor = 3;

// A job's objective allows for one call of the advisor about so many targets.
constexpr int kTargetsInObjective = 30;

// No step needs more than this part of the targets that may run it, so that
// every job can run.
constexpr double kWidestPart = 0.5;
constexpr std::size_t kMostTasksPerTarget = 100;

constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::size_t kTargetsPerHost = 8;

} // namespace

QueueConfig MakeFloodQueue(const char* aName,
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
  queue.m_maxAttempts = kMaxAttempts;
  queue.m_slackFactor = aSlackFactor;
  queue.m_latencyTarget = aLatencyTarget;
  queue.m_advice.m_required = true;
  queue.m_advice.m_perCall = aPerCall;
  queue.m_advice.m_perTarget = aPerTarget;
  return queue;
}

JobFlood::JobFlood(std::uint64_t aSeed, const FloodFleet& aFleet)
  : m_fleet(aFleet)
  , m_cell(aSeed, aFleet.m_targets, aFleet.m_capacity)
  , m_random(static_cast<std::uint32_t>(aSeed))
{
  m_cell.Advisor().m_hosts = aFleet.m_targets / kTargetsPerHost;
  m_cell.Advisor().m_validFor = aFleet.m_permissionLife;
}

void JobFlood::Submit(const std::vector<FloodKind>& aKinds,
                      Duration aTime,
                      std::size_t aBurst,
                      double aFactor)
{
  constexpr Duration kStep = milliseconds(50);
  const double seconds = std::chrono::duration<double>(kStep).count();
  for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
    for (std::size_t i = 0; i < aKinds.size(); ++i) {
      const double factor = i == aBurst ? aFactor : 1;
      std::poisson_distribution<int> count(aKinds[i].m_jobsPerSecond * seconds *
                                           factor);
      for (int left = count(m_random); left > 0; --left) {
        m_submitted[i].push_back(SubmitOne(aKinds[i]));
      }
    }
    m_cell.Run(kStep);
  }
}

double JobFlood::Served(std::size_t aKind, double aSkip, double aTop) const
{
  std::vector<Submitted> jobs = m_submitted.at(aKind);
  std::stable_sort(jobs.begin(),
                   jobs.end(),
                   [](const Submitted& aLeft, const Submitted& aRight) {
                     return aLeft.m_work > aRight.m_work;
                   });
  const auto count = static_cast<double>(jobs.size());
  const auto first = static_cast<std::ptrdiff_t>(count * aSkip);
  const auto last = static_cast<std::ptrdiff_t>(count * (aSkip + aTop));
  const auto served = std::count_if(
    jobs.begin() + first, jobs.begin() + last, [this](const Submitted& aJob) {
      return m_cell.StateOf(aJob.m_job) == JobState::kDone &&
             m_cell.TookOf(aJob.m_job) <= aJob.m_limit;
    });
  return static_cast<double>(served) / static_cast<double>(last - first);
}

std::size_t JobFlood::Count(std::size_t aKind) const
{
  const auto found = m_submitted.find(aKind);
  return found != m_submitted.end() ? found->second.size() : 0;
}

double JobFlood::Draw(const Spread& aSpread)
{
  const double spread = aSpread.m_spread;
  std::lognormal_distribution<double> draw(
    std::log(aSpread.m_mean) - spread * spread / 2, spread);
  return std::min(draw(m_random), aSpread.m_max);
}

JobFlood::Submitted JobFlood::SubmitOne(const FloodKind& aKind)
{
  JobStep step;
  const auto cores = static_cast<std::int64_t>(Draw(aKind.m_milliCores));
  const auto memory = static_cast<std::int64_t>(Draw(aKind.m_memoryMib));
  step.m_demand = Resources(cores, memory, 0, 0, 0);
  const double room = static_cast<double>(
    CountThatFit(step.m_demand, m_fleet.m_capacity, kMostTasksPerTarget));
  const double widest = static_cast<double>(m_fleet.m_targets) *
                        aKind.m_fitShare * room * kWidestPart;
  const double width = std::min(Draw(aKind.m_width), widest);
  step.m_count = static_cast<std::uint32_t>(std::max(width, 1.0));
  step.m_estimate = milliseconds(std::lround(Draw(aKind.m_estimateMs)));
  step.m_gang = std::bernoulli_distribution(aKind.m_gangShare)(m_random);
  const auto steps =
    static_cast<std::uint32_t>(std::lround(Draw(aKind.m_steps)));
  JobSpec spec;
  spec.m_payload = "flood";
  for (std::uint32_t i = 0; i < std::max(steps, 1U); ++i) {
    spec.m_steps.push_back(step);
    step.m_after = { i };
  }
  m_cell.Queue() = aKind.m_terms;
  m_cell.Queue().m_advice.m_ticketLife = m_fleet.m_permissionLife;
  m_cell.Advisor().m_fitShareOf[aKind.m_terms.m_name] = aKind.m_fitShare;
  const auto length = static_cast<std::int64_t>(spec.m_steps.size());
  const Duration adviceTime =
    aKind.m_terms.m_advice.m_perCall +
    aKind.m_terms.m_advice.m_perTarget * kTargetsInObjective;
  const Duration chain = (step.m_estimate + adviceTime) * length;
  Submitted submitted;
  submitted.m_work = static_cast<double>(length * step.m_count * cores) *
                     static_cast<double>(ToMilliseconds(step.m_estimate));
  submitted.m_limit = kUseFactor * ObjectiveOf(aKind.m_terms, chain);
  submitted.m_job = m_cell.Submit(spec);
  return submitted;
}

} // namespace lycheestep
