#ifndef LYCHEESTEP_GANG_RESERVATIONS_H
#define LYCHEESTEP_GANG_RESERVATIONS_H

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "lycheestep/resources.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

struct TargetState;

// A gang that could not be placed for lack of free capacity.
struct WaitingGang
{
  StepName m_step;
  Resources m_demand;
  std::uint32_t m_count = 0;
  // The most tasks of the gang on one target; zero means no limit.
  std::uint32_t m_maxPerTarget = 0;
  // The targets on which the gang may run, with or without free capacity.
  std::vector<const TargetState*> m_targets;
};

// What a gang's reservation of a target means for another step.
enum class ReservationKind
{
  kNone,
  // A gang of a lower rank reserved the target: the step uses the target only
  // if it fits on no other.
  kAvoidIfPossible,
  // A gang of a higher rank reserved the target: the step does not use it.
  kExclude,
};

// Reserves targets for gangs that wait for capacity. On a busy fleet, small
// tasks take all capacity that becomes free, so that a gang, which needs all of
// its capacity at once, would wait until the load ends, and the widest gang
// would wait longest. A placement round tries the steps in the order of their
// ranks. A gang that does not fit reserves some of the targets on which it may
// run, and steps of lower ranks are not placed there until the gang fits or its
// reservation times out. Only a part of the fleet is reserved at any time.
class GangReservations
{
public:
  // Begins a placement round over aTargets targets, and removes the
  // reservations of gangs that the previous round did not try. A reservation
  // excludes other steps only once its gang has been tried in this round.
  void BeginRound(std::size_t aTargets, TimePoint aNow);

  // Returns true if the gang has reserved targets or is in its pause, or if
  // the limit of reserved targets is not reached.
  bool MayReserve(const StepName& aStep) const
  {
    return m_reservedBy.size() < m_limit || m_reservations.count(aStep) > 0;
  }

  // Reserves targets for a gang that was tried in this round and did not fit,
  // or begins its pause if its reservation has timed out.
  void OnGangNotPlaced(const WaitingGang& aGang, TimePoint aNow);

  // Returns true if any gang has reserved the target.
  bool IsReserved(const TargetId& aTarget) const
  {
    return m_reservedBy.count(aTarget) > 0;
  }

  // Removes the reservation of a gang that was placed or is no longer needed.
  void Release(const StepName& aStep);

  // Returns kNone if no other step's gang has reserved the target, kExclude if
  // the gang that reserved it has been tried in this round, and
  // kAvoidIfPossible if that gang has not been tried yet.
  ReservationKind KindFor(const StepName& aStep, const TargetId& aTarget) const;

private:
  struct Reservation
  {
    std::set<TargetId> m_targets;
    // When the reservation began; after a pause, when the pause ends.
    TimePoint m_since;
    bool m_triedThisRound = false;
    // After a timeout, the gang reserves no targets before this time.
    TimePoint m_pauseUntil;
  };

  std::set<TargetId> ChooseTargets(const WaitingGang& aGang) const;
  bool IsReservedByOther(const StepName& aStep, const TargetId& aTarget) const;
  std::size_t ReservedCount() const { return m_reservedBy.size(); }
  void RemoveTargets(const StepName& aStep, Reservation& aReservation);

  std::map<StepName, Reservation> m_reservations;
  std::map<TargetId, StepName> m_reservedBy;
  std::size_t m_limit = 0;
};

} // namespace lycheestep

#endif
