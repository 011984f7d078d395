#include "preemption.h"

#include <algorithm>
#include <map>

namespace lycheestep {

namespace {

// The youngest tasks that together make room; empty when all do not.
std::vector<RunningTask> FewestYoungest(std::vector<RunningTask> aTasks,
                                        Resources aFree,
                                        const Resources& aDemand)
{
  std::stable_sort(aTasks.begin(),
                   aTasks.end(),
                   [](const RunningTask& aLeft, const RunningTask& aRight) {
                     return aLeft.m_started > aRight.m_started;
                   });
  std::vector<RunningTask> victims;
  for (RunningTask& task : aTasks) {
    if (aDemand.FitsIn(aFree)) {
      break;
    }
    aFree += task.m_demand;
    victims.push_back(std::move(task));
  }
  return aDemand.FitsIn(aFree) ? victims : std::vector<RunningTask>();
}

Duration LostTime(const std::vector<RunningTask>& aVictims, TimePoint aNow)
{
  Duration lost = Duration::zero();
  for (const RunningTask& victim : aVictims) {
    lost += aNow - victim.m_started;
  }
  return lost;
}

} // namespace

Preemption::Preemption(const Catalogue& aCatalogue,
                       const AdmissionQueue& aQueue)
  : m_catalogue(aCatalogue)
  , m_queue(aQueue)
{
}

bool Preemption::MayStop(const KindName& aKind, WorkClass aFor) const
{
  const WorkKind* kind = m_catalogue.FindKind(aKind);
  if (kind == nullptr || !kind->m_checkpointable || kind->m_class <= aFor ||
      !m_queue.IsAboveFloor(kind->m_class)) {
    return false;
  }
  const bool alone =
    kind->m_form == WorkForm::kRequest || kind->m_form == WorkForm::kJob;
  return alone && m_catalogue.PromisedCustomersOf(aKind).empty();
}

std::vector<RunningTask> Preemption::ChooseVictims(
  const Fleet& aFleet,
  const std::vector<RunningTask>& aTasks,
  const Resources& aDemand,
  WorkClass aFor,
  TimePoint aNow) const
{
  if (m_queue.KindWantingRoom(aFor) == nullptr) {
    return {};
  }
  std::map<TargetId, std::vector<RunningTask>> byTarget;
  for (const RunningTask& task : aTasks) {
    if (MayStop(task.m_kind, aFor)) {
      byTarget[task.m_target].push_back(task);
    }
  }
  std::vector<RunningTask> best;
  for (auto& entry : byTarget) {
    const FleetTarget* target = aFleet.Find(entry.first);
    if (target == nullptr || !target->TakesWork()) {
      continue;
    }
    std::vector<RunningTask> victims =
      FewestYoungest(std::move(entry.second), target->FreeAt(aNow), aDemand);
    const bool better =
      best.empty() || LostTime(victims, aNow) < LostTime(best, aNow);
    if (!victims.empty() && better) {
      best = std::move(victims);
    }
  }
  return best;
}

} // namespace lycheestep
