#include "baseline_policy.h"

namespace lycheestep::bench {

namespace {

bool HasRoom(const FleetTarget& aTarget,
             const Resources& aDemand,
             TimePoint aNow)
{
  return aTarget.TakesWork() && aDemand.FitsIn(aTarget.FreeAt(aNow));
}

} // namespace

BaselinePolicy::BaselinePolicy(
  Baseline aBaseline,
  const std::shared_ptr<const Catalogue>& aCatalogue,
  std::uint64_t aSeed)
  : m_baseline(aBaseline)
  , m_catalogue(aCatalogue)
  , m_random(aSeed)
{
  for (std::size_t i = 0; i < m_catalogue->m_kinds.size(); ++i) {
    m_kinds.emplace(m_catalogue->m_kinds[i].m_name, i);
  }
  const bool perKind = aBaseline == Baseline::kRoundRobin;
  m_queues.resize(perKind ? m_catalogue->m_kinds.size() : 1);
}

std::string BaselinePolicy::Name() const
{
  switch (m_baseline) {
    case Baseline::kFirstFit:
      return "first-fit";
    case Baseline::kRandomOfTwo:
      return "random-of-two";
    case Baseline::kRoundRobin:
      return "round-robin";
  }
  return {};
}

bool BaselinePolicy::Offer(const WaitingWork& aWork, TimePoint /*aNow*/)
{
  const WorkKind& kind = m_catalogue->m_kinds[m_kinds.at(aWork.m_kind)];
  std::size_t& waiting = m_waitingOfKind[aWork.m_kind];
  if (waiting >= kind.m_queueLimit) {
    return false;
  }
  ++waiting;
  ++m_waiting;
  m_queues[QueueOf(aWork)].push_back(aWork);
  return true;
}

std::optional<BenchStart> BaselinePolicy::Decide(const Fleet& aFleet,
                                                 TimePoint aNow)
{
  for (std::size_t i = 0; i < m_queues.size(); ++i) {
    auto& queue = m_queues[(m_nextQueue + i) % m_queues.size()];
    if (queue.empty()) {
      continue;
    }
    std::vector<TargetId> targets = Place(aFleet, queue.front(), aNow);
    if (targets.empty()) {
      continue;
    }
    BenchStart start{ queue.front(), std::move(targets) };
    queue.pop_front();
    --m_waiting;
    --m_waitingOfKind[start.m_work.m_kind];
    m_nextQueue = (m_nextQueue + i + 1) % m_queues.size();
    return start;
  }
  return std::nullopt;
}

void BaselinePolicy::Expire(TimePoint aNow)
{
  for (auto& queue : m_queues) {
    while (!queue.empty() && queue.front().m_deadline <= aNow) {
      --m_waiting;
      --m_waitingOfKind[queue.front().m_kind];
      queue.pop_front();
    }
  }
}

TargetId BaselinePolicy::PlaceOne(const Fleet& aFleet,
                                  const Resources& aDemand,
                                  TimePoint aNow)
{
  const std::vector<FleetTarget>& targets = aFleet.Targets();
  if (m_baseline == Baseline::kRandomOfTwo) {
    const FleetTarget& one = targets[m_random() % targets.size()];
    const FleetTarget& other = targets[m_random() % targets.size()];
    const bool emptier = one.m_tasks <= other.m_tasks;
    for (const FleetTarget* target :
         { emptier ? &one : &other, emptier ? &other : &one }) {
      if (HasRoom(*target, aDemand, aNow)) {
        return target->m_listing.m_id;
      }
    }
    return {};
  }
  const std::size_t first =
    m_baseline == Baseline::kRoundRobin ? m_nextTarget % targets.size() : 0;
  for (const std::size_t start : { first, std::size_t{ 0 } }) {
    std::size_t visits = 0;
    std::size_t position = aFleet.FindRoom(start, aDemand, visits);
    while (position != RoomIndex::kNone) {
      if (HasRoom(targets[position], aDemand, aNow)) {
        m_nextTarget = position + 1;
        return targets[position].m_listing.m_id;
      }
      position = aFleet.FindRoom(position + 1, aDemand, visits);
    }
  }
  return {};
}

std::vector<TargetId> BaselinePolicy::Place(const Fleet& aFleet,
                                            const WaitingWork& aWork,
                                            TimePoint aNow)
{
  const Resources& demand =
    m_catalogue->m_kinds[m_kinds.at(aWork.m_kind)].m_demand;
  if (aWork.m_tasks == 1) {
    const TargetId target = PlaceOne(aFleet, demand, aNow);
    return target.Empty() ? std::vector<TargetId>()
                          : std::vector<TargetId>{ target };
  }
  if (PlaceOne(aFleet, demand, aNow).Empty()) {
    return {};
  }
  Fleet trial = aFleet;
  std::vector<TargetId> chosen;
  for (int i = 0; i < aWork.m_tasks; ++i) {
    const TargetId target = PlaceOne(trial, demand, aNow);
    if (target.Empty()) {
      return {};
    }
    trial.Take(target, demand);
    chosen.push_back(target);
  }
  return chosen;
}

std::size_t BaselinePolicy::QueueOf(const WaitingWork& aWork) const
{
  return m_queues.size() == 1 ? 0 : m_kinds.at(aWork.m_kind);
}

} // namespace lycheestep::bench
