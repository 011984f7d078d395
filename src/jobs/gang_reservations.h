#ifndef LYCHEESTEP_GANG_RESERVATIONS_H
#define LYCHEESTEP_GANG_RESERVATIONS_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
  // The priority of its queue; smaller numbers are more urgent.
  std::uint32_t m_priority = 0;
  Resources m_demand;
  std::uint32_t m_count = 0;
  // The most tasks of the gang on one target; zero means no limit.
  std::uint32_t m_maxPerTarget = 0;
  // Returns the targets on which the gang may run, with or without free
  // capacity. Called only when targets are chosen.
  std::function<std::vector<const TargetState*>()> m_targets;
};

// The use that a task of a step that is no gang would make of a target.
struct TaskUse
{
  // The priority of its queue; smaller numbers are more urgent.
  std::uint32_t m_priority = 0;
  TimePoint m_start;
  TimePoint m_expectedEnd;
};

// Reserves capacity for gangs that wait for it. On a busy fleet, small tasks
// take all capacity that becomes free, so that a gang, which needs all of its
// capacity at once, would wait until the load ends, and the widest gang would
// wait longest. A placement round tries the steps in the order of their ranks.
// A gang that does not fit reserves, on targets on which it may run, the
// capacity that is free or is expected to become free first, task by task.
// Other steps do not use that capacity until the gang fits or its reservation
// times out, nor do gangs of lower ranks. The rest of these targets stays open
// to all, so that little capacity is idle while a gang waits. Only a part of
// the fleet is reserved at any time.
class GangReservations
{
public:
  // Begins a placement round over a fleet of aFleet, and removes the
  // reservations of gangs that the previous round did not try.
  void BeginRound(const Resources& aFleet, TimePoint aNow);

  // Reserves capacity for a gang that was tried in this round and did not fit,
  // or begins its pause if its reservation has timed out.
  void OnGangNotPlaced(const WaitingGang& aGang, TimePoint aNow);

  // Returns true if any gang has reserved capacity on the target.
  bool IsReserved(const TargetId& aTarget) const;

  // Removes the reservation of a gang that was placed or is no longer needed.
  void Release(const StepName& aStep);

  // Returns the capacity of the target, free or not, that a gang does not use
  // because gangs of higher ranks have reserved it.
  Resources ReservedFromGang(const StepName& aGang,
                             const TargetId& aTarget) const;

  // Returns the capacity of the target, free or not, that a task of a step that
  // is no gang does not use because gangs have reserved it. The task uses the
  // capacity of a gang that is expected to start after the task's end, and, if
  // it is more urgent, the capacity of a gang that is not about to start.
  Resources ReservedFromTask(const TargetId& aTarget,
                             const TaskUse& aUse) const;

  // Returns when all capacity that the gang has reserved is expected to be
  // free; nothing if it has reserved none.
  std::optional<TimePoint> ReadyAt(const StepName& aStep) const;

private:
  struct Reservation
  {
    // The gang's tasks by target.
    std::map<TargetId, std::uint32_t> m_tasks;
    Resources m_demand;
    std::uint32_t m_priority = 0;
    // When the last of the reserved capacity is expected to be free.
    TimePoint m_readyAt;
    // When the targets were chosen.
    TimePoint m_chosenAt;
    // When the reservation began; after a pause, when the pause ends.
    TimePoint m_since;
    bool m_triedThisRound = false;
    // After a timeout, the gang reserves no capacity before this time.
    TimePoint m_pauseUntil;
  };

  // Capacity for one task of a gang, and when it is expected to be free.
  struct Slot
  {
    TimePoint m_freeAt;
    TargetId m_target;
  };

  std::vector<Slot> FindSlots(const WaitingGang& aGang, TimePoint aNow) const;
  void AddSlotsOf(const WaitingGang& aGang,
                  const TargetState& aTarget,
                  TimePoint aNow,
                  std::vector<Slot>& aSlots) const;
  void Choose(const WaitingGang& aGang,
              Reservation& aReservation,
              TimePoint aNow);
  Resources SumReserved(
    const TargetId& aTarget,
    const std::function<bool(const StepName&, const Reservation&)>& aCounts)
    const;
  void RemoveTasks(const StepName& aStep, Reservation& aReservation);

  std::map<StepName, Reservation> m_reservations;
  // The gangs that have reserved capacity on each target.
  std::map<TargetId, std::vector<StepName>> m_reservedBy;
  // What a single gang may reserve, and what is left for all in this round.
  // Gangs are tried in the order of their ranks; after the first one for which
  // too little is left, no further one reserves any, or narrow gangs would keep
  // a wide one waiting.
  Resources m_limit;
  Resources m_left;
  bool m_anyReserved = false;
  bool m_limitReached = false;
};

} // namespace lycheestep

#endif
