#ifndef LYCHEESTEP_JOB_TARGET_MODEL_H
#define LYCHEESTEP_JOB_TARGET_MODEL_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lycheestep/target_orders.h"
#include "lycheestep/target_record.h"

namespace lycheestep {

// What a run is to do, decided by the test.
struct RunPlan
{
  Duration m_workTime = std::chrono::seconds(1);
  bool m_fails = false;
  Resources m_demand;
  // Members of the gang that have to run at the same time; one for none.
  std::size_t m_gangSize = 1;
  // The least length of a checkpoint; zero if the run saves none.
  std::size_t m_checkpointBytes = 0;
};

// A run on a model target.
struct ModelRun
{
  RunPlan m_plan;
  // When it will have worked long enough; far away while a gang waits.
  TimePoint m_endsAt;
  TimePoint m_startedAt;
  bool m_stopping = false;
  // The beginning of its checkpoints, unlike that of all other runs.
  std::string m_checkpointName;

  // Returns the newest checkpoint at aNow; empty if there is none.
  std::string CheckpointAt(TimePoint aNow) const;
};

// A target as the platform's pages describe it, without a network: it obeys
// nothing below the highest fencing token, keeps what runs under one lease,
// lists ends until they may be forgotten, and refuses a run that is not above
// an ended or stopped one. It does not guard its room, so that the test can.
class JobTargetModel
{
public:
  // Decides what a run that starts is to do.
  using Planner = std::function<RunPlan(const RunName&)>;
  // Told of each start that is carried out here, before its run counts as
  // running.
  using OnStart =
    std::function<void(const JobTargetModel&, const StartOrder&, TimePoint)>;

  JobTargetModel(TargetRecord aRecord, Planner aPlanner, OnStart aOnStart);

  OrderAnswer Start(const StartOrder& aOrder, TimePoint aNow);
  OrderAnswer Stop(const StopOrder& aOrder, TimePoint aNow);
  // The lists as they are now; waiting is the caller's part. An order that
  // names another process is answered and has no other effect.
  HoldAnswer Hold(const HoldOrder& aOrder, TimePoint aNow);

  // Lets time pass: ends work, stops and lapsed leases.
  void Advance(TimePoint aNow);

  // All that it knew is gone; it starts again under the same id.
  void Restart(TimePoint aNow, WallTime aStarted);

  // What runs here stands still, and what starts here does.
  void Hang(bool aHang) { m_hangs = aHang; }

  // Its clock runs as slowly as a target's may.
  void SlowClock() { m_clockPerMille = 980; }

  // A run takes this long to end after its stop.
  void SetStopTime(Duration aTime) { m_stopTime = aTime; }

  // All that runs here fails.
  void FailAll(bool aFails) { m_failsAll = aFails; }

  // Ends one run from outside, as when another member of its gang ended.
  void EndRun(const RunName& aRun, RunEnd aEnd);
  // All members of the run's gang are present now.
  void BeginGangWork(const RunName& aRun, TimePoint aNow);

  const TargetRecord& Record() const { return m_record; }
  const std::map<RunName, ModelRun>& Running() const { return m_running; }
  Resources Used() const;
  bool HasEnds(std::uint64_t aAfter) const;

  // Highest end that an order allowed to forget.
  std::uint64_t Forgotten() const { return m_forgotten; }
  // Every end of this incarnation so far.
  const std::vector<EndedTask>& Ledger() const { return m_ledger; }
  // True when the lease lapsed between the end and its being forgotten: the
  // leader could not know of it, and may have started the task elsewhere.
  bool LapsedBeforeForgotten(std::uint64_t aNumber) const
  {
    return m_unknownEnds.count(aNumber) > 0;
  }

private:
  TargetTime ClockAt(TimePoint aNow) const;
  static std::uint32_t PercentOf(const ModelRun& aRun, TimePoint aNow);
  bool IsFenced(const OrderAddress& aTo);
  // Returns true if the order names another process, so that TargetOrders does
  // not let it reach this one.
  bool IsForOtherProcess(const OrderAddress& aTo) const;
  void ExtendLease(TargetTime aEnd, TimePoint aNow);

  TargetRecord m_record;
  const Planner m_planner;
  const OnStart m_onStart;
  TimePoint m_bornAt;
  std::int64_t m_clockPerMille = 1000;
  Duration m_stopTime = std::chrono::milliseconds(300);
  bool m_hangs = false;
  bool m_failsAll = false;
  TimePoint m_advancedTo;
  FencingToken m_fence = 0;
  TargetTime m_leaseEnd{ 0 };
  std::map<RunName, ModelRun> m_running;
  std::map<TaskName, std::uint32_t> m_highestEnded;
  std::vector<EndedTask> m_ledger;
  std::uint64_t m_forgotten = 0;
  std::set<std::uint64_t> m_unknownEnds;
};

} // namespace lycheestep

#endif
