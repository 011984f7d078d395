#include "gang_reservations.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "placement.h"
#include "target_state.h"

namespace lycheestep {

namespace {

// At most one part in kReservableDivisor of the fleet's capacity is reserved at
// the same time, as the more gangs share what becomes free, the longer each of
// them keeps capacity idle. A single gang may reserve one part in
// kWidestGangDivisor.
constexpr std::int64_t kReservableDivisor = 6;
constexpr std::int64_t kWidestGangDivisor = 3;

// A reservation times out after the first of these times, and its gang reserves
// no capacity for the second, so that a gang that never fits does not keep
// others waiting.
constexpr Duration kMaxReservationTime = std::chrono::seconds(6);
constexpr Duration kReservationPause = std::chrono::seconds(2);

// A gang whose capacity is expected to be free within this time is about to
// start.
constexpr Duration kAboutToStart = std::chrono::milliseconds(300);

// The targets are chosen again after this time, as runs end earlier or later
// than expected and the advisor finds more targets fit.
constexpr Duration kChoiceInterval = std::chrono::milliseconds(100);

Resources Times(const Resources& aDemand, std::size_t aCount)
{
  return aDemand.Scaled(static_cast<std::int64_t>(aCount), 1);
}

} // namespace

void GangReservations::BeginRound(const Resources& aFleet, TimePoint aNow)
{
  m_limit = aFleet.Scaled(1, kWidestGangDivisor);
  m_left = aFleet.Scaled(1, kReservableDivisor);
  m_anyReserved = false;
  m_limitReached = false;
  for (auto it = m_reservations.begin(); it != m_reservations.end();) {
    Reservation& reservation = it->second;
    const bool abandoned =
      !reservation.m_triedThisRound && reservation.m_pauseUntil <= aNow;
    if (abandoned) {
      RemoveTasks(it->first, reservation);
      it = m_reservations.erase(it);
      continue;
    }
    reservation.m_triedThisRound = false;
    ++it;
  }
}

void GangReservations::OnGangNotPlaced(const WaitingGang& aGang, TimePoint aNow)
{
  const auto [found, isNew] = m_reservations.try_emplace(aGang.m_step);
  Reservation& reservation = found->second;
  if (isNew) {
    reservation.m_since = aNow;
  }
  if (reservation.m_pauseUntil > aNow) {
    return;
  }
  reservation.m_triedThisRound = true;
  if (aNow - reservation.m_since > kMaxReservationTime) {
    RemoveTasks(aGang.m_step, reservation);
    reservation.m_pauseUntil = aNow + kReservationPause;
    reservation.m_since = aNow + kReservationPause;
    return;
  }
  const Resources whole = Times(aGang.m_demand, aGang.m_count);
  const bool tooWide = !whole.FitsIn(m_limit);
  const bool fitsInLimit = !m_anyReserved || whole.FitsIn(m_left);
  m_limitReached = m_limitReached || (!tooWide && !fitsInLimit);
  if (tooWide || m_limitReached) {
    RemoveTasks(aGang.m_step, reservation);
    return;
  }
  if (reservation.m_tasks.empty() ||
      aNow - reservation.m_chosenAt >= kChoiceInterval) {
    Choose(aGang, reservation, aNow);
  }
  if (!reservation.m_tasks.empty()) {
    m_left -= whole;
    m_anyReserved = true;
  }
}

void GangReservations::Choose(const WaitingGang& aGang,
                              Reservation& aReservation,
                              TimePoint aNow)
{
  RemoveTasks(aGang.m_step, aReservation);
  aReservation.m_chosenAt = aNow;
  const std::vector<Slot> slots = FindSlots(aGang, aNow);
  if (slots.size() < aGang.m_count) {
    return;
  }
  aReservation.m_demand = aGang.m_demand;
  aReservation.m_priority = aGang.m_priority;
  aReservation.m_readyAt = slots[aGang.m_count - 1].m_freeAt;
  for (std::size_t i = 0; i < aGang.m_count; ++i) {
    const TargetId& target = slots[i].m_target;
    if (aReservation.m_tasks[target]++ == 0) {
      m_reservedBy[target].push_back(aGang.m_step);
    }
  }
}

// Returns capacity for the gang's tasks, that which is free first at the front.
std::vector<GangReservations::Slot> GangReservations::FindSlots(
  const WaitingGang& aGang,
  TimePoint aNow) const
{
  std::vector<Slot> slots;
  for (const TargetState* target : aGang.m_targets()) {
    if (target->TakesWork(aNow)) {
      AddSlotsOf(aGang, *target, aNow, slots);
    }
  }
  std::stable_sort(
    slots.begin(), slots.end(), [](const Slot& aLeft, const Slot& aRight) {
      return aLeft.m_freeAt < aRight.m_freeAt;
    });
  return slots;
}

void GangReservations::AddSlotsOf(const WaitingGang& aGang,
                                  const TargetState& aTarget,
                                  TimePoint aNow,
                                  std::vector<Slot>& aSlots) const
{
  const TargetId& id = aTarget.m_record.m_target;
  const std::size_t most = aGang.m_maxPerTarget > 0
                             ? std::min(aGang.m_maxPerTarget, aGang.m_count)
                             : aGang.m_count;
  Resources free = aTarget.Free() - ReservedFromGang(aGang.m_step, id);
  std::size_t found = CountThatFit(aGang.m_demand, free, most);
  aSlots.insert(aSlots.end(), found, Slot{ aNow, id });
  std::vector<std::pair<TimePoint, const Resources*>> ends;
  for (const auto& [name, run] : aTarget.m_runs) {
    ends.emplace_back(run.ExpectedEnd(aNow), &run.m_demand);
  }
  std::sort(ends.begin(), ends.end());
  for (const auto& [end, demand] : ends) {
    free += *demand;
    const std::size_t fitting = CountThatFit(aGang.m_demand, free, most);
    if (fitting > found) {
      aSlots.insert(aSlots.end(), fitting - found, Slot{ end, id });
      found = fitting;
    }
  }
}

bool GangReservations::IsReserved(const TargetId& aTarget) const
{
  return m_reservedBy.count(aTarget) > 0;
}

void GangReservations::Release(const StepName& aStep)
{
  const auto found = m_reservations.find(aStep);
  if (found != m_reservations.end()) {
    RemoveTasks(aStep, found->second);
    m_reservations.erase(found);
  }
}

Resources GangReservations::ReservedFromGang(const StepName& aGang,
                                             const TargetId& aTarget) const
{
  return SumReserved(
    aTarget, [&](const StepName& aHolder, const Reservation& aReservation) {
      return !(aHolder == aGang) && aReservation.m_triedThisRound;
    });
}

Resources GangReservations::ReservedFromTask(const TargetId& aTarget,
                                             const TaskUse& aUse) const
{
  const TimePoint soon =
    std::min(aUse.m_start + kAboutToStart, aUse.m_expectedEnd);
  return SumReserved(
    aTarget, [&](const StepName& /*aHolder*/, const Reservation& aReservation) {
      const bool moreUrgent = aUse.m_priority < aReservation.m_priority;
      return aReservation.m_readyAt < (moreUrgent ? soon : aUse.m_expectedEnd);
    });
}

Resources GangReservations::SumReserved(
  const TargetId& aTarget,
  const std::function<bool(const StepName&, const Reservation&)>& aCounts) const
{
  Resources reserved;
  const auto holders = m_reservedBy.find(aTarget);
  if (holders == m_reservedBy.end()) {
    return reserved;
  }
  for (const StepName& holder : holders->second) {
    const Reservation& reservation = m_reservations.at(holder);
    if (aCounts(holder, reservation)) {
      reserved += Times(reservation.m_demand, reservation.m_tasks.at(aTarget));
    }
  }
  return reserved;
}

std::optional<TimePoint> GangReservations::ReadyAt(const StepName& aStep) const
{
  const auto found = m_reservations.find(aStep);
  const bool reserved =
    found != m_reservations.end() && !found->second.m_tasks.empty();
  return reserved ? std::optional<TimePoint>(found->second.m_readyAt)
                  : std::nullopt;
}

void GangReservations::RemoveTasks(const StepName& aStep,
                                   Reservation& aReservation)
{
  for (const auto& [target, tasks] : aReservation.m_tasks) {
    const auto holders = m_reservedBy.find(target);
    std::vector<StepName>& steps = holders->second;
    steps.erase(std::find(steps.begin(), steps.end(), aStep));
    if (steps.empty()) {
      m_reservedBy.erase(holders);
    }
  }
  aReservation.m_tasks.clear();
}

} // namespace lycheestep
