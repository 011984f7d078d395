#ifndef LYCHEESTEP_TAKEOVER_WORLD_H
#define LYCHEESTEP_TAKEOVER_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "ignored_metrics.h"
#include "job_effects.h"
#include "job_scheduler.h"
#include "job_target_model.h"
#include "row_table_model.h"
#include "start_ledger.h"

namespace lycheestep {

// What callers and targets saw of a job. It must not depend on how often the
// leader changed.
struct JobOutcome
{
  JobState m_state = JobState::kQueued;
  // Failed runs of each task; of a gang, failed runs of the whole gang are
  // counted with its first task.
  std::map<TaskName, std::size_t> m_failedRuns;
  // Tasks that ended well.
  std::set<TaskName> m_done;

  friend bool operator==(const JobOutcome& aLeft, const JobOutcome& aRight)
  {
    return aLeft.m_state == aRight.m_state &&
           aLeft.m_failedRuns == aRight.m_failedRuns &&
           aLeft.m_done == aRight.m_done;
  }
};

// One scheduler after another over the same rows and targets, for tests. Ways
// take no time and nothing gets lost but what a leader keeps in its memory.
// Each task fails a number of times that only its name decides, so that two
// worlds with the same jobs can be compared. The answers of every second target
// are late, so that a leader may end between the ends of two members of a gang.
class TakeoverWorld : public JobEffects
{
public:
  // Changes the rows that a new leader reads.
  using RowFilter = std::function<void(Row&)>;

  TakeoverWorld(std::size_t aTargets, std::size_t aRowBytes);
  ~TakeoverWorld() override;

  // Writes what the leaders log there, with virtual milliseconds.
  void TraceTo(std::ostream* aTrace) { m_trace = aTrace; }

  void SetRowFilter(RowFilter aFilter) { m_filter = std::move(aFilter); }

  // Lets every task fail so often. Otherwise the name of each task decides.
  void SetFailures(std::size_t aCount) { m_failures = aCount; }

  // Sets how long a commit takes.
  void SetCommitTime(Duration aTime) { m_commitTime = aTime; }

  // Runs take this long to end after their stops.
  void SetStopTime(Duration aTime);

  // Lets the store refuse transactions of more rows than that. The leader has
  // to make them smaller.
  void RefuseLongCommits(std::size_t aRows);

  void Submit(const JobId& aJob, const JobSpec& aSpec);
  void Cancel(const JobId& aJob);

  // Returns true if a commit is under way.
  bool IsCommitting() const { return m_commit.has_value(); }

  // The leader ends and another one reads the rows. A commit under way takes
  // effect if aCommitTakesEffect is true.
  void ChangeLeader(bool aCommitTakesEffect);

  // Lets virtual time pass.
  void Run(Duration aTime);

  std::map<JobId, JobOutcome> Outcomes() const;

  // Returns true if callers are shown all jobs as over.
  bool AllOver() const;

  // Promises that were broken: what never may happen, whoever leads.
  const std::vector<std::string>& Broken() const { return m_broken; }

  // Returns how often runs of the task failed.
  std::size_t FailuresOf(const TaskName& aTask) const;

  // Returns the runs that targets work on.
  std::set<RunName> Running() const;

  // The targets on which the task started, in this order.
  std::vector<TargetId> TargetsOf(const TaskName& aTask) const;

  JobScheduler& Scheduler() { return *m_scheduler; }
  const RowTableModel& Table() const { return m_table; }

private:
  // A commit that did not take effect yet.
  struct PendingCommit
  {
    std::vector<RowWrite> m_writes;
    std::vector<RowKey> m_removals;
    TimePoint m_doneAt;
  };

  void Commit(std::vector<RowWrite> aWrites,
              std::vector<RowKey> aRemovals) override;
  void Start(const StartOrder& aOrder) override;
  void Stop(const StopOrder& aOrder) override;
  void Pace(const PaceOrder& /*aOrder*/) override {}
  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;
  // Starts reach their target at once.
  void Withdraw(const WithdrawOrder& /*aOrder*/) override {}
  void Forget(const TargetId& /*aTarget*/) override {}
  bool CanAsk() const override { return false; }
  void Ask(const AdviceRequest& /*aRequest*/, Duration /*aTime*/) override {}
  AdvisorUse GetAdvisorUse() const override { return AdvisorUse(); }
  void Log(const std::string& aEvent, const std::string& aFields) override;
  void LogNotable(const std::string& aEvent,
                  const std::string& aFields) override
  {
    Log(aEvent, aFields);
  }
  void LogUnlimited(const std::string& aEvent,
                    const std::string& aFields) override
  {
    Log(aEvent, aFields);
  }
  MetricsSink& Metrics() override { return m_metrics; }

  void StartLeader();
  void FinishCommit();
  // Hands an answer of a target to the leader that is waiting for it.
  void Answer(std::size_t aTarget, std::function<void()> aTask);
  std::size_t IndexOf(const TargetId& aTarget) const;
  RunPlan PlanOf(const RunName& aRun) const;
  std::size_t FailuresPlanned(const TaskName& aTask) const;
  // Returns the task that stands for its gang in accounts, or the task itself.
  TaskName Counted(const TaskName& aTask) const;
  void CheckStart(const StartOrder& aOrder);
  void NoteEnds();
  void Break(const std::string& aWhat, const TaskName& aTask);

  std::ostream* m_trace = nullptr;
  IgnoredMetrics m_metrics;
  const std::size_t m_rowBytes;
  RowFilter m_filter;
  std::optional<std::size_t> m_failures;
  Duration m_commitTime = Duration::zero();
  bool m_refusesLongCommits = false;
  TimePoint m_now;
  std::vector<std::unique_ptr<JobTargetModel>> m_targets;
  std::map<JobId, StoredJob> m_jobs;
  std::set<JobId> m_cancels;
  RowTableModel m_table;
  std::uint64_t m_version = 1;
  std::optional<PendingCommit> m_commit;
  std::uint64_t m_term = 0;
  std::unique_ptr<JobScheduler> m_scheduler;
  std::multimap<TimePoint, std::function<void()>> m_answers;

  // The account of what the targets did.
  std::vector<std::size_t> m_endsSeen;
  std::vector<std::uint64_t> m_endsForgotten;
  std::map<TaskName, std::set<std::uint32_t>> m_failedRuns;
  std::set<TaskName> m_done;
  std::set<TaskName> m_noted;
  std::set<TaskName> m_withCheckpoint;
  std::map<RunName, TargetId> m_starts;
  StartLedger m_ledger;
  std::vector<std::string> m_broken;
};

} // namespace lycheestep

#endif
