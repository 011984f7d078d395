#ifndef LYCHEESTEP_JOB_SCHEDULER_H
#define LYCHEESTEP_JOB_SCHEDULER_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "advice_cache.h"
#include "gang_reservations.h"
#include "job.h"
#include "job_rows.h"
#include "lycheestep/queue_config.h"
#include "placement.h"
#include "run_listener.h"
#include "target_manager.h"

namespace lycheestep {

class JobEffects;

// How many jobs of each queue have not begun.
using PendingCounts = std::map<QueueName, std::uint32_t>;

// Settings of the leader's decisions.
struct JobSchedulerSettings
{
  TargetManagerSettings m_targets;
  // Rows of jobs that are over stay this long, so that their state can be
  // read.
  Duration m_retention = std::chrono::seconds(180);
};

// All decisions of the host that leads: which tasks start where and when, what
// follows from each end, what is stored before what is sent. Runs on one
// thread and reads no clock; every call carries its time. A dispatch is stored
// before its start is sent, and an end is stored before the target may forget
// it, so that a next leader knows where each task may be.
class JobScheduler : public RunListener
{
public:
  JobScheduler(const JobSchedulerSettings& aSettings, JobEffects& aEffects);

  // The time of all calls until the next one of this.
  void SetTime(TimePoint aNow, WallTime aWallNow);

  // The operators' configuration; an older version is ignored.
  void SetConfig(const ClusterConfig& aConfig);

  // A job that was accepted. Known ones are ignored.
  void OnJob(const JobId& aJob, const StoredJob& aStored, TimePoint aNow);

  // What an earlier leader stored of a job; before the first Tick only.
  void OnProgress(const JobId& aJob,
                  const StoredProgress& aProgress,
                  TimePoint aNow);

  // True when the next Tick has work that does not wait for an event.
  bool IsBusy() const { return m_placementDue || !m_changed.empty(); }

  // A job was cancelled by its caller.
  void OnCancel(const JobId& aJob, TimePoint aNow);

  // What the platform's list says of targets.
  void OnTargetRecord(const TargetRecord& aRecord, TimePoint aNow);
  void OnTargetGone(const TargetId& aTarget, TimePoint aNow);

  // Answers to orders and calls that JobEffects carried out.
  void OnStartAnswer(const StartOrder& aOrder,
                     const OrderAnswer& aAnswer,
                     TimePoint aNow);
  void OnStopAnswer(const StopOrder& aOrder,
                    const OrderAnswer& aAnswer,
                    TimePoint aNow);
  void OnHoldAnswer(const HoldOrder& aOrder,
                    HoldPath aPath,
                    const HoldAnswer& aAnswer,
                    TimePoint aNow);
  void OnAdvice(const AdviceAnswer& aAnswer, TimePoint aNow);

  // Removes a row that nobody needs with one of the next commits.
  void RemoveRow(const RowKey& aKey) { m_removals.push_back(aKey); }

  TargetManager& Targets() { return m_keeper; }
  const TargetManager& Targets() const { return m_keeper; }

  // The commit under way is stored; aFence is the version of the leader's
  // row, aStoreClock the store's clock then.
  void OnCommitted(FencingToken aFence, Duration aStoreClock, TimePoint aNow);

  // Does all that is due: holds, placements, advice, the next commit.
  void Tick(TimePoint aNow);

  // Jobs of each queue of which no task has started.
  PendingCounts Pending() const;

  const Job* Find(const JobId& aJob) const;

  void OnRunProgress(const TargetId& aTarget,
                     const RunningTask& aTask,
                     TimePoint aNow) override;
  void OnRunEnded(const TargetId& aTarget,
                  const EndedTask& aTask,
                  TimePoint aNow) override;
  void OnRunLost(const TargetId& aTarget,
                 const RunName& aRun,
                 OrderStatus aStatus) override;

private:
  // One task and the step that it belongs to, looked up by name.
  struct TaskRef
  {
    Job* m_job = nullptr;
    const JobStep* m_step = nullptr;
    StepProgress* m_progress = nullptr;
    JobTask* m_task = nullptr;
  };

  // A step that has work to place. The pointers hold while it is ready.
  struct ReadyStep
  {
    StepName m_name;
    Job* m_job = nullptr;
    const JobStep* m_step = nullptr;
    StepProgress* m_progress = nullptr;
    TimePoint m_due;
    // By estimates, until the end of the occurrence.
    Duration m_remaining = Duration::zero();
    StepRank m_rank;
  };

  TaskRef FindTask(const TaskName& aName);
  void MarkRunning(const JobId& aJob);
  void NoteStarted(const RunName& aRun, TimePoint aNow);
  void MarkChanged(Job& aJob);
  void RefreshReady(Job& aJob);
  void OpenOccurrences(Job& aJob, WallTime aWallNow);
  TimePoint DueAt(const Job& aJob, std::uint32_t aOccurrence) const;

  void FinishTask(TaskRef& aRef, const TaskName& aName);
  void FailTask(TaskRef& aRef, const TaskName& aName);
  void RequeueTask(TaskRef& aRef, const TaskName& aName);
  void StopGang(const StepName& aStep, TaskRef& aRef);
  void StopNewerRuns(TaskRef& aRef, const TaskName& aName);
  void StopTask(const TaskName& aName,
                JobTask& aTask,
                StepProgress& aProgress,
                TimePoint aNow);
  void UpdateCheckpoint(TaskRef& aRef, const std::string& aCheckpoint);
  void UpdateQueueConfig(Job& aJob) const;
  void CheckJobDone(Job& aJob);
  void EndJob(Job& aJob, JobState aState, TimePoint aNow);
  void StopAllRuns(Job& aJob, TimePoint aNow);
  // What a task takes of its target's room.
  static Resources DemandOf(const JobStep& aStep);

  void PlaceAll(TimePoint aNow);
  // The ready steps in the order in which they get room.
  std::vector<ReadyStep*> RankReadySteps(TimePoint aNow);
  void PlaceStep(const ReadyStep& aStep, TimePoint aNow);
  void CheckForStall(const TargetId& aTarget,
                     const RunningTask& aRunning,
                     TaskRef& aRef,
                     TimePoint aNow);
  std::vector<PlacementCandidate> Candidates(const ReadyStep& aStep,
                                             TimePoint aNow);
  void ReserveForGang(const ReadyStep& aStep, TimePoint aNow);
  bool InterferesWithRuns(const JobStep& aStep, const TargetState& aTarget);
  void AddCandidate(const ReadyStep& aStep,
                    const TargetState& aTarget,
                    TimePoint aNow,
                    std::vector<PlacementCandidate>& aCandidates);
  std::size_t PlaceTasks(const ReadyStep& aStep,
                         std::vector<PlacementCandidate>& aCandidates,
                         TimePoint aNow);
  std::size_t PlaceGang(const ReadyStep& aStep,
                        const std::vector<PlacementCandidate>& aCandidates);
  void Dispatch(const ReadyStep& aStep,
                std::uint32_t aIndex,
                std::uint32_t aRun,
                const TargetId& aTarget);
  static std::uint32_t TasksAllowed(const StepName& aName,
                                    const JobStep& aStep,
                                    const TargetState& aTarget);

  void SendStarts(TimePoint aNow);
  void SendStepStarts(const std::vector<RunName>& aRuns, TimePoint aNow);
  bool CanSend(const RunName& aRun, TimePoint aNow);
  void SendStart(const RunName& aRun, TimePoint aNow);
  void CommitIfDue(TimePoint aNow);
  void RemoveOldRows(TimePoint aNow, std::vector<RowKey>& aRemovals);

  const JobSchedulerSettings m_settings;
  JobEffects& m_effects;
  TargetManager m_keeper;
  AdviceCache m_advice;
  GangReservations m_holds;
  ClusterConfig m_config;
  std::map<JobId, Job> m_jobs;
  std::map<StepName, ReadyStep> m_ready;
  // Jobs of which occurrences are still to come.
  std::set<JobId> m_recurringJobs;
  // When the rows of jobs that are over may go, soonest first.
  std::set<std::pair<TimePoint, JobId>> m_over;
  // Cancelled before their job was heard of.
  std::set<JobId> m_earlyCancels;

  std::set<JobId> m_changed;
  std::vector<RowKey> m_removals;
  bool m_committing = false;
  TimePoint m_lastCommitAt;
  Duration m_storeClock = Duration::zero();
  // Dispatches of the commit under way; their starts are sent when it is
  // stored.
  std::vector<RunName> m_unstoredDispatches;
  std::vector<RunName> m_dispatchesInCommit;
  bool m_placementDue = false;
  TimePoint m_lastPlacement;
  WallTime m_wallNow{ 0 };
  TimePoint m_now;
};

} // namespace lycheestep

#endif
