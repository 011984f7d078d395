#ifndef LYCHEESTEP_JOB_FLOOD_H
#define LYCHEESTEP_JOB_FLOOD_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "job_cell_model.h"

namespace lycheestep {

// A quantity that differs from job to job: a log-normal distribution, cut off
// above.
struct Spread
{
  double m_mean = 1;
  // The standard deviation of the logarithm.
  double m_spread = 0;
  double m_max = 1;
};

// One kind of job and how often it is submitted.
struct FloodKind
{
  QueueConfig m_terms;
  double m_jobsPerSecond = 0;
  // Steps that run one after the other.
  Spread m_steps;
  // Tasks of each step.
  Spread m_width;
  // What each task takes, in thousandths of a core and in MiB.
  Spread m_milliCores;
  Spread m_memoryMib;
  // The estimated run time of each task, in milliseconds.
  Spread m_estimateMs;
  // The share of jobs whose steps are gangs.
  double m_gangShare = 0;
  // The share of targets that may run a step of this kind.
  double m_fitShare = 1;
};

// The fleet that a flood comes to.
struct FloodFleet
{
  std::size_t m_targets = 0;
  Resources m_capacity = Resources(16000, 32768, 0, 0, 0);
  // How long a permission of the advisor is valid.
  Duration m_permissionLife = std::chrono::milliseconds(2500);
};

// Returns the terms of a queue whose steps need the advisor. Each of its calls
// takes aPerCall and aPerTarget for each target.
QueueConfig MakeFloodQueue(const char* aName,
                           std::uint32_t aPriority,
                           double aSlackFactor,
                           Duration aLatencyTarget,
                           Duration aPerCall,
                           Duration aPerTarget);

// Submits jobs of several kinds to a cell on virtual time and counts how many
// of them end in time to be of use, by the size of the job.
class JobFlood
{
public:
  JobFlood(std::uint64_t aSeed, std::size_t aTargets)
    : JobFlood(aSeed, FloodFleet{ aTargets })
  {
  }
  JobFlood(std::uint64_t aSeed, const FloodFleet& aFleet);

  JobCellModel& Cell() { return m_cell; }

  // Submits jobs of the kinds for aTime. The kind with index aBurst, if there
  // is one, comes aFactor times as often.
  void Submit(const std::vector<FloodKind>& aKinds,
              Duration aTime,
              std::size_t aBurst = kNoBurst,
              double aFactor = 1);

  // Stands for no kind.
  static constexpr std::size_t kNoBurst = SIZE_MAX;

  // Returns the share of the jobs of the kind with index aKind that ended in
  // time to be of use, of the largest aTop of them without the largest aSkip.
  // Both are shares of the kind's jobs.
  double Served(std::size_t aKind, double aSkip, double aTop) const;

  // Returns the number of jobs of the kind.
  std::size_t Count(std::size_t aKind) const;

private:
  struct Submitted
  {
    JobId m_job;
    // The work of all tasks by the estimates, in core milliseconds.
    double m_work = 0;
    // The job is of use to its caller if it ends within this time.
    Duration m_limit = Duration::zero();
  };

  Submitted SubmitOne(const FloodKind& aKind);
  double Draw(const Spread& aSpread);

  const FloodFleet m_fleet;
  JobCellModel m_cell;
  std::minstd_rand m_random;
  std::map<std::size_t, std::vector<Submitted>> m_submitted;
};

} // namespace lycheestep

#endif
