#ifndef LYCHEESTEP_PLACEMENT_MONITOR_H
#define LYCHEESTEP_PLACEMENT_MONITOR_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "lycheestep/queue_config.h"
#include "lycheestep/resources.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"
#include "placement.h"

namespace lycheestep {

class GangReservations;
struct AdviceCounts;
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

// How long a step that is ready has waited, by reason.
struct StepWaits
{
  // When the step last became ready.
  TimePoint m_readySince;
  // The reason since m_since.
  StepWait m_wait = StepWait::kAdvice;
  TimePoint m_since;
  std::array<Duration, kStepWaits> m_waited{};

  // Begins to wait at aNow.
  void Begin(TimePoint aNow);
  // Adds the time since the last call to the reason that held until aNow. The
  // step waits for aWait from then on.
  void Note(StepWait aWait, TimePoint aNow);
};

// Gangs are reported by width: one group for each range of task counts.
constexpr std::size_t kWidthGroups = 5;

// Returns the number of the group to which a gang of aTasks tasks belongs.
std::size_t WidthGroupOf(std::size_t aTasks);

// The gangs of one width group that wait to be placed.
struct WaitingGangs
{
  // The number of gangs by StepRank::Lateness.
  std::array<std::size_t, kLatenesses> m_gangs{};
  // How many of them have reserved capacity, and how many of those expect all
  // of it to be free by now.
  std::size_t m_reserved = 0;
  std::size_t m_reservedFree = 0;
  // The longest time since one of them became ready.
  Duration m_oldest = Duration::zero();
};

// The steps that wait to be placed.
struct WaitingSteps
{
  std::array<std::size_t, kStepWaits> m_steps{};
  std::size_t m_gangs = 0;
  std::array<WaitingGangs, kWidthGroups> m_gangsByWidth{};
};

// Reports what delays the placement of steps, and how the fleet's capacity is
// used: one log line for each step whose tasks are all placed and for each
// gang that becomes late, and once per second lines about the whole fleet and
// the gangs that wait, by width; most also go into metrics. Makes no decisions.
class PlacementMonitor
{
public:
  explicit PlacementMonitor(JobEffects& aEffects);

  // Reports that the last tasks of a step of aTasks tasks were placed.
  void ReportPlaced(const StepName& aStep,
                    bool aGang,
                    std::size_t aTasks,
                    StepWaits aWaits,
                    TimePoint aNow);

  // Reports that a gang of aTasks tasks that waits has become late or too late.
  void ReportLate(const StepName& aStep,
                  std::size_t aTasks,
                  StepRank::Lateness aLateness,
                  StepWaits aWaits,
                  TimePoint aNow);

  // Returns true if a second has passed since the last report on the fleet.
  bool FleetReportIsDue(TimePoint aNow) const;

  // Counts a placement round that tried to place aTried steps.
  void NoteRound(std::size_t aTried);

  // Reports what the advisor was asked since the last report.
  void ReportAdvice(const std::map<QueueName, AdviceCounts>& aCounts);

  void ReportFleet(const WaitingSteps& aWaiting,
                   const TargetManager& aTargets,
                   const GangReservations& aReservations,
                   TimePoint aNow);

private:
  // The capacity of the fleet by use: thousandths of cores, and MiB.
  struct FleetCapacity
  {
    std::int64_t m_total = 0;
    std::int64_t m_used = 0;
    // Free on targets that take work now, reserved for a gang or not.
    std::int64_t m_freeReserved = 0;
    std::int64_t m_free = 0;
    // Free on targets that take work and are in quarantine.
    std::int64_t m_quarantined = 0;
    // Free on targets that take no work now: not taken, silent or draining.
    std::int64_t m_unusable = 0;
    std::int64_t m_memory = 0;
    std::int64_t m_usedMemory = 0;
  };

  void ReportWaitingGangs(const WaitingSteps& aWaiting);

  static FleetCapacity Measure(const TargetManager& aTargets,
                               const GangReservations& aReservations,
                               TimePoint aNow);

  JobEffects& m_effects;
  TimePoint m_reportedAt;
  // The placement rounds since the last report on the fleet, and the steps that
  // they tried to place.
  std::size_t m_rounds = 0;
  std::size_t m_tried = 0;
};

} // namespace lycheestep

#endif
