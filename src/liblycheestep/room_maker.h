#ifndef LYCHEESTEP_ROOM_MAKER_H
#define LYCHEESTEP_ROOM_MAKER_H

#include <vector>

#include "core_context.h"
#include "lycheestep/time_types.h"
#include "lycheestep/work_kind.h"
#include "running_task.h"

namespace lycheestep {

struct CoreParts;

// Gives borrowed room back: when work of a class waits inside its floor and
// found no place, tasks of less urgent kinds are checkpointed and stopped,
// and go on later from where they were.
class RoomMaker
{
public:
  // Shortest time between two rounds, so that the effect of one is seen
  // before the next.
  static constexpr Duration kPeriod = std::chrono::milliseconds(500);

  explicit RoomMaker(CoreParts& aParts);

  // Starts a round when it is due and a class wants room.
  void Tick(CoreContext& aContext);

private:
  void MakeRoomFor(CoreContext& aContext, const WorkKind& aKind);
  std::vector<RunningTask> Candidates() const;
  void Checkpoint(CoreContext& aContext, const RunningTask& aVictim);

  CoreParts& m_parts;
  TimePoint m_nextRound;
};

} // namespace lycheestep

#endif
