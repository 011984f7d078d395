#ifndef LYCHEESTEP_BENCH_POLICY_RUN_H
#define LYCHEESTEP_BENCH_POLICY_RUN_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench_policy.h"
#include "fleet.h"
#include "group_share.h"
#include "workload.h"

namespace lycheestep::bench {

// What a policy made of a workload.
struct PolicyResult
{
  // Seconds from arrival to start of the work that does not flood, by class,
  // sorted.
  std::array<std::vector<double>, kWorkClasses> m_waits;
  // The least that any class or team without a flooding kind got of the
  // smaller of its floor and of what it asked for, during the flood.
  double m_kept = 1.0;
  // Mean and peak share of the fleet's dominant resource in use during the
  // flood, while work waits.
  double m_useful = 0.0;
  double m_peak = 0.0;
  // Requests that started, that never did, and the most that waited at once.
  std::uint64_t m_started = 0;
  std::uint64_t m_notStarted = 0;
  std::size_t m_mostWaiting = 0;
  std::uint64_t m_preempted = 0;
  // True when a target ever had less than nothing free.
  bool m_overcommitted = false;
  // By second of arrival: the longest wait of urgent work that does not flood
  // and the kept share.
  std::vector<double> m_waitSeries;
  std::vector<double> m_keptSeries;
};

// Runs one workload under one policy on virtual time.
class PolicyRun
{
public:
  // Both outlive this.
  PolicyRun(const Workload& aWorkload, BenchPolicy& aPolicy);

  // Runs to the end; call once.
  PolicyResult Run();

private:
  // A request that runs or that ran.
  struct Job
  {
    WaitingWork m_work;
    std::vector<TargetId> m_targets;
    TimePoint m_started;
    Duration m_left = Duration::zero();
    bool m_running = false;
    bool m_stopping = false;
    bool m_everStarted = false;
    // Ends of an earlier run of a job that was stopped are passed over.
    std::uint32_t m_run = 0;
  };

  struct End
  {
    TimePoint m_at;
    std::size_t m_job = 0;
    std::uint32_t m_run = 0;

    bool operator>(const End& aOther) const { return m_at > aOther.m_at; }
  };

  void Arrive(std::size_t aJob);
  void Finish(const End& aEnd);
  void DecideAll();
  void Start(BenchStart aStart);
  void Preempt();
  void AddUse(TimePoint aUntil);
  void SetUpGroups();
  void Hold(const Job& aJob, const WorkKind& aKind);
  double ShareOf(const WorkKind& aKind) const;
  void CountServed(std::size_t aJob);
  void Measure();
  const WorkKind& KindOf(std::size_t aJob) const;

  const Workload& m_workload;
  BenchPolicy& m_policy;
  Fleet m_fleet;
  Resources m_capacity;
  Resources m_used;
  TimePoint m_start;
  TimePoint m_now;
  TimePoint m_floodStart;
  TimePoint m_floodEnd;
  std::vector<Job> m_jobs;
  std::unordered_map<RequestId, std::size_t> m_jobIndex;
  std::vector<std::size_t> m_checkpointable;
  std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
  TimePoint m_nextPreemption;
  std::array<double, kResourceKinds> m_useSeconds{};
  double m_measuredSeconds = 0.0;
  // Classes and teams by name, over the flood and by second of arrival.
  std::map<std::string, GroupShare> m_groups;
  std::map<std::size_t, std::map<std::string, GroupShare>> m_bySecond;
  PolicyResult m_result;
};

} // namespace lycheestep::bench

#endif
