#include "avoided_targets.h"

#include <algorithm>

#include "target_state.h"

namespace lycheestep {

namespace {

// Work may be kept from at most one part in kMaxAvoidedDivisor of a service's
// targets.
constexpr std::size_t kMaxAvoidedDivisor = 2;

// While more of a service's processors are in use, its work waits for capacity
// on healthy targets.
constexpr std::int64_t kBusyServicePercent = 60;
constexpr std::int64_t kWhole = 100;

} // namespace

void AvoidedTargets::BeginRound(const std::map<TargetId, TargetState>& aTargets,
                                TimePoint aNow)
{
  m_services.clear();
  const bool any =
    std::any_of(aTargets.begin(), aTargets.end(), [aNow](const auto& aEntry) {
      return aEntry.second.IsQuarantined(aNow);
    });
  if (!any) {
    return;
  }
  for (const auto& [id, target] : aTargets) {
    if (!target.TakesWork(aNow)) {
      continue;
    }
    ServiceState& service = m_services[target.m_record.m_service];
    ++service.m_targets;
    service.m_quarantined += target.IsQuarantined(aNow) ? 1 : 0;
    service.m_processors +=
      target.m_record.m_capacity.Get(ResourceKind::kProcessors);
    service.m_usedProcessors += target.m_used.Get(ResourceKind::kProcessors);
  }
}

bool AvoidedTargets::MayUse(const TargetState& aTarget,
                            const PlacementNeed& aNeed,
                            TimePoint aNow) const
{
  if (!aTarget.IsQuarantined(aNow)) {
    return true;
  }
  const auto service = m_services.find(aTarget.m_record.m_service);
  if (service == m_services.end()) {
    return false;
  }
  const bool mostAvoided = service->second.m_quarantined * kMaxAvoidedDivisor >
                           service->second.m_targets;
  if (mostAvoided) {
    return true;
  }
  const bool mayWait = !aNeed.m_longRunning && IsBusy(service->second);
  return !mayWait && aNeed.m_idleFor >= kLongestAvoidance;
}

bool AvoidedTargets::IsBusy(const ServiceState& aService)
{
  return aService.m_usedProcessors * kWhole >=
         aService.m_processors * kBusyServicePercent;
}

} // namespace lycheestep
