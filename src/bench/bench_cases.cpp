#include "bench_cases.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <string>

#include "baseline_policy.h"
#include "cost_case.h"
#include "placer.h"
#include "policy_run.h"
#include "scheduler_policy.h"

namespace lycheestep::bench {

namespace {

// The targets of issue 5.
constexpr double kUrgentWait = 8.5;
constexpr double kKeptShare = 0.99;
constexpr double kUsefulShare = 0.95;
constexpr double kPackingExcess = 1.05;
constexpr double kCostSlope = 2.0;

double Percentile(const std::vector<double>& aSorted, double aPart)
{
  if (aSorted.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(std::lround(aPart * last))];
}

void AddWaits(BenchReport& aReport,
              const std::string& aName,
              const PolicyResult& aResult,
              bool aOwn)
{
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    const auto& waits = aResult.m_waits[i];
    if (waits.empty()) {
      continue;
    }
    const auto workClass = static_cast<WorkClass>(i);
    const std::string name = aName + "/wait-" + ToString(workClass);
    aReport.Add(name + "-p50", "s", Percentile(waits, 0.5));
    aReport.Add(name + "-p99", "s", Percentile(waits, 0.99));
    if (aOwn && workClass == WorkClass::kUrgent) {
      aReport.AddAtMost(name + "-max", "s", waits.back(), kUrgentWait);
    } else {
      aReport.Add(name + "-max", "s", waits.back());
    }
  }
}

void AddSeries(BenchReport& aReport,
               const std::string& aName,
               const PolicyResult& aResult)
{
  for (std::size_t i = 0; i < aResult.m_waitSeries.size(); ++i) {
    aReport.Add(aName + "/series/wait-urgent/" + std::to_string(i),
                "s",
                aResult.m_waitSeries[i]);
  }
  for (std::size_t i = 0; i < aResult.m_keptSeries.size(); ++i) {
    aReport.Add(aName + "/series/kept/" + std::to_string(i),
                "share",
                aResult.m_keptSeries[i]);
  }
}

void AddResult(BenchReport& aReport,
               const std::string& aName,
               const PolicyResult& aResult,
               Flood aFlood,
               bool aOwn)
{
  AddWaits(aReport, aName, aResult, aOwn);
  if (aOwn) {
    aReport.AddAtLeast(aName + "/kept", "share", aResult.m_kept, kKeptShare);
  } else {
    aReport.Add(aName + "/kept", "share", aResult.m_kept);
  }
  if (aFlood != Flood::kNone) {
    if (aOwn) {
      aReport.AddAtLeast(
        aName + "/useful", "share", aResult.m_useful, kUsefulShare);
    } else {
      aReport.Add(aName + "/useful", "share", aResult.m_useful);
    }
    aReport.Add(aName + "/peak-use", "share", aResult.m_peak);
  }
  aReport.Add(aName + "/most-waiting",
              "requests",
              static_cast<double>(aResult.m_mostWaiting));
  aReport.Add(
    aName + "/preempted", "tasks", static_cast<double>(aResult.m_preempted));
  if (aOwn) {
    aReport.AddAtMost(aName + "/overcommitted",
                      "targets",
                      aResult.m_overcommitted ? 1.0 : 0.0,
                      0.0);
  }
}

constexpr std::size_t kSizes = 60;
constexpr std::size_t kJobsOfSize = 10;

// Kinds of kSizes sizes, between half and one and a half of what the user's
// kinds declare: three of the largest for two of the middle and one of the
// smallest.
std::shared_ptr<const Catalogue> SizedKinds(const Catalogue& aUser)
{
  constexpr std::int64_t kPerMille = 1000;
  constexpr std::array<std::size_t, 6> kMix{ 0, 0, 0, 1, 1, 2 };
  std::vector<Resources> sizes;
  for (const WorkKind& kind : aUser.m_kinds) {
    sizes.push_back(kind.m_demand);
  }
  std::sort(sizes.begin(),
            sizes.end(),
            [](const Resources& aLeft, const Resources& aRight) {
              return aLeft.Get(ResourceKind::kMemory) >
                     aRight.Get(ResourceKind::kMemory);
            });
  std::mt19937_64 random(kSeed);
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->m_weights = aUser.m_weights;
  for (std::size_t i = 0; i < kSizes; ++i) {
    const auto factor =
      static_cast<std::int64_t>(random() % kPerMille) + kPerMille / 2;
    const Resources& declared = sizes.at(kMix.at(i % kMix.size()));
    WorkKind kind;
    kind.m_name = KindName("size" + std::to_string(i));
    kind.m_class = WorkClass::kBatch;
    kind.m_demand = declared.Scaled(factor, kPerMille);
    kind.m_demand.Set(ResourceKind::kSlots, 1);
    kind.m_demand.Set(ResourceKind::kConnections,
                      declared.Get(ResourceKind::kConnections));
    catalogue->m_kinds.push_back(kind);
  }
  return catalogue;
}

// Jobs of all sizes in random order.
std::vector<WaitingWork> JobList(const Catalogue& aCatalogue)
{
  std::vector<WaitingWork> jobs;
  for (std::size_t i = 0; i < kSizes * kJobsOfSize; ++i) {
    WaitingWork job;
    job.m_id = RequestId(std::to_string(i));
    job.m_kind = aCatalogue.m_kinds[i % kSizes].m_name;
    jobs.push_back(job);
  }
  std::mt19937_64 random(kSeed);
  std::shuffle(jobs.begin(), jobs.end(), random);
  return jobs;
}

std::size_t LowerBound(const Catalogue& aCatalogue, const Resources& aCapacity)
{
  Resources sum;
  for (const WorkKind& kind : aCatalogue.m_kinds) {
    sum += kind.m_demand.Scaled(kJobsOfSize, 1);
  }
  return static_cast<std::size_t>(std::ceil(sum.DominantShare(aCapacity)));
}

// Makes a policy for a fleet.
using PolicyMaker =
  std::function<std::unique_ptr<BenchPolicy>(const Fleet& aFleet)>;

// True when a policy starts the whole list at once on aHosts hosts.
bool StartsAll(const PolicyMaker& aMake,
               const Catalogue& aCatalogue,
               const Resources& aCapacity,
               std::size_t aHosts)
{
  Fleet fleet = WholeFleet(MakeTargets(aHosts, 6, aCapacity));
  const auto policy = aMake(fleet);
  const TimePoint now{ std::chrono::seconds(1) };
  const std::vector<WaitingWork> jobs = JobList(aCatalogue);
  for (const WaitingWork& job : jobs) {
    policy->Offer(job, now);
  }
  std::size_t started = 0;
  while (const auto start = policy->Decide(fleet, now)) {
    fleet.Take(start->m_targets.front(),
               aCatalogue.FindKind(start->m_work.m_kind)->m_demand);
    ++started;
  }
  return started == jobs.size();
}

double HostsNeeded(const PolicyMaker& aMake,
                   const Catalogue& aCatalogue,
                   const Resources& aCapacity)
{
  std::size_t hosts = LowerBound(aCatalogue, aCapacity);
  while (!StartsAll(aMake, aCatalogue, aCapacity, hosts)) {
    ++hosts;
  }
  return static_cast<double>(hosts);
}

} // namespace

void AddFloodRows(BenchReport& aReport,
                  const BenchCell& aCell,
                  Flood aFlood,
                  Duration aFloodLength,
                  bool aBaselines,
                  bool aSeries)
{
  const Workload workload = MakeWorkload(aCell, aFlood, aFloodLength, kSeed);
  const Fleet fleet = WholeFleet(workload.m_targets);
  std::vector<std::unique_ptr<BenchPolicy>> policies;
  policies.push_back(
    std::make_unique<SchedulerPolicy>(workload.m_catalogue, fleet, kSeed));
  if (aBaselines) {
    for (const Baseline baseline : { Baseline::kFirstFit,
                                     Baseline::kRandomOfTwo,
                                     Baseline::kRoundRobin }) {
      policies.push_back(std::make_unique<BaselinePolicy>(
        baseline, workload.m_catalogue, kSeed));
    }
  }
  for (std::size_t i = 0; i < policies.size(); ++i) {
    PolicyRun run(workload, *policies[i]);
    const PolicyResult result = run.Run();
    const std::string name = workload.m_name + "/" + policies[i]->Name();
    AddResult(aReport, name, result, aFlood, i == 0);
    if (aSeries) {
      AddSeries(aReport, name, result);
    }
  }
}

void AddPackingRows(BenchReport& aReport, const BenchCell& aCell)
{
  const auto kinds = SizedKinds(*aCell.m_catalogue);
  const Resources capacity = aCell.m_targets.front().m_capacity;
  const auto bound = static_cast<double>(LowerBound(*kinds, capacity));
  const std::string name = aCell.m_name + "/packing";
  aReport.Add(name + "/bound", "hosts", bound);
  double bestBaseline = std::numeric_limits<double>::max();
  for (const Baseline baseline :
       { Baseline::kFirstFit, Baseline::kRandomOfTwo, Baseline::kRoundRobin }) {
    const auto make = [&](const Fleet& /*aFleet*/) {
      return std::make_unique<BaselinePolicy>(baseline, kinds, kSeed);
    };
    const double hosts = HostsNeeded(make, *kinds, capacity);
    aReport.Add(name + "/" + BaselinePolicy(baseline, kinds, kSeed).Name(),
                "hosts",
                hosts);
    bestBaseline = std::min(bestBaseline, hosts);
  }
  const auto make = [&](const Fleet& aFleet) {
    return std::make_unique<SchedulerPolicy>(kinds, aFleet, kSeed);
  };
  const double hosts = HostsNeeded(make, *kinds, capacity);
  aReport.AddAtMost(
    name + "/lycheestep", "hosts", hosts, std::floor(kPackingExcess * bound));
  aReport.AddAtMost(name + "/lycheestep-minus-best-baseline",
                    "hosts",
                    hosts - bestBaseline,
                    -1);
}

void AddCostRows(BenchReport& aReport)
{
  double smallest = 0.0;
  for (const std::size_t targets : { 50U, 300U, 1200U }) {
    CostCase cost(targets, 0);
    const double compared = cost.PlaceMany(2000);
    aReport.Add("cost/targets-" + std::to_string(targets) + "/compared",
                "per placement",
                compared);
    smallest = targets == 50U ? compared : smallest;
    if (targets == 1200U) {
      aReport.AddAtMost(
        "cost/targets-1200-to-50", "ratio", compared / smallest, kCostSlope);
    }
  }
  for (const std::size_t waiting : { 100U, 10000U, 100000U }) {
    CostCase cost(50, waiting);
    const double compared = cost.StartMany(90);
    aReport.Add("cost/waiting-" + std::to_string(waiting) + "/compared",
                "per start",
                compared);
    smallest = waiting == 100U ? compared : smallest;
    if (waiting == 100000U) {
      aReport.AddAtMost(
        "cost/waiting-100000-to-100", "ratio", compared / smallest, kCostSlope);
    }
  }
}

} // namespace lycheestep::bench
