#include "usage_estimator.h"

#include <algorithm>
#include <cmath>

namespace lycheestep {

namespace {

// Buckets for each doubling of the ratio.
constexpr double kPerDoubling = 8.0;
// The bucket of ratio 1.
constexpr double kMiddle = 32.0;

// Weights are scaled back when they grow beyond this.
constexpr double kMostWeight = 1e9;

double Ratio(std::int64_t aReal, std::int64_t aDeclared)
{
  return aDeclared > 0
           ? static_cast<double>(aReal) / static_cast<double>(aDeclared)
           : 1.0;
}

std::int64_t Enlarged(std::int64_t aDeclared, double aRatio)
{
  const double factor = std::max(1.0, aRatio);
  return std::llround(static_cast<double>(aDeclared) * factor);
}

bool Over(const WorkKind& aKind,
          const TaskReport& aReport,
          ResourceKind aResource)
{
  const std::int64_t declared = aKind.m_demand.Get(aResource);
  const std::int64_t given =
    std::max(declared, aReport.m_demand.Get(aResource));
  return given > 0 && Ratio(aReport.m_usage.Get(aResource), given) >
                        UsageEstimator::kOverrun;
}

} // namespace

void UsageEstimator::Ratios::Add(double aRatio, double aWeight)
{
  const double position =
    kMiddle + kPerDoubling * std::log2(std::max(aRatio, 1e-3));
  const double last = static_cast<double>(kBuckets - 1);
  const double bucket = std::clamp(std::ceil(position), 0.0, last);
  m_weights[static_cast<std::size_t>(bucket)] += aWeight;
}

void UsageEstimator::Ratios::Scale(double aFactor)
{
  for (double& weight : m_weights) {
    weight *= aFactor;
  }
}

double UsageEstimator::Ratios::Quantile() const
{
  double all = 0.0;
  for (const double weight : m_weights) {
    all += weight;
  }
  double below = 0.0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    below += m_weights[i];
    if (below >= kQuantile * all) {
      return std::exp2((static_cast<double>(i) - kMiddle) / kPerDoubling);
    }
  }
  return 1.0;
}

void UsageEstimator::TaskEnded(const WorkKind& aKind, const TaskReport& aReport)
{
  Kind& kind = m_kinds[aKind.m_name];
  kind.m_weight /= kFading;
  if (kind.m_weight > kMostWeight) {
    kind.m_processors.Scale(1.0 / kind.m_weight);
    kind.m_memory.Scale(1.0 / kind.m_weight);
    kind.m_runTime.Scale(1.0 / kind.m_weight);
    kind.m_weight = 1.0;
  }
  const auto ratio = [&](ResourceKind aResource) {
    return Ratio(aReport.m_usage.Get(aResource), aKind.m_demand.Get(aResource));
  };
  kind.m_processors.Add(ratio(ResourceKind::kProcessors), kind.m_weight);
  kind.m_memory.Add(ratio(ResourceKind::kMemory), kind.m_weight);
  // A task that was stopped tells nothing about how long it would have run.
  if (!aReport.m_stopped) {
    kind.m_runTime.Add(Ratio(aReport.m_ranFor.count(), aKind.m_runTime.count()),
                       kind.m_weight);
  }
  kind.m_tasks = std::min(kind.m_tasks + 1, kLeastTasks);
}

void UsageEstimator::Forget(const KindName& aKind)
{
  m_kinds.erase(aKind);
}

UsageEstimate UsageEstimator::Estimate(const WorkKind& aKind,
                                       const Resources& aMost) const
{
  UsageEstimate estimate{ aKind.m_demand, aKind.m_runTime };
  auto found = m_kinds.find(aKind.m_name);
  if (found == m_kinds.end() || found->second.m_tasks < kLeastTasks) {
    return estimate;
  }
  const Kind& kind = found->second;
  const auto enlarge = [&](ResourceKind aResource, const Ratios& aRatios) {
    const std::int64_t declared = aKind.m_demand.Get(aResource);
    const std::int64_t most = std::max(declared, aMost.Get(aResource));
    estimate.m_demand.Set(
      aResource, std::min(most, Enlarged(declared, aRatios.Quantile())));
  };
  enlarge(ResourceKind::kProcessors, kind.m_processors);
  enlarge(ResourceKind::kMemory, kind.m_memory);
  estimate.m_runTime = std::chrono::duration_cast<Duration>(
    aKind.m_runTime * kind.m_runTime.Quantile());
  return estimate;
}

OverrunVerdict UsageEstimator::Judge(const WorkKind& aKind,
                                     const TaskReport& aReport,
                                     bool aPromised)
{
  if (aPromised) {
    return OverrunVerdict::kNone;
  }
  const bool late = aKind.m_runTimeLimit > Duration::zero() &&
                    aReport.m_ranFor > aKind.m_runTimeLimit;
  if (late || Over(aKind, aReport, ResourceKind::kMemory)) {
    return OverrunVerdict::kStop;
  }
  return Over(aKind, aReport, ResourceKind::kProcessors)
           ? OverrunVerdict::kThrottle
           : OverrunVerdict::kNone;
}

} // namespace lycheestep
