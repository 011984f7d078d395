#include "scheduler_policy.h"

#include "lycheestep/scheduler_settings.h"

namespace lycheestep::bench {

SchedulerPolicy::SchedulerPolicy(
  const std::shared_ptr<const Catalogue>& aCatalogue,
  const Fleet& aFleet,
  std::uint64_t aSeed)
  : m_catalogue(aCatalogue)
  , m_queue(SchedulerSettings().m_queueLimit)
  , m_placer(SchedulerSettings().m_candidateSample)
  , m_random(aSeed)
{
  for (const WorkKind& kind : aCatalogue->m_kinds) {
    m_kinds.emplace(kind.m_name, &kind);
  }
  m_queue.SetCatalogue(aCatalogue);
  m_queue.SetCellCapacity(aFleet.TotalCapacity());
}

bool SchedulerPolicy::Offer(const WaitingWork& aWork, TimePoint aNow)
{
  return m_queue.Offer(aWork, aNow).m_accepted;
}

std::optional<BenchStart> SchedulerPolicy::Decide(const Fleet& aFleet,
                                                  TimePoint aNow)
{
  while (auto work = m_queue.Next(aNow)) {
    const WorkKind& kind = *m_kinds.at(work->m_kind);
    std::string why;
    std::vector<TargetId> targets = Place(aFleet, kind, *work, aNow, why);
    if (targets.empty()) {
      m_queue.PutBack(*work, why, aNow);
      continue;
    }
    ++m_placements;
    m_queue.Started(work->m_kind, kind.m_demand, work->m_tasks, aNow);
    return BenchStart{ *work, std::move(targets) };
  }
  return std::nullopt;
}

std::vector<TargetId> SchedulerPolicy::Place(const Fleet& aFleet,
                                             const WorkKind& aKind,
                                             const WaitingWork& aWork,
                                             TimePoint aNow,
                                             std::string& aWhy)
{
  if (aWork.m_tasks > 1) {
    aWhy = "the tasks do not all fit";
    return m_placer.ChooseGang(aFleet,
                               aKind,
                               aKind.m_demand,
                               aWork.m_tasks,
                               m_catalogue->m_weights,
                               aNow,
                               m_random);
  }
  const Placement placement = m_placer.Choose(
    aFleet, aKind, aKind.m_demand, m_catalogue->m_weights, aNow, m_random);
  m_candidates += placement.m_candidates + placement.m_visits;
  aWhy = placement.m_why;
  if (!placement.Found()) {
    return {};
  }
  return { placement.m_target };
}

void SchedulerPolicy::Ended(const WaitingWork& aWork)
{
  m_queue.Ended(
    aWork.m_kind, m_kinds.at(aWork.m_kind)->m_demand, aWork.m_tasks);
}

void SchedulerPolicy::Expire(TimePoint aNow)
{
  if (m_queue.NextExpiry() <= aNow) {
    m_queue.TakeExpired(aNow);
  }
}

bool SchedulerPolicy::WantsVictims() const
{
  return m_queue.KindWantingRoom(WorkClass::kUrgent) != nullptr ||
         m_queue.KindWantingRoom(WorkClass::kStandard) != nullptr;
}

std::vector<RequestId> SchedulerPolicy::Victims(
  const Fleet& aFleet,
  const std::vector<BenchRunning>& aRunning,
  TimePoint aNow)
{
  std::vector<RunningTask> tasks;
  for (const BenchRunning& running : aRunning) {
    RunningTask task;
    task.m_request = running.m_request;
    task.m_kind = running.m_kind;
    task.m_target = running.m_target;
    task.m_demand = m_kinds.at(running.m_kind)->m_demand;
    task.m_started = running.m_started;
    tasks.push_back(std::move(task));
  }
  const Preemption preemption(*m_catalogue, m_queue);
  std::vector<RequestId> stopped;
  for (const WorkClass wanting : { WorkClass::kUrgent, WorkClass::kStandard }) {
    const WorkKind* kind = m_queue.KindWantingRoom(wanting);
    if (kind == nullptr) {
      continue;
    }
    for (const RunningTask& victim : preemption.ChooseVictims(
           aFleet, tasks, kind->m_demand, wanting, aNow)) {
      stopped.push_back(victim.m_request);
    }
    if (!stopped.empty()) {
      return stopped;
    }
  }
  return stopped;
}

std::uint64_t SchedulerPolicy::Comparisons() const
{
  return m_queue.Comparisons() + m_candidates;
}

} // namespace lycheestep::bench
