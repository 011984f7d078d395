#include "placer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <numeric>
#include <set>
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

// Weight of the place in the list against stranded shares.
constexpr double kListWeight = 0.15;

// Taken from the score of a target whose accelerators would lie idle; more
// than any stranded shares add up to.
constexpr double kWasteful = 10.0;

// Weight of one placement in the mean demand.
constexpr double kMeanWeight = 0.02;

using Shares = std::array<double, kResourceKinds>;

// An amount as shares of a capacity; resources that it lacks count as 0.
Shares SharesOf(const Resources& aAmount, const Resources& aCapacity)
{
  Shares shares{};
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (aCapacity.Get(kind) > 0) {
      shares[i] = static_cast<double>(aAmount.Get(kind)) /
                  static_cast<double>(aCapacity.Get(kind));
    }
  }
  return shares;
}

// The free shares that no task of mean demand could use, because another
// resource runs out first; summed over the resources in aMean.
double Stranded(const Shares& aFree, const Shares& aMean)
{
  double tasks = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (aMean[i] > 0.0) {
      tasks = std::min(tasks, aFree[i] / aMean[i]);
    }
  }
  double stranded = 0.0;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (aMean[i] > 0.0) {
      stranded += aFree[i] - tasks * aMean[i];
    }
  }
  return stranded;
}

// How many tasks of a demand a target has room for, at most aMost.
int Fitting(const FleetTarget& aTarget,
            const Resources& aDemand,
            TimePoint aNow,
            int aMost)
{
  if (!aTarget.TakesWork()) {
    return 0;
  }
  const Resources free = aTarget.FreeAt(aNow);
  if (!aDemand.FitsIn(free)) {
    return 0;
  }
  std::int64_t fitting = aMost;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (aDemand.Get(kind) > 0) {
      fitting = std::min(fitting, free.Get(kind) / aDemand.Get(kind));
    }
  }
  return static_cast<int>(fitting);
}

// A target with room for some tasks of a gang.
struct GangTarget
{
  const FleetTarget* m_target = nullptr;
  int m_room = 0;
};

// Tasks that all targets together have room for.
int RoomOf(const std::vector<GangTarget>& aTargets)
{
  return std::accumulate(
    aTargets.begin(),
    aTargets.end(),
    0,
    [](int aSum, const GangTarget& aTarget) { return aSum + aTarget.m_room; });
}

// Targets with room at even distances in the list, and so in many racks.
std::vector<GangTarget> ProbeEvenly(const Fleet& aFleet,
                                    const Resources& aDemand,
                                    int aTasks,
                                    TimePoint aNow,
                                    std::size_t aStart)
{
  constexpr std::size_t kProbesPerTask = 4;
  constexpr std::size_t kLeastProbes = 16;
  const std::size_t size = aFleet.Targets().size();
  const std::size_t probes = std::min(
    size, kLeastProbes + kProbesPerTask * static_cast<std::size_t>(aTasks));
  std::set<std::size_t> seen;
  std::vector<GangTarget> found;
  std::size_t visits = 0;
  for (std::size_t i = 0; i < probes; ++i) {
    const std::size_t probe = (aStart + i * size / probes) % size;
    const std::size_t position = aFleet.FindRoom(probe, aDemand, visits);
    if (position == RoomIndex::kNone || !seen.insert(position).second) {
      continue;
    }
    const FleetTarget& target = aFleet.Targets()[position];
    const int room = Fitting(target, aDemand, aNow, aTasks);
    if (room > 0) {
      found.push_back({ &target, room });
    }
  }
  return found;
}

// The first targets in the list that together have room for aWanted tasks, or
// all that have room.
std::vector<GangTarget> CollectInOrder(const Fleet& aFleet,
                                       const Resources& aDemand,
                                       int aTasks,
                                       TimePoint aNow,
                                       int aWanted)
{
  std::vector<GangTarget> found;
  int room = 0;
  std::size_t visits = 0;
  std::size_t position = aFleet.FindRoom(0, aDemand, visits);
  while (position != RoomIndex::kNone && room < aWanted) {
    const FleetTarget& target = aFleet.Targets()[position];
    const int fitting = Fitting(target, aDemand, aNow, aTasks);
    if (fitting > 0) {
      found.push_back({ &target, fitting });
      room += fitting;
    }
    position = aFleet.FindRoom(position + 1, aDemand, visits);
  }
  return found;
}

// Fills the targets with the most room first.
std::vector<TargetId> FillFewest(std::vector<GangTarget> aTargets, int aTasks)
{
  std::stable_sort(aTargets.begin(),
                   aTargets.end(),
                   [](const GangTarget& aLeft, const GangTarget& aRight) {
                     return aLeft.m_room > aRight.m_room;
                   });
  std::vector<TargetId> chosen;
  for (const GangTarget& target : aTargets) {
    for (int i = 0; i < target.m_room; ++i) {
      if (static_cast<int>(chosen.size()) == aTasks) {
        return chosen;
      }
      chosen.push_back(target.m_target->m_listing.m_id);
    }
  }
  return chosen;
}

// Takes racks in turn, and targets of a rack in turn.
std::vector<TargetId> SpreadOverRacks(const std::vector<GangTarget>& aTargets,
                                      int aTasks)
{
  std::map<RackName, std::deque<GangTarget>> racks;
  for (const GangTarget& target : aTargets) {
    racks[target.m_target->m_listing.m_rack].push_back(target);
  }
  std::vector<TargetId> chosen;
  while (!racks.empty()) {
    for (auto rack = racks.begin(); rack != racks.end();) {
      if (static_cast<int>(chosen.size()) == aTasks) {
        return chosen;
      }
      GangTarget target = rack->second.front();
      rack->second.pop_front();
      chosen.push_back(target.m_target->m_listing.m_id);
      if (--target.m_room > 0) {
        rack->second.push_back(target);
      }
      rack = rack->second.empty() ? racks.erase(rack) : std::next(rack);
    }
  }
  return chosen;
}

} // namespace

struct Placer::Search
{
  const Fleet& m_fleet;
  const Resources& m_demand;
  TimePoint m_now;
  Placement& m_placement;
  double m_best = std::numeric_limits<double>::lowest();
  std::size_t m_bestPosition = 0;
  std::size_t m_fitting = 0;
};

Placer::Placer(std::size_t aSample)
  : m_sample(std::max<std::size_t>(1, aSample))
{
}

Placement Placer::Choose(const Fleet& aFleet,
                         const WorkKind& aKind,
                         const Resources& aDemand,
                         const CellWeights& aWeights,
                         TimePoint aNow,
                         RandomGenerator& aRandom)
{
  Placement placement;
  const std::size_t size = aFleet.Targets().size();
  if (size == 0) {
    placement.m_why = "this host knows no target";
    return placement;
  }
  Search search{ aFleet, aDemand, aNow, placement };
  const double spread =
    std::max(0.0, aWeights.m_waiting - aWeights.m_packing) / 2;
  const auto random = static_cast<std::size_t>(
    std::lround(spread * static_cast<double>(m_sample)));
  for (std::size_t i = 0; i < random; ++i) {
    Compare(search, aRandom() % size);
  }
  if (m_start == kNoStart) {
    m_start = aRandom() % size;
  }
  const std::size_t wanted = m_sample - std::min(random, m_sample);
  CompareFrom(search, m_start % size, wanted);
  CompareFrom(search, 0, wanted - std::min(wanted, search.m_fitting));
  if (search.m_fitting == 0) {
    const std::size_t start = aRandom() % size;
    CompareFrom(search, start, 2);
    CompareFrom(search, 0, search.m_fitting == 0 ? 2 : 0);
  }
  if (placement.Found()) {
    LearnMean(aDemand,
              aFleet.Targets()[search.m_bestPosition].m_listing.m_capacity);
    placement.m_why = "best of " + std::to_string(search.m_fitting) +
                      " targets with room for " + aKind.m_name.Text();
  } else {
    Explain(search);
  }
  return placement;
}

void Placer::Compare(Search& aSearch, std::size_t aPosition) const
{
  const FleetTarget& target = aSearch.m_fleet.Targets()[aPosition];
  const Resources free = target.FreeAt(aSearch.m_now);
  ++aSearch.m_placement.m_candidates;
  if (!target.TakesWork() || !aSearch.m_demand.FitsIn(free)) {
    return;
  }
  ++aSearch.m_fitting;
  const std::size_t size = aSearch.m_fleet.Targets().size();
  const std::size_t distance = (aPosition + size - m_start % size) % size;
  const double score =
    Score(aSearch.m_demand, free, target.m_listing.m_capacity) -
    kListWeight * static_cast<double>(distance) / static_cast<double>(size);
  if (score > aSearch.m_best) {
    aSearch.m_best = score;
    aSearch.m_bestPosition = aPosition;
    aSearch.m_placement.m_target = target.m_listing.m_id;
  }
}

double Placer::Score(const Resources& aDemand,
                     const Resources& aFree,
                     const Resources& aCapacity) const
{
  const Shares before = SharesOf(aFree, aCapacity);
  const Shares after = SharesOf(aFree - aDemand, aCapacity);
  const double stranded =
    Stranded(after, m_meanShares) - Stranded(before, m_meanShares);
  // Targets with accelerators are kept for those who use them.
  const bool wastes = aDemand.Get(ResourceKind::kAccelerators) == 0 &&
                      aFree.Get(ResourceKind::kAccelerators) > 0;
  return wastes ? -kWasteful - stranded : -stranded;
}

void Placer::LearnMean(const Resources& aDemand, const Resources& aCapacity)
{
  const Shares shares = SharesOf(aDemand, aCapacity);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    const bool counts =
      static_cast<ResourceKind>(i) != ResourceKind::kConnections &&
      static_cast<ResourceKind>(i) != ResourceKind::kAccelerators;
    if (counts) {
      m_meanShares[i] += kMeanWeight * (shares[i] - m_meanShares[i]);
    }
  }
}

void Placer::CompareFrom(Search& aSearch,
                         std::size_t aFrom,
                         std::size_t aWanted) const
{
  const std::size_t wanted = aSearch.m_fitting + aWanted;
  const std::size_t most = 4 * m_sample;
  std::size_t position = aFrom;
  for (std::size_t i = 0; i < most && aSearch.m_fitting < wanted; ++i) {
    position = aSearch.m_fleet.FindRoom(
      position, aSearch.m_demand, aSearch.m_placement.m_visits);
    if (position == RoomIndex::kNone) {
      return;
    }
    Compare(aSearch, position);
    ++position;
  }
}

void Placer::Explain(Search& aSearch) const
{
  Placement& placement = aSearch.m_placement;
  const std::vector<FleetTarget>& targets = aSearch.m_fleet.Targets();
  const std::size_t shown = std::min(targets.size(), kMaxRejected);
  for (std::size_t i = 0; i < shown; ++i) {
    const FleetTarget& target = targets[i * targets.size() / shown];
    std::string lacks = WhyClosed(target);
    if (lacks.empty()) {
      lacks = Missing(aSearch.m_demand, target.FreeAt(aSearch.m_now));
    }
    placement.m_rejected.push_back({ target.m_listing.m_id, std::move(lacks) });
  }
  placement.m_why = "none of " + std::to_string(targets.size()) +
                    " targets has " + aSearch.m_demand.Describe() +
                    " free in this host's share";
}

std::vector<TargetId> Placer::ChooseGang(const Fleet& aFleet,
                                         const WorkKind& aKind,
                                         const Resources& aDemand,
                                         int aTasks,
                                         const CellWeights& aWeights,
                                         TimePoint aNow,
                                         RandomGenerator& aRandom) const
{
  const std::size_t size = aFleet.Targets().size();
  if (size == 0) {
    return {};
  }
  const bool spread = aKind.m_form == WorkForm::kService ||
                      aWeights.m_waiting > aWeights.m_packing;
  std::vector<GangTarget> found;
  if (spread) {
    found = ProbeEvenly(aFleet, aDemand, aTasks, aNow, aRandom() % size);
  }
  if (RoomOf(found) < aTasks) {
    found = CollectInOrder(
      aFleet, aDemand, aTasks, aNow, aTasks + static_cast<int>(m_sample));
  }
  if (RoomOf(found) < aTasks) {
    return {};
  }
  return spread ? SpreadOverRacks(found, aTasks)
                : FillFewest(std::move(found), aTasks);
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
