#include "gang_reservations.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "placement.h"
#include "target_state.h"

namespace lycheestep {

namespace {

// At most one in this many targets is reserved at the same time.
constexpr std::size_t kReservableDivisor = 3;

// A reservation times out after the first of these times, and its gang reserves
// no targets for the second, so that a gang that never fits does not keep
// others waiting.
constexpr Duration kMaxReservationTime = std::chrono::seconds(6);
constexpr Duration kReservationPause = std::chrono::seconds(2);

} // namespace

void GangReservations::BeginRound(std::size_t aTargets, TimePoint aNow)
{
  m_limit = aTargets / kReservableDivisor;
  for (auto it = m_reservations.begin(); it != m_reservations.end();) {
    Reservation& reservation = it->second;
    const bool abandoned =
      !reservation.m_triedThisRound && reservation.m_pauseUntil <= aNow;
    if (abandoned) {
      RemoveTargets(it->first, reservation);
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
    RemoveTargets(aGang.m_step, reservation);
    reservation.m_pauseUntil = aNow + kReservationPause;
    reservation.m_since = aNow + kReservationPause;
    return;
  }
  // Each round chooses the targets again, as the platform's list of targets and
  // the permissions change between rounds.
  RemoveTargets(aGang.m_step, reservation);
  std::set<TargetId> chosen = ChooseTargets(aGang);
  if (ReservedCount() + chosen.size() > m_limit) {
    return;
  }
  reservation.m_targets = std::move(chosen);
  for (const TargetId& target : reservation.m_targets) {
    m_reservedBy[target] = aGang.m_step;
  }
}

void GangReservations::Release(const StepName& aStep)
{
  const auto found = m_reservations.find(aStep);
  if (found != m_reservations.end()) {
    RemoveTargets(aStep, found->second);
    m_reservations.erase(found);
  }
}

ReservationKind GangReservations::KindFor(const StepName& aStep,
                                          const TargetId& aTarget) const
{
  const auto holder = m_reservedBy.find(aTarget);
  if (holder == m_reservedBy.end() || holder->second == aStep) {
    return ReservationKind::kNone;
  }
  return m_reservations.at(holder->second).m_triedThisRound
           ? ReservationKind::kExclude
           : ReservationKind::kAvoidIfPossible;
}

// Chooses the emptiest targets first, as they have capacity for the gang
// soonest, until the gang would fit on the chosen ones if nothing else ran
// there. Returns no targets if the gang would not fit even on all of them.
std::set<TargetId> GangReservations::ChooseTargets(
  const WaitingGang& aGang) const
{
  const std::size_t most = aGang.m_maxPerTarget > 0
                             ? std::min(aGang.m_maxPerTarget, aGang.m_count)
                             : aGang.m_count;
  using Emptiness = std::pair<std::size_t, double>;
  std::vector<std::pair<Emptiness, const TargetState*>> emptiest;
  for (const TargetState* target : aGang.m_targets) {
    const bool usable =
      target->m_listed && !target->m_record.m_draining &&
      !IsReservedByOther(aGang.m_step, target->m_record.m_target);
    if (usable) {
      const Resources free = target->Free();
      emptiest.emplace_back(
        Emptiness(CountThatFit(aGang.m_demand, free, most),
                  free.DominantShare(target->m_record.m_capacity)),
        target);
    }
  }
  std::stable_sort(emptiest.begin(),
                   emptiest.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.first > aRight.first;
                   });
  std::set<TargetId> chosen;
  std::size_t capacity = 0;
  for (const auto& [emptiness, target] : emptiest) {
    if (capacity >= aGang.m_count) {
      break;
    }
    const std::size_t fitWhenEmpty =
      CountThatFit(aGang.m_demand, target->m_record.m_capacity, most);
    if (fitWhenEmpty > 0) {
      chosen.insert(target->m_record.m_target);
      capacity += fitWhenEmpty;
    }
  }
  return capacity >= aGang.m_count ? chosen : std::set<TargetId>();
}

bool GangReservations::IsReservedByOther(const StepName& aStep,
                                         const TargetId& aTarget) const
{
  const auto holder = m_reservedBy.find(aTarget);
  return holder != m_reservedBy.end() && !(holder->second == aStep);
}

void GangReservations::RemoveTargets(const StepName& aStep,
                                     Reservation& aReservation)
{
  for (const TargetId& target : aReservation.m_targets) {
    const auto holder = m_reservedBy.find(target);
    if (holder != m_reservedBy.end() && holder->second == aStep) {
      m_reservedBy.erase(holder);
    }
  }
  aReservation.m_targets.clear();
}

} // namespace lycheestep
