#ifndef LYCHEESTEP_PLACEMENT_H
#define LYCHEESTEP_PLACEMENT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "job.h"
#include "lycheestep/task_run.h"

namespace lycheestep {

struct TargetState;

// The rank of a ready step; steps of smaller ranks are placed first. Ranks
// compare by lateness class, then by priority (smaller numbers first), then by
// due time. If the load exceeds the fleet's capacity, work that can still be in
// time goes before late work, and late work before work that is too late to be
// of use to its caller, so that a burst does not delay one piece of work after
// another until all of it is late. Work of one class and priority goes in the
// order in which it was due, and not by deadline: a large job has a late
// deadline, and while the load lasts there is always a smaller one with an
// earlier deadline.
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
  TimePoint m_due;

  friend bool operator<(const StepRank& aLeft, const StepRank& aRight)
  {
    return std::tie(aLeft.m_lateness, aLeft.m_priority, aLeft.m_due) <
           std::tie(aRight.m_lateness, aRight.m_priority, aRight.m_due);
  }
};

constexpr std::size_t kLatenesses = 3;

// Returns the lateness's name in logs and metrics.
const char* ToString(StepRank::Lateness aLateness);

// Returns the time from its due time within which a job, or one occurrence of
// it, has to end to be in time. aCriticalPath is the estimate for the whole
// occurrence.
Duration ObjectiveOf(const QueueConfig& aQueue, Duration aCriticalPath);

// Returns the rank at aNow of work that was due at aDue and needs aRemaining
// from now on, by estimates.
StepRank RankOf(const QueueConfig& aQueue,
                Duration aCriticalPath,
                Duration aRemaining,
                TimePoint aDue,
                TimePoint aNow);

// Returns how many tasks of demand aDemand fit into aFree, at most aMost.
std::size_t CountThatFit(const Resources& aDemand,
                         const Resources& aFree,
                         std::size_t aMost);

// A target that may run the step, with its free capacity.
struct PlacementCandidate
{
  const TargetState* m_target = nullptr;
  Resources m_free;
  // How many more tasks of the step may be placed on the target.
  std::uint32_t m_tasksLeft = 0;
  // True if the target is in the rack of the step's data, or the step names no
  // such rack.
  bool m_nearData = false;
  // True if the target is in quarantine. It is chosen only if no other fits.
  bool m_quarantined = false;
};

// Chooses a target for one task. Prefers targets that are not in quarantine,
// then those near the step's data, then the target with the smallest share of
// its capacity free, so that nearly empty targets stay available for gangs and
// large tasks. aAvoid is chosen only if no other target that is not in
// quarantine fits. Subtracts aDemand from the free capacity of the chosen
// candidate, and one from its m_tasksLeft. Returns an index into aCandidates,
// or nothing if the task fits nowhere.
std::optional<std::size_t> ChooseTarget(
  std::vector<PlacementCandidate>& aCandidates,
  const Resources& aDemand,
  const TargetId& aAvoid);

// Chooses targets for aCount tasks at the same time, all or none. If aSameRack
// is true, single racks are tried before the whole list. Returns an index into
// aCandidates for each task, or nothing if the gang does not fit.
std::optional<std::vector<std::size_t>> ChooseGang(
  const std::vector<PlacementCandidate>& aCandidates,
  const Resources& aDemand,
  std::size_t aCount,
  bool aSameRack);

} // namespace lycheestep

#endif
