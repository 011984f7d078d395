#ifndef LYCHEESTEP_FLEET_H
#define LYCHEESTEP_FLEET_H

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"
#include "room_index.h"

namespace lycheestep {

// This host's exclusive share of one target, in two parts with terms of their
// own. Nothing may be started from a part whose time has passed.
struct Grant
{
  Resources m_main;
  TimePoint m_mainUntil;
  Resources m_reserve;
  TimePoint m_reserveUntil;

  // What may be used at aNow, before what is in use is taken off.
  Resources UsableAt(TimePoint aNow) const;

  // The last moment at which a task of that demand, on top of aUsed, may
  // still be started; the epoch of the clock if it does not fit now.
  TimePoint UsableUntil(const Resources& aUsedAndDemand, TimePoint aNow) const;
};

// One target of this data centre as this host knows it.
struct FleetTarget
{
  TargetListing m_listing;
  Grant m_grant;
  // What this host's own tasks take of its share, from the moment a task is
  // placed until it is known to be over.
  Resources m_used;
  // No new work: the list or the target itself says that it leaves.
  bool m_leaving = false;
  // No new work: it fails too often, or its calls are at their limit.
  bool m_ejected = false;
  bool m_atCallLimit = false;
  // Tasks of this host that it holds.
  int m_tasks = 0;

  // What another task may take of this host's share at aNow.
  Resources FreeAt(TimePoint aNow) const;

  // True when new work may be placed here at all.
  bool TakesWork() const { return !m_leaving && !m_ejected && !m_atCallLimit; }
};

// The targets of this data centre. Positions in the list are stable until the
// next Replace, so that placement can sample by index.
class Fleet
{
public:
  // Takes over a new host list: keeps what is known of targets that stay,
  // forgets those that are gone and hold no task.
  void Replace(const std::vector<TargetListing>& aListings);

  // The target of that name, or null. A target found for change is entered
  // anew in the index of free room before the next search.
  FleetTarget* Find(const TargetId& aTarget);
  const FleetTarget* Find(const TargetId& aTarget) const;

  const std::vector<FleetTarget>& Targets() const { return m_targets; }

  // The first position in Targets() from aFrom on whose target may have
  // aDemand free, or RoomIndex::kNone. Does not look at the time: the caller
  // checks FreeAt. aVisits counts the nodes of the index that were compared.
  std::size_t FindRoom(std::size_t aFrom,
                       const Resources& aDemand,
                       std::size_t& aVisits) const;

  // Takes and gives back a task's demand.
  void Take(const TargetId& aTarget, const Resources& aDemand);
  void GiveBack(const TargetId& aTarget, const Resources& aDemand);

  // The whole capacity of all listed targets.
  Resources TotalCapacity() const;

  // The free amount of all targets together at aNow, and the element-wise
  // largest of a single one.
  Resources TotalFree(TimePoint aNow) const;
  Resources LargestFree(TimePoint aNow) const;

private:
  void RefreshRoom() const;

  std::vector<FleetTarget> m_targets;
  std::unordered_map<TargetId, std::size_t> m_index;
  // Positions that may have changed since they were entered in m_room.
  mutable std::vector<std::size_t> m_changed;
  mutable RoomIndex m_room;
};

} // namespace lycheestep

#endif
