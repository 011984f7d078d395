#include "gang_reservations.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "placement.h"
#include "target_state.h"

namespace lycheestep {

namespace {

// The part of the targets that may be held at the same time.
constexpr std::size_t kReservableDivisor = 3;

// A gang holds targets for this long at the most, and not again for the
// second time, so that one that never fits does not keep the others waiting.
constexpr Duration kMaxReservationTime = std::chrono::seconds(6);
constexpr Duration kReservationPause = std::chrono::seconds(2);

} // namespace

void GangReservations::BeginRound(std::size_t aTargets, TimePoint aNow)
{
  m_limit = aTargets / kReservableDivisor;
  for (auto it = m_holds.begin(); it != m_holds.end();) {
    Hold& hold = it->second;
    const bool forgotten = !hold.m_triedThisRound && hold.m_pauseUntil <= aNow;
    if (forgotten) {
      Drop(it->first, hold);
      it = m_holds.erase(it);
      continue;
    }
    hold.m_triedThisRound = false;
    ++it;
  }
}

void GangReservations::OnGangNotPlaced(const WaitingGang& aGang, TimePoint aNow)
{
  const auto [found, isNew] = m_holds.try_emplace(aGang.m_step);
  Hold& hold = found->second;
  if (isNew) {
    hold.m_since = aNow;
  }
  if (hold.m_pauseUntil > aNow) {
    return;
  }
  hold.m_triedThisRound = true;
  if (aNow - hold.m_since > kMaxReservationTime) {
    Drop(aGang.m_step, hold);
    hold.m_pauseUntil = aNow + kReservationPause;
    hold.m_since = aNow + kReservationPause;
    return;
  }
  // Chosen anew, as targets come and go and permissions are added.
  Drop(aGang.m_step, hold);
  std::set<TargetId> chosen = ChooseTargets(aGang);
  if (Held() + chosen.size() > m_limit) {
    return;
  }
  hold.m_targets = std::move(chosen);
  for (const TargetId& target : hold.m_targets) {
    m_reservedBy[target] = aGang.m_step;
  }
}

void GangReservations::Release(const StepName& aStep)
{
  const auto found = m_holds.find(aStep);
  if (found != m_holds.end()) {
    Drop(aStep, found->second);
    m_holds.erase(found);
  }
}

ReservationKind GangReservations::KindFor(const StepName& aStep,
                                          const TargetId& aTarget) const
{
  const auto holder = m_reservedBy.find(aTarget);
  if (holder == m_reservedBy.end() || holder->second == aStep) {
    return ReservationKind::kNone;
  }
  return m_holds.at(holder->second).m_triedThisRound
           ? ReservationKind::kExclude
           : ReservationKind::kAvoidIfPossible;
}

// The emptiest targets first, as they have room for the gang soonest, until
// all of them together have room for it when nothing else is there. None when
// they never have.
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
  std::size_t room = 0;
  for (const auto& [emptiness, target] : emptiest) {
    if (room >= aGang.m_count) {
      break;
    }
    const std::size_t whole =
      CountThatFit(aGang.m_demand, target->m_record.m_capacity, most);
    if (whole > 0) {
      chosen.insert(target->m_record.m_target);
      room += whole;
    }
  }
  return room >= aGang.m_count ? chosen : std::set<TargetId>();
}

bool GangReservations::IsReservedByOther(const StepName& aStep,
                                         const TargetId& aTarget) const
{
  const auto holder = m_reservedBy.find(aTarget);
  return holder != m_reservedBy.end() && !(holder->second == aStep);
}

void GangReservations::Drop(const StepName& aStep, Hold& aHold)
{
  for (const TargetId& target : aHold.m_targets) {
    const auto holder = m_reservedBy.find(target);
    if (holder != m_reservedBy.end() && holder->second == aStep) {
      m_reservedBy.erase(holder);
    }
  }
  aHold.m_targets.clear();
}

} // namespace lycheestep
