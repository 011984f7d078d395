#ifndef LYCHEESTEP_AVOIDED_TARGETS_H
#define LYCHEESTEP_AVOIDED_TARGETS_H

#include <cstddef>
#include <cstdint>
#include <map>

#include "lycheestep/queue_config.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

struct TargetState;

// What a step that asks for a target needs.
struct PlacementNeed
{
  // How long the step has been ready without any task at work. For tasks that
  // run until their job is cancelled, how long it has been ready.
  Duration m_idleFor = Duration::zero();
  bool m_longRunning = false;
};

// Decides which targets in quarantine a step may use in one placement round.
// Work waits for a healthy target only while that is sure to cost its caller
// little: not when most targets of the service are in quarantine, which says
// more about the work than about the targets, and not for longer than
// kLongestAvoidance while the service has capacity to spare.
class AvoidedTargets
{
public:
  // The longest time that a step with nothing at work waits for healthy
  // targets. It is a third of the shortest time after which callers notice.
  static constexpr Duration kLongestAvoidance = std::chrono::seconds(1);

  // Counts the targets of each service as they are at aNow.
  void BeginRound(const std::map<TargetId, TargetState>& aTargets,
                  TimePoint aNow);

  // Returns true if a step with aNeed may use the target, whether or not it is
  // in quarantine.
  bool MayUse(const TargetState& aTarget,
              const PlacementNeed& aNeed,
              TimePoint aNow) const;

private:
  struct ServiceState
  {
    std::size_t m_targets = 0;
    std::size_t m_quarantined = 0;
    std::int64_t m_processors = 0;
    std::int64_t m_usedProcessors = 0;
  };

  static bool IsBusy(const ServiceState& aService);

  std::map<ServiceName, ServiceState> m_services;
};

} // namespace lycheestep

#endif
