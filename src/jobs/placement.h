#ifndef LYCHEESTEP_PLACEMENT_H
#define LYCHEESTEP_PLACEMENT_H

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "job.h"
#include "lycheestep/task_run.h"

namespace lycheestep {

struct TargetState;

// Where a step's place in the order comes from: the greater the lateness
// class, the later; then by priority; then by deadline. Answers a load beyond
// what the fleet can take: work that can still be in time goes before work
// that is late, and that before work that nobody waits for any more, so that
// a burst does not make everything late in turn.
struct StepRank
{
  enum class Lateness : std::uint8_t
  {
    kInTime,
    kLate,
    kTooLate,
  };

  Lateness m_lateness = Lateness::kInTime;
  std::uint32_t m_priority = 0;
  TimePoint m_deadline;

  friend bool operator<(const StepRank& aLeft, const StepRank& aRight)
  {
    return std::tie(aLeft.m_lateness, aLeft.m_priority, aLeft.m_deadline) <
           std::tie(aRight.m_lateness, aRight.m_priority, aRight.m_deadline);
  }
};

// Within this the job, or one occurrence of it, is in time.
Duration ObjectiveOf(const QueueConfig& aQueue, Duration aCriticalPath);

// The rank of work that was due at aDue and still needs aRemaining.
StepRank RankOf(const QueueConfig& aQueue,
                Duration aCriticalPath,
                Duration aRemaining,
                TimePoint aDue,
                TimePoint aNow);

// How many tasks of this demand fit into what is free, at most aMost.
std::size_t CountThatFit(const Resources& aDemand,
                         const Resources& aFree,
                         std::size_t aMost);

// A target that may run the step, with what is free there.
struct PlacementCandidate
{
  const TargetState* m_target = nullptr;
  Resources m_free;
  // Tasks of the step that may still be added.
  std::uint32_t m_tasksLeft = 0;
  bool m_nearData = false;
  // A gang waits for its room; taken only if nothing else fits.
  bool m_reservedForGang = false;
};

// Chooses a target for one task and takes its room off the candidate: near
// its data, then where the least stays free, so that large holes stay whole
// for wide work. aAvoid is used only if nothing else fits. Nothing when it
// fits nowhere.
std::optional<std::size_t> ChooseTarget(
  std::vector<PlacementCandidate>& aCandidates,
  const Resources& aDemand,
  const TargetId& aAvoid);

// Places aCount tasks at the same time, all or none; aSameRack tries to keep
// them in one rack. The result has an index into aCandidates for each task.
std::optional<std::vector<std::size_t>> ChooseGang(
  const std::vector<PlacementCandidate>& aCandidates,
  const Resources& aDemand,
  std::size_t aCount,
  bool aSameRack);

} // namespace lycheestep

#endif
