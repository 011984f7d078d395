#include "placement_monitor.h"

#include <algorithm>
#include <chrono>

#include "gang_reservations.h"
#include "job_effects.h"
#include "lycheestep/metrics_sink.h"
#include "run_text.h"
#include "target_manager.h"

namespace lycheestep {

namespace {

constexpr Duration kReportPeriod = std::chrono::seconds(1);

std::string PercentField(const char* aName,
                         std::int64_t aPart,
                         std::int64_t aWhole)
{
  const std::int64_t percent = aWhole > 0 ? aPart * 100 / aWhole : 0;
  return std::string(" ") + aName + "=" + std::to_string(percent);
}

} // namespace

const char* ToString(StepWait aWait)
{
  switch (aWait) {
    case StepWait::kAdvice:
      return "advice";
    case StepWait::kAdvisor:
      return "advisor";
    case StepWait::kCapacity:
      return "capacity";
  }
  return "";
}

PlacementMonitor::PlacementMonitor(JobEffects& aEffects)
  : m_effects(aEffects)
{
}

void PlacementMonitor::BeginRound(TimePoint aNow)
{
  const Duration elapsed = aNow - m_roundStart;
  m_roundStart = aNow;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    Waiting& waiting = it->second;
    if (!waiting.m_mentioned) {
      it = m_waiting.erase(it);
      continue;
    }
    waiting.m_mentioned = false;
    waiting.m_waited[static_cast<std::size_t>(waiting.m_wait)] += elapsed;
    ++it;
  }
}

void PlacementMonitor::NoteWaiting(const StepName& aStep,
                                   bool aGang,
                                   StepWait aWait)
{
  Waiting& waiting = m_waiting[aStep];
  waiting.m_gang = aGang;
  waiting.m_wait = aWait;
  waiting.m_mentioned = true;
}

void PlacementMonitor::NotePlaced(const StepName& aStep,
                                  bool aGang,
                                  std::size_t aTasks,
                                  TimePoint aReadySince,
                                  TimePoint aNow)
{
  const Waiting waiting = m_waiting[aStep];
  m_waiting.erase(aStep);
  std::string fields =
    "step=" + StepText(aStep) + " tasks=" + std::to_string(aTasks) +
    " gang=" + (aGang ? "yes" : "no") +
    " after_ms=" + std::to_string(ToMilliseconds(aNow - aReadySince));
  for (std::size_t i = 0; i < kStepWaits; ++i) {
    const std::string name = ToString(static_cast<StepWait>(i));
    const Duration waited = waiting.m_waited[i];
    fields += " " + name + "_ms=" + std::to_string(ToMilliseconds(waited));
    m_effects.Metrics().Observe(
      "lycheestep_step_wait_seconds", "for=\"" + name + '"', waited);
  }
  m_effects.LogSummary("step-placed", fields);
}

PlacementMonitor::FleetCapacity PlacementMonitor::Measure(
  const TargetManager& aTargets,
  const GangReservations& aReservations,
  TimePoint aNow)
{
  FleetCapacity capacity;
  for (const auto& [id, target] : aTargets.Targets()) {
    if (!target.m_listed) {
      continue;
    }
    const auto total =
      target.m_record.m_capacity.Get(ResourceKind::kProcessors);
    const auto used =
      std::min(total, target.m_used.Get(ResourceKind::kProcessors));
    capacity.m_memory += target.m_record.m_capacity.Get(ResourceKind::kMemory);
    capacity.m_usedMemory += target.m_used.Get(ResourceKind::kMemory);
    capacity.m_total += total;
    capacity.m_used += used;
    if (!target.TakesWork(aNow)) {
      capacity.m_unusable += total - used;
    } else if (aReservations.IsReserved(id)) {
      capacity.m_freeReserved += total - used;
    } else {
      capacity.m_free += total - used;
    }
  }
  return capacity;
}

void PlacementMonitor::ReportFleet(const TargetManager& aTargets,
                                   const GangReservations& aReservations,
                                   TimePoint aNow)
{
  if (aNow - m_reportedAt < kReportPeriod) {
    return;
  }
  m_reportedAt = aNow;
  const FleetCapacity capacity = Measure(aTargets, aReservations, aNow);
  std::size_t gangs = 0;
  std::array<std::size_t, kStepWaits> steps{};
  for (const auto& [name, waiting] : m_waiting) {
    gangs += waiting.m_gang ? 1 : 0;
    ++steps[static_cast<std::size_t>(waiting.m_wait)];
  }
  std::string fields =
    "targets=" + std::to_string(aTargets.Targets().size()) +
    PercentField("used_percent", capacity.m_used, capacity.m_total) +
    PercentField(
      "used_memory_percent", capacity.m_usedMemory, capacity.m_memory) +
    PercentField("free_percent", capacity.m_free, capacity.m_total) +
    PercentField(
      "reserved_free_percent", capacity.m_freeReserved, capacity.m_total) +
    PercentField("unusable_percent", capacity.m_unusable, capacity.m_total) +
    " waiting_steps=" + std::to_string(m_waiting.size()) +
    " waiting_gangs=" + std::to_string(gangs);
  for (std::size_t i = 0; i < kStepWaits; ++i) {
    fields += std::string(" for_") + ToString(static_cast<StepWait>(i)) + "=" +
              std::to_string(steps[i]);
  }
  const AdvisorUse advisor = m_effects.GetAdvisorUse();
  fields += " advisor_hosts=" + std::to_string(advisor.m_hosts) +
            " advisor_busy=" + std::to_string(advisor.m_busyHosts) +
            " advisor_calls=" + std::to_string(advisor.m_calls);
  m_effects.LogSummary("fleet-state", fields);
  MetricsSink& metrics = m_effects.Metrics();
  metrics.SetGauge("lycheestep_fleet_processors",
                   static_cast<double>(capacity.m_total) / 1000);
  metrics.SetGauge("lycheestep_fleet_used_processors",
                   static_cast<double>(capacity.m_used) / 1000);
  metrics.SetGauge("lycheestep_fleet_reserved_free_processors",
                   static_cast<double>(capacity.m_freeReserved) / 1000);
  metrics.SetGauge("lycheestep_fleet_unusable_processors",
                   static_cast<double>(capacity.m_unusable) / 1000);
  metrics.SetGauge("lycheestep_waiting_steps",
                   static_cast<double>(m_waiting.size()));
  metrics.SetGauge("lycheestep_waiting_gangs", static_cast<double>(gangs));
}

} // namespace lycheestep
