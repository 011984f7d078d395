#include "placement_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "advice_cache.h"
#include "gang_reservations.h"
#include "job_effects.h"
#include "lycheestep/metrics_sink.h"
#include "run_text.h"
#include "target_manager.h"

namespace lycheestep {

namespace {

constexpr Duration kReportPeriod = std::chrono::seconds(1);

// The fewest tasks of a gang in each width group, and the groups' names.
constexpr std::array<std::size_t, kWidthGroups> kFewestTasks{
  { 1, 10, 20, 30, 40 }
};
constexpr std::array<const char*, kWidthGroups> kWidthNames{
  { "1-9", "10-19", "20-29", "30-39", "40-" }
};

// Returns the time waited in all and by reason as fields of a log line.
std::string WaitFields(const StepWaits& aWaits, TimePoint aNow)
{
  const Duration after = aNow - aWaits.m_readySince;
  std::string fields = " after_ms=" + std::to_string(ToMilliseconds(after));
  for (std::size_t i = 0; i < kStepWaits; ++i) {
    fields += std::string(" ") + ToString(static_cast<StepWait>(i)) +
              "_ms=" + std::to_string(ToMilliseconds(aWaits.m_waited[i]));
  }
  return fields;
}

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

std::size_t WidthGroupOf(std::size_t aTasks)
{
  std::size_t group = kWidthGroups - 1;
  while (group > 0 && aTasks < kFewestTasks[group]) {
    --group;
  }
  return group;
}

PlacementMonitor::PlacementMonitor(JobEffects& aEffects)
  : m_effects(aEffects)
{
}

void StepWaits::Begin(TimePoint aNow)
{
  *this = StepWaits();
  m_readySince = aNow;
  m_since = aNow;
}

void StepWaits::Note(StepWait aWait, TimePoint aNow)
{
  m_waited[static_cast<std::size_t>(m_wait)] += aNow - m_since;
  m_since = aNow;
  m_wait = aWait;
}

void PlacementMonitor::ReportPlaced(const StepName& aStep,
                                    bool aGang,
                                    std::size_t aTasks,
                                    StepWaits aWaits,
                                    TimePoint aNow)
{
  aWaits.Note(aWaits.m_wait, aNow);
  MetricsSink& metrics = m_effects.Metrics();
  for (std::size_t i = 0; i < kStepWaits; ++i) {
    const std::string name = ToString(static_cast<StepWait>(i));
    metrics.Observe("lycheestep_step_wait_seconds",
                    "for=\"" + name + '"',
                    aWaits.m_waited[i]);
  }
  if (aGang) {
    const std::string width = kWidthNames[WidthGroupOf(aTasks)];
    metrics.Observe("lycheestep_gang_wait_seconds",
                    "tasks=\"" + width + '"',
                    aNow - aWaits.m_readySince);
  }
  m_effects.LogUnlimited(
    "step-placed",
    "step=" + StepText(aStep) + " tasks=" + std::to_string(aTasks) +
      " gang=" + (aGang ? "yes" : "no") + WaitFields(aWaits, aNow));
}

void PlacementMonitor::ReportLate(const StepName& aStep,
                                  std::size_t aTasks,
                                  StepRank::Lateness aLateness,
                                  StepWaits aWaits,
                                  TimePoint aNow)
{
  aWaits.Note(aWaits.m_wait, aNow);
  m_effects.LogUnlimited(
    "gang-late",
    "step=" + StepText(aStep) + " tasks=" + std::to_string(aTasks) +
      " lateness=" + ToString(aLateness) + WaitFields(aWaits, aNow));
}

bool PlacementMonitor::FleetReportIsDue(TimePoint aNow) const
{
  return aNow - m_reportedAt >= kReportPeriod;
}

PlacementMonitor::FleetCapacity PlacementMonitor::Measure(
  const TargetManager& aTargets,
  const GangReservations& aReservations,
  TimePoint aNow)
{
  FleetCapacity capacity;
  for (const auto& [id, target] : aTargets.Targets()) {
    if (!target.IsInService()) {
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
    } else if (target.IsQuarantined(aNow)) {
      capacity.m_quarantined += total - used;
    } else if (aReservations.IsReserved(id)) {
      capacity.m_freeReserved += total - used;
    } else {
      capacity.m_free += total - used;
    }
  }
  return capacity;
}

void PlacementMonitor::NoteRound(std::size_t aTried)
{
  ++m_rounds;
  m_tried += aTried;
}

void PlacementMonitor::ReportAdvice(
  const std::map<QueueName, AdviceCounts>& aCounts)
{
  for (const auto& [queue, counts] : aCounts) {
    m_effects.LogUnlimited("advice-state",
                           "queue=" + queue.Text() +
                             " calls=" + std::to_string(counts.m_calls) +
                             " renewals=" + std::to_string(counts.m_renewals) +
                             " targets=" + std::to_string(counts.m_targets) +
                             " surveys=" + std::to_string(counts.m_surveys));
  }
}

void PlacementMonitor::ReportFleet(const WaitingSteps& aWaiting,
                                   const TargetManager& aTargets,
                                   const GangReservations& aReservations,
                                   TimePoint aNow)
{
  m_reportedAt = aNow;
  const FleetCapacity capacity = Measure(aTargets, aReservations, aNow);
  std::size_t steps = 0;
  for (const std::size_t count : aWaiting.m_steps) {
    steps += count;
  }
  std::string fields =
    "targets=" + std::to_string(aTargets.Targets().size()) +
    PercentField("used_percent", capacity.m_used, capacity.m_total) +
    PercentField(
      "used_memory_percent", capacity.m_usedMemory, capacity.m_memory) +
    PercentField("free_percent", capacity.m_free, capacity.m_total) +
    PercentField(
      "reserved_free_percent", capacity.m_freeReserved, capacity.m_total) +
    PercentField(
      "quarantined_percent", capacity.m_quarantined, capacity.m_total) +
    PercentField("unusable_percent", capacity.m_unusable, capacity.m_total) +
    " waiting_steps=" + std::to_string(steps) +
    " waiting_gangs=" + std::to_string(aWaiting.m_gangs);
  for (std::size_t i = 0; i < kStepWaits; ++i) {
    fields += std::string(" for_") + ToString(static_cast<StepWait>(i)) + "=" +
              std::to_string(aWaiting.m_steps[i]);
  }
  const AdvisorUse advisor = m_effects.GetAdvisorUse();
  fields += " advisor_hosts=" + std::to_string(advisor.m_hosts) +
            " advisor_busy=" + std::to_string(advisor.m_busyHosts) +
            " advisor_calls=" + std::to_string(advisor.m_calls) +
            " rounds=" + std::to_string(std::exchange(m_rounds, 0)) +
            " steps_tried=" + std::to_string(std::exchange(m_tried, 0));
  m_effects.LogUnlimited("fleet-state", fields);
  ReportWaitingGangs(aWaiting);
  MetricsSink& metrics = m_effects.Metrics();
  metrics.SetGauge("lycheestep_fleet_processors",
                   static_cast<double>(capacity.m_total) / 1000);
  metrics.SetGauge("lycheestep_fleet_used_processors",
                   static_cast<double>(capacity.m_used) / 1000);
  metrics.SetGauge("lycheestep_fleet_reserved_free_processors",
                   static_cast<double>(capacity.m_freeReserved) / 1000);
  metrics.SetGauge("lycheestep_fleet_quarantined_processors",
                   static_cast<double>(capacity.m_quarantined) / 1000);
  metrics.SetGauge("lycheestep_fleet_unusable_processors",
                   static_cast<double>(capacity.m_unusable) / 1000);
  metrics.SetGauge("lycheestep_waiting_steps", static_cast<double>(steps));
  metrics.SetGauge("lycheestep_waiting_gangs",
                   static_cast<double>(aWaiting.m_gangs));
}

void PlacementMonitor::ReportWaitingGangs(const WaitingSteps& aWaiting)
{
  for (std::size_t i = 0; i < kWidthGroups; ++i) {
    const WaitingGangs& waiting = aWaiting.m_gangsByWidth[i];
    std::size_t gangs = 0;
    std::string fields = std::string("tasks=") + kWidthNames[i];
    for (std::size_t j = 0; j < kLatenesses; ++j) {
      gangs += waiting.m_gangs[j];
      fields += std::string(" ") +
                ToString(static_cast<StepRank::Lateness>(j)) + "=" +
                std::to_string(waiting.m_gangs[j]);
    }
    if (gangs > 0) {
      const auto oldest = ToMilliseconds(waiting.m_oldest);
      m_effects.LogUnlimited(
        "waiting-gangs",
        fields + " reserved=" + std::to_string(waiting.m_reserved) +
          " reserved_free=" + std::to_string(waiting.m_reservedFree) +
          " oldest_ms=" + std::to_string(oldest));
    }
  }
}

} // namespace lycheestep
