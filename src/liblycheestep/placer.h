#ifndef LYCHEESTEP_PLACER_H
#define LYCHEESTEP_PLACER_H

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "core_context.h"
#include "fleet.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"
#include "placement.h"

namespace lycheestep {

// Chooses targets for tasks out of this host's shares. Looks at a bounded
// sample of candidates, so that a placement costs about the same in a small
// and in a large fleet: the first ones in the list that have room, so that the
// rest of the list stays free for large work, and some random ones where the
// cell weighs waiting above packing. Of these the one is taken where the task
// strands least: leaves least that tasks of the usual proportions cannot use.
class Placer
{
public:
  // Rejected candidates that a Placement names at most.
  static constexpr std::size_t kMaxRejected = 4;

  // aSample: candidates that are compared for one task.
  explicit Placer(std::size_t aSample);

  // The target for one task, or none and why. Takes nothing: the caller calls
  // Fleet::Take.
  Placement Choose(const Fleet& aFleet,
                   const WorkKind& aKind,
                   const Resources& aDemand,
                   const CellWeights& aWeights,
                   TimePoint aNow,
                   RandomGenerator& aRandom);

  // Targets for aTasks tasks that start together, one entry a task; empty
  // when they don't all fit. Replicas of a service always go to different
  // racks in turn; tasks of a gang do so when the waiting weight is the
  // greater, else they fill as few targets as they can.
  std::vector<TargetId> ChooseGang(const Fleet& aFleet,
                                   const WorkKind& aKind,
                                   const Resources& aDemand,
                                   int aTasks,
                                   const CellWeights& aWeights,
                                   TimePoint aNow,
                                   RandomGenerator& aRandom) const;

  // Why aTasks tasks of that demand can never run on the listed targets,
  // however idle they are; empty when they can.
  static std::string NeverRunnable(const Fleet& aFleet,
                                   const Resources& aDemand,
                                   int aTasks);

private:
  // The best of the targets compared so far.
  struct Search;

  void Compare(Search& aSearch, std::size_t aPosition) const;
  void CompareFrom(Search& aSearch,
                   std::size_t aFrom,
                   std::size_t aWanted) const;
  void Explain(Search& aSearch) const;

  double Score(const Resources& aDemand,
               const Resources& aFree,
               const Resources& aCapacity) const;
  void LearnMean(const Resources& aDemand, const Resources& aCapacity);

  static constexpr std::size_t kNoStart = RoomIndex::kNone;

  std::size_t m_sample;
  // Where this host begins in the list; drawn once, so that the hosts of a
  // data centre don't all fill the same targets first.
  std::size_t m_start = kNoStart;
  // The decayed mean of what placed tasks took, as shares of their targets.
  std::array<double, kResourceKinds> m_meanShares{};
};

} // namespace lycheestep

#endif
