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

// A gang that waits for room.
struct WaitingGang
{
  StepName m_step;
  Resources m_demand;
  std::uint32_t m_count = 0;
  // Zero: no limit.
  std::uint32_t m_maxPerTarget = 0;
  // Where it may run, with room or without.
  std::vector<const TargetState*> m_targets;
};

// How a target is kept for a gang, as another step sees it.
enum class ReservationKind
{
  kNone,
  kAvoidIfPossible, // a gang of a lower rank waits for it: only if nothing else
                    // is free
  kExclude,         // a gang of a higher rank waits for it: not at all
};

// Room that is kept free for gangs. Answers a busy fleet on which small tasks
// take whatever comes free, so that a gang, which needs all of its room at
// once, would wait until the load ends; the widest would wait longest. The
// steps are offered room in the order of their ranks; a gang that finds none
// holds some of the targets on which it may run, and what ranks below it takes
// nothing there, until it fits or has held them for its time. A part of the
// fleet at the most is held.
class GangReservations
{
public:
  // Begins one round of placing over so many targets. Nothing is kept until
  // its gang has been tried in this round.
  void BeginRound(std::size_t aTargets, TimePoint aNow);

  // True if the gang holds room, or may get some.
  bool MayReserve(const StepName& aStep) const
  {
    return m_reservedBy.size() < m_limit || m_holds.count(aStep) > 0;
  }

  // The gang was tried in this round and found no room.
  void OnGangNotPlaced(const WaitingGang& aGang, TimePoint aNow);

  // The gang was placed, or is needed no more.
  void Release(const StepName& aStep);

  // How the target is kept from the step.
  ReservationKind KindFor(const StepName& aStep, const TargetId& aTarget) const;

private:
  struct Hold
  {
    std::set<TargetId> m_targets;
    TimePoint m_since;
    // Its gang was tried in this round.
    bool m_triedThisRound = false;
    // Its time is over; it may hold again after this.
    TimePoint m_pauseUntil;
  };

  std::set<TargetId> ChooseTargets(const WaitingGang& aGang) const;
  bool IsReservedByOther(const StepName& aStep, const TargetId& aTarget) const;
  std::size_t Held() const { return m_reservedBy.size(); }
  void Drop(const StepName& aStep, Hold& aHold);

  std::map<StepName, Hold> m_holds;
  std::map<TargetId, StepName> m_reservedBy;
  std::size_t m_limit = 0;
};

} // namespace lycheestep

#endif
