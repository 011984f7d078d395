#ifndef LYCHEESTEP_PLACEMENT_MONITOR_H
#define LYCHEESTEP_PLACEMENT_MONITOR_H

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "lycheestep/resources.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class GangReservations;
class JobEffects;
class TargetManager;

// What a step with unplaced tasks waits for.
enum class StepWait : std::uint8_t
{
  kAdvice,   // the answer to a call of the advisor
  kAdvisor,  // a host that is free to call the advisor
  kCapacity, // free capacity on targets on which the step may run
};
constexpr std::size_t kStepWaits = 3;

// Returns the reason's name in logs and metrics.
const char* ToString(StepWait aWait);

// Measures what delays the placement of steps, and how the fleet's capacity is
// used. Writes one log line for each step whose tasks are all placed, and one
// line per second about the whole fleet; both also go into metrics. Makes no
// decisions.
class PlacementMonitor
{
public:
  explicit PlacementMonitor(JobEffects& aEffects);

  // Begins a placement round. Forgets the steps that the previous round did not
  // mention, as they need no placement any more.
  void BeginRound(TimePoint aNow);

  // Records that the step could not be placed completely in this round.
  void NoteWaiting(const StepName& aStep, bool aGang, StepWait aWait);

  // Records that the last aTasks tasks of the step were placed in this round.
  void NotePlaced(const StepName& aStep,
                  bool aGang,
                  std::size_t aTasks,
                  TimePoint aReadySince,
                  TimePoint aNow);

  // Reports on the fleet if a second has passed since the last report.
  void ReportFleet(const TargetManager& aTargets,
                   const GangReservations& aReservations,
                   TimePoint aNow);

private:
  // How long a step has waited so far.
  struct Waiting
  {
    bool m_gang = false;
    StepWait m_wait = StepWait::kCapacity;
    std::array<Duration, kStepWaits> m_waited{};
    bool m_mentioned = false;
  };

  // The capacity of the fleet by use: thousandths of cores, and MiB.
  struct FleetCapacity
  {
    std::int64_t m_total = 0;
    std::int64_t m_used = 0;
    // Free on targets that take work now, reserved for a gang or not.
    std::int64_t m_freeReserved = 0;
    std::int64_t m_free = 0;
    // Free on targets that take no work now: not taken, in quarantine or
    // draining.
    std::int64_t m_unusable = 0;
    std::int64_t m_memory = 0;
    std::int64_t m_usedMemory = 0;
  };

  static FleetCapacity Measure(const TargetManager& aTargets,
                               const GangReservations& aReservations,
                               TimePoint aNow);

  JobEffects& m_effects;
  std::map<StepName, Waiting> m_waiting;
  TimePoint m_roundStart;
  TimePoint m_reportedAt;
};

} // namespace lycheestep

#endif
