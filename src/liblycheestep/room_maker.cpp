#include "room_maker.h"

#include "core_parts.h"
#include "preemption.h"

namespace lycheestep {

RoomMaker::RoomMaker(CoreParts& aParts)
  : m_parts(aParts)
{
}

void RoomMaker::Tick(CoreContext& aContext)
{
  const auto catalogue = m_parts.m_catalogue.Current();
  if (catalogue == nullptr || aContext.m_now < m_nextRound) {
    return;
  }
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    const WorkKind* kind =
      m_parts.m_queue.KindWantingRoom(static_cast<WorkClass>(i));
    if (kind != nullptr) {
      m_nextRound = aContext.m_now + kPeriod;
      MakeRoomFor(aContext, *kind);
      return;
    }
  }
}

void RoomMaker::MakeRoomFor(CoreContext& aContext, const WorkKind& aKind)
{
  const auto catalogue = m_parts.m_catalogue.Current();
  const Preemption preemption(*catalogue, m_parts.m_queue);
  const std::vector<RunningTask> victims =
    preemption.ChooseVictims(m_parts.m_fleet,
                             Candidates(),
                             aKind.m_demand,
                             aKind.m_class,
                             aContext.m_now);
  for (const RunningTask& victim : victims) {
    Checkpoint(aContext, victim);
  }
}

std::vector<RunningTask> RoomMaker::Candidates() const
{
  std::vector<RunningTask> candidates;
  for (const auto& [id, live] : m_parts.m_requests.Live()) {
    // A resumed task starts a second time, which only repeatable work may.
    if (!live.m_kind.m_checkpointable || !live.m_kind.m_repeatable) {
      continue;
    }
    for (const LiveTask& task : live.m_tasks) {
      const bool free = task.m_stage == TaskStage::kRunning &&
                        !task.m_stopping && !task.m_checkpointing;
      if (free) {
        candidates.push_back({ task.m_attempt,
                               id,
                               live.m_kind.m_name,
                               task.m_target,
                               task.m_demand,
                               task.m_startedAt });
      }
    }
  }
  return candidates;
}

void RoomMaker::Checkpoint(CoreContext& aContext, const RunningTask& aVictim)
{
  LiveRequest* live = m_parts.m_requests.Find(aVictim.m_request);
  LiveTask* task = live->FindTask(aVictim.m_attempt);
  task->m_checkpointing = true;
  live->Note("checkpointed to make room for more urgent work");
  m_parts.m_leases.Control(
    aContext, aVictim.m_attempt, TaskControl::kCheckpoint);
  LogDecision line;
  line.m_decision = DecisionKind::kStopped;
  line.m_request = aVictim.m_request;
  line.m_kind = aVictim.m_kind;
  line.m_target = aVictim.m_target;
  line.m_why = "checkpointed to make room for more urgent work";
  aContext.m_actions.emplace_back(std::move(line));
}

} // namespace lycheestep
