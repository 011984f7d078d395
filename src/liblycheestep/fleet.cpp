#include "fleet.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lycheestep {

Resources Grant::UsableAt(TimePoint aNow) const
{
  Resources usable;
  if (aNow < m_mainUntil) {
    usable += m_main;
  }
  if (aNow < m_reserveUntil) {
    usable += m_reserve;
  }
  return usable;
}

TimePoint Grant::UsableUntil(const Resources& aUsedAndDemand,
                             TimePoint aNow) const
{
  if (aNow < m_reserveUntil && aUsedAndDemand.FitsIn(m_reserve)) {
    return m_reserveUntil;
  }
  if (aUsedAndDemand.FitsIn(UsableAt(aNow))) {
    return aNow < m_reserveUntil ? std::min(m_mainUntil, m_reserveUntil)
                                 : m_mainUntil;
  }
  return TimePoint{};
}

Resources FleetTarget::FreeAt(TimePoint aNow) const
{
  return m_grant.UsableAt(aNow) - m_used;
}

void Fleet::Replace(const std::vector<TargetListing>& aListings)
{
  std::vector<FleetTarget> next;
  next.reserve(aListings.size());
  std::unordered_map<TargetId, std::size_t> nextIndex;
  for (const TargetListing& listing : aListings) {
    FleetTarget target;
    if (const FleetTarget* known = Find(listing.m_id)) {
      target = *known;
    }
    target.m_listing = listing;
    target.m_leaving = target.m_leaving || listing.m_leaving;
    nextIndex.emplace(listing.m_id, next.size());
    next.push_back(std::move(target));
  }
  for (FleetTarget& known : m_targets) {
    const bool gone = nextIndex.count(known.m_listing.m_id) == 0;
    if (gone && known.m_tasks > 0) {
      known.m_leaving = true;
      // So that its own report, which may lag, doesn't bring it back.
      known.m_listing.m_leaving = true;
      nextIndex.emplace(known.m_listing.m_id, next.size());
      next.push_back(std::move(known));
    }
  }
  m_targets = std::move(next);
  m_index = std::move(nextIndex);
  m_room.Reset(m_targets.size());
  m_changed.resize(m_targets.size());
  std::iota(m_changed.begin(), m_changed.end(), 0);
}

FleetTarget* Fleet::Find(const TargetId& aTarget)
{
  auto found = m_index.find(aTarget);
  if (found == m_index.end()) {
    return nullptr;
  }
  if (m_changed.empty() || m_changed.back() != found->second) {
    m_changed.push_back(found->second);
  }
  if (m_changed.size() > 2 * m_targets.size()) {
    RefreshRoom();
    m_changed.push_back(found->second);
  }
  return &m_targets[found->second];
}

const FleetTarget* Fleet::Find(const TargetId& aTarget) const
{
  auto found = m_index.find(aTarget);
  return found == m_index.end() ? nullptr : &m_targets[found->second];
}

void Fleet::Take(const TargetId& aTarget, const Resources& aDemand)
{
  if (FleetTarget* target = Find(aTarget)) {
    target->m_used += aDemand;
    ++target->m_tasks;
  }
}

void Fleet::GiveBack(const TargetId& aTarget, const Resources& aDemand)
{
  if (FleetTarget* target = Find(aTarget)) {
    target->m_used -= aDemand;
    --target->m_tasks;
  }
}

std::size_t Fleet::FindRoom(std::size_t aFrom,
                            const Resources& aDemand,
                            std::size_t& aVisits) const
{
  RefreshRoom();
  return m_room.Find(aFrom, aDemand, aVisits);
}

void Fleet::RefreshRoom() const
{
  for (const std::size_t position : m_changed) {
    const FleetTarget& target = m_targets[position];
    const Grant& grant = target.m_grant;
    m_room.Set(position,
               target.TakesWork()
                 ? grant.m_main + grant.m_reserve - target.m_used
                 : Resources(-1, -1, -1, -1, -1));
  }
  m_changed.clear();
}

Resources Fleet::TotalCapacity() const
{
  Resources total;
  for (const FleetTarget& target : m_targets) {
    total += target.m_listing.m_capacity;
  }
  return total;
}

Resources Fleet::TotalFree(TimePoint aNow) const
{
  Resources total;
  for (const FleetTarget& target : m_targets) {
    if (target.TakesWork()) {
      total += Resources::Max(Resources(), target.FreeAt(aNow));
    }
  }
  return total;
}

Resources Fleet::LargestFree(TimePoint aNow) const
{
  Resources largest;
  for (const FleetTarget& target : m_targets) {
    if (target.TakesWork()) {
      largest = Resources::Max(largest, target.FreeAt(aNow));
    }
  }
  return largest;
}

} // namespace lycheestep
