#include "stop_monitor.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "job_effects.h"
#include "lycheestep/metrics_sink.h"
#include "run_text.h"
#include "target_state.h"

namespace lycheestep {

namespace {

constexpr Duration kReportPeriod = std::chrono::seconds(1);

// A stop that takes longer is overdue. A target ends a run within 0.9 s.
constexpr Duration kOverdueAfter = std::chrono::milliseconds(1500);

// The most overdue stops that one report names, the oldest first.
constexpr std::size_t kMaxNamed = 20;

struct OverdueStop
{
  Duration m_since = Duration::zero();
  RunName m_run;
  TargetId m_target;
  std::uint32_t m_sentCount = 0;
  StopObstacle m_obstacle = StopObstacle::kNotSent;
};

void SortOldestFirst(std::vector<OverdueStop>& aStops)
{
  std::sort(aStops.begin(),
            aStops.end(),
            [](const OverdueStop& aLeft, const OverdueStop& aRight) {
              return aLeft.m_since > aRight.m_since;
            });
}

std::string Fields(const OverdueStop& aStop)
{
  return RunFields(aStop.m_run, aStop.m_target) +
         " since_ms=" + std::to_string(ToMilliseconds(aStop.m_since)) +
         " stops_sent=" + std::to_string(aStop.m_sentCount) +
         " reason=" + ToString(aStop.m_obstacle);
}

} // namespace

const char* ToString(StopObstacle aObstacle)
{
  switch (aObstacle) {
    case StopObstacle::kNoAddress:
      return "no-address";
    case StopObstacle::kNotSent:
      return "not-sent";
    case StopObstacle::kNotAnswered:
      return "not-answered";
    case StopObstacle::kRefused:
      return "refused";
    case StopObstacle::kNotEnded:
      return "not-ended";
  }
  return "";
}

StopObstacle ObstacleOf(const TargetState& aTarget, const TargetRun& aRun)
{
  if (aTarget.Address().IsNone()) {
    return StopObstacle::kNoAddress;
  }
  if (aRun.m_stop.m_sentCount == 0) {
    return StopObstacle::kNotSent;
  }
  switch (aRun.m_stop.m_answer.value_or(OrderStatus::kUnknown)) {
    case OrderStatus::kUnknown:
      return StopObstacle::kNotAnswered;
    case OrderStatus::kNotSent:
    case OrderStatus::kWithdrawn:
      return StopObstacle::kNotSent;
    case OrderStatus::kDone:
      return StopObstacle::kNotEnded;
    default:
      return StopObstacle::kRefused;
  }
}

StopMonitor::StopMonitor(JobEffects& aEffects)
  : m_effects(aEffects)
{
}

void StopMonitor::OnRunEnded(const TargetRun& aRun, TimePoint aNow)
{
  if (aRun.m_stop.m_isRequested) {
    m_effects.Metrics().Observe(
      "lycheestep_stop_seconds", "", aNow - aRun.m_stop.m_requestedAt);
  }
}

void StopMonitor::Tick(const std::map<TargetId, TargetState>& aTargets,
                       TimePoint aNow)
{
  if (aNow < m_nextReport) {
    return;
  }
  m_nextReport = aNow + kReportPeriod;
  std::size_t waiting = 0;
  Duration oldest = Duration::zero();
  std::vector<OverdueStop> overdue;
  for (const auto& [id, target] : aTargets) {
    for (const auto& [name, run] : target.m_runs) {
      if (!run.m_stop.m_isRequested) {
        continue;
      }
      const Duration since = aNow - run.m_stop.m_requestedAt;
      ++waiting;
      oldest = std::max(oldest, since);
      if (since > kOverdueAfter) {
        overdue.push_back(OverdueStop{
          since, name, id, run.m_stop.m_sentCount, ObstacleOf(target, run) });
      }
    }
  }
  MetricsSink& metrics = m_effects.Metrics();
  metrics.SetGauge("lycheestep_stops_waiting", static_cast<double>(waiting));
  metrics.SetGauge("lycheestep_stops_overdue",
                   static_cast<double>(overdue.size()));
  metrics.SetGauge("lycheestep_oldest_stop_seconds",
                   std::chrono::duration<double>(oldest).count());
  SortOldestFirst(overdue);
  const std::size_t named = std::min(kMaxNamed, overdue.size());
  for (std::size_t i = 0; i < named; ++i) {
    m_effects.LogUnlimited("stop-overdue", Fields(overdue[i]));
  }
  if (named < overdue.size()) {
    m_effects.LogUnlimited("stops-overdue",
                           "count=" + std::to_string(overdue.size()) +
                             " named=" + std::to_string(named));
  }
}

} // namespace lycheestep
