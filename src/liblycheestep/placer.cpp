#include "placer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lycheestep {

namespace {

// "lacks 2000 processors, 1 slots": what aDemand misses in aFree.
std::string Missing(const Resources& aDemand, const Resources& aFree)
{
  const Resources missing = Resources::Max(Resources(), aDemand - aFree);
  return "lacks " + missing.Describe();
}

// Why a target takes no work at all; empty when it does.
std::string WhyClosed(const FleetTarget& aTarget)
{
  if (aTarget.m_leaving) {
    return "is leaving";
  }
  if (aTarget.m_ejected) {
    return "is ejected for its failures";
  }
  if (aTarget.m_atCallLimit) {
    return "is at its call limit";
  }
  return {};
}

void AddRejected(Placement& aPlacement,
                 const FleetTarget& aTarget,
                 const Resources& aDemand,
                 const Resources& aFree)
{
  if (aPlacement.m_rejected.size() >= Placer::kMaxRejected) {
    return;
  }
  std::string lacks = WhyClosed(aTarget);
  if (lacks.empty()) {
    lacks = Missing(aDemand, aFree);
  }
  aPlacement.m_rejected.push_back({ aTarget.m_listing.m_id, std::move(lacks) });
}

// How well a demand lies along what is free: 1 when a target has left exactly
// what is asked for in the same proportions, near 0 when it would strand one
// resource.
double Alignment(const Resources& aDemand,
                 const Resources& aFree,
                 const Resources& aCapacity)
{
  double product = 0.0;
  double demandSquare = 0.0;
  double freeSquare = 0.0;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    const auto whole = static_cast<double>(aCapacity.Get(kind));
    if (whole <= 0.0) {
      continue;
    }
    const double demand = static_cast<double>(aDemand.Get(kind)) / whole;
    const double free = static_cast<double>(aFree.Get(kind)) / whole;
    product += demand * free;
    demandSquare += demand * demand;
    freeSquare += free * free;
  }
  const double squares = demandSquare * freeSquare;
  return squares > 0.0 ? product * product / squares : 0.0;
}

// Higher is better.
double Score(const FleetTarget& aTarget,
             const Resources& aDemand,
             const Resources& aFree,
             const CellWeights& aWeights)
{
  const Resources& capacity = aTarget.m_listing.m_capacity;
  const double leftFree = (aFree - aDemand).DominantShare(capacity);
  const double aligned = Alignment(aDemand, aFree, capacity);
  return aWeights.m_waiting * leftFree + aWeights.m_packing * (1.0 - leftFree) +
         aligned / 4;
}

} // namespace

Placer::Placer(std::size_t aSample)
  : m_sample(std::max<std::size_t>(1, aSample))
{
}

Placement Placer::Choose(const Fleet& aFleet,
                         const WorkKind& aKind,
                         const Resources& aDemand,
                         const CellWeights& aWeights,
                         TimePoint aNow,
                         RandomGenerator& aRandom) const
{
  Placement placement;
  const std::vector<FleetTarget>& targets = aFleet.Targets();
  if (targets.empty()) {
    placement.m_why = "this host knows no target";
    return placement;
  }
  const std::size_t start = aRandom() % targets.size();
  double best = -1.0;
  std::size_t fitting = 0;
  for (std::size_t i = 0; i < targets.size() && fitting < m_sample; ++i) {
    const FleetTarget& target = targets[(start + i) % targets.size()];
    const Resources free = target.FreeAt(aNow);
    ++placement.m_candidates;
    if (!target.TakesWork() || !aDemand.FitsIn(free)) {
      AddRejected(placement, target, aDemand, free);
      continue;
    }
    ++fitting;
    const double score = Score(target, aDemand, free, aWeights);
    if (score > best) {
      best = score;
      placement.m_target = target.m_listing.m_id;
    }
  }
  placement.m_why = placement.Found()
                      ? "best of " + std::to_string(fitting) +
                          " targets with room for " + aKind.m_name.Text()
                      : "none of " + std::to_string(placement.m_candidates) +
                          " targets has " + aDemand.Describe() + " free";
  return placement;
}

std::vector<TargetId> Placer::ChooseGang(const Fleet& aFleet,
                                         const WorkKind& aKind,
                                         const Resources& aDemand,
                                         int aTasks,
                                         const CellWeights& aWeights,
                                         TimePoint aNow,
                                         RandomGenerator& aRandom) const
{
  Fleet trial = aFleet;
  std::vector<TargetId> chosen;
  for (int i = 0; i < aTasks; ++i) {
    const Placement placement =
      Choose(trial, aKind, aDemand, aWeights, aNow, aRandom);
    if (!placement.Found()) {
      return {};
    }
    trial.Take(placement.m_target, aDemand);
    chosen.push_back(placement.m_target);
  }
  return chosen;
}

std::string Placer::NeverRunnable(const Fleet& aFleet,
                                  const Resources& aDemand,
                                  int aTasks)
{
  if (aFleet.Targets().empty()) {
    return {};
  }
  std::int64_t places = 0;
  Resources largest;
  for (const FleetTarget& target : aFleet.Targets()) {
    const Resources& capacity = target.m_listing.m_capacity;
    largest = Resources::Max(largest, capacity);
    std::int64_t here = aTasks;
    for (std::size_t i = 0; i < kResourceKinds; ++i) {
      const auto kind = static_cast<ResourceKind>(i);
      if (aDemand.Get(kind) > 0) {
        here = std::min(here, capacity.Get(kind) / aDemand.Get(kind));
      }
    }
    places += here;
  }
  if (places >= aTasks) {
    return {};
  }
  if (places == 0) {
    return "no target holds one task of " + aDemand.Describe() +
           "; the largest has " + largest.Describe();
  }
  return "the whole fleet holds " + std::to_string(places) + " tasks of " +
         aDemand.Describe() + ", it needs " + std::to_string(aTasks);
}

} // namespace lycheestep
