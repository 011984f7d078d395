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
#include "placement_monitor.h"
#include "run_listener.h"
#include "target_manager.h"

namespace lycheestep {

class JobEffects;

// The number of jobs in state kQueued by queue. Queues without such jobs have
// no entry.
using PendingCounts = std::map<QueueName, std::uint32_t>;

// Settings of JobScheduler.
struct JobSchedulerSettings
{
  TargetManagerSettings m_targets;
  // The rows of a job are kept this long after its end, so that its state can
  // be read.
  Duration m_retention = std::chrono::seconds(180);
};

// Makes all decisions of the leader: which tasks start where and when, what
// follows from the end of each run, and what is stored before which order is
// sent. All calls are made on one thread. The class reads no clock; its callers
// pass the time. A dispatch is stored before its start order is sent, and a run
// end is stored before the target may forget it, so that the next leader knows
// where each task may be running.
class JobScheduler : public RunListener
{
public:
  JobScheduler(const JobSchedulerSettings& aSettings, JobEffects& aEffects);

  // Sets the steady time and the wall-clock time that hold until the next call
  // of SetTime.
  void SetTime(TimePoint aNow, WallTime aWallNow);

  // Applies the operators' configuration. A version that is not newer than the
  // current one is ignored.
  void SetConfig(const ClusterConfig& aConfig);

  // Adds an accepted job. A job that was added before is ignored.
  void OnJob(const JobId& aJob, const StoredJob& aStored, TimePoint aNow);

  // Restores the progress of a job that an earlier leader stored. Called only
  // before the first Tick, and after OnJob for the job.
  void OnProgress(const JobId& aJob,
                  const StoredProgress& aProgress,
                  TimePoint aNow);

  // Returns true if the next Tick has placements or commits to make even if no
  // further event arrives.
  bool IsBusy() const { return m_placementDue || !m_changedJobs.empty(); }

  // Cancels a job at its caller's request. If the job was not added yet, it is
  // cancelled when OnJob adds it.
  void OnCancel(const JobId& aJob, TimePoint aNow);

  // Apply a record of the platform's target list, and the removal of a target
  // from that list.
  void OnTargetRecord(const TargetRecord& aRecord, TimePoint aNow);
  void OnTargetGone(const TargetId& aTarget, TimePoint aNow);

  // Handle the replies to orders and advisor calls that JobEffects sent.
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

  // Removes a row that is no longer needed with the next commit.
  void RemoveRow(const RowKey& aKey) { m_removals.push_back(aKey); }

  TargetManager& Targets() { return m_keeper; }
  const TargetManager& Targets() const { return m_keeper; }

  // Handles the completion of the commit under way, and sends the start orders
  // that waited for it. aFence is the version of the leader's row and
  // aStoreClock the time of the store's clock at the commit.
  void OnCommitted(FencingToken aFence, Duration aStoreClock, TimePoint aNow);

  // Does all work that is due: holds on targets, new occurrences, placements,
  // advisor calls and the next commit.
  void Tick(TimePoint aNow);

  // Counts the jobs of each queue of which no target has confirmed a run.
  PendingCounts Pending() const;

  // Returns the job, or null if it is unknown or its rows were removed.
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
  // A task with its job, step and progress. All pointers are null if the task
  // is unknown.
  struct TaskRef
  {
    Job* m_job = nullptr;
    const JobStep* m_step = nullptr;
    StepProgress* m_progress = nullptr;
    JobTask* m_task = nullptr;
  };

  // A step that has tasks to place and whose predecessors are done. The
  // pointers are valid while the step is in m_ready.
  struct ReadyStep
  {
    StepName m_name;
    Job* m_job = nullptr;
    const JobStep* m_step = nullptr;
    StepProgress* m_progress = nullptr;
    TimePoint m_due;
    StepWaits m_waits;
    // The estimated time that the unfinished steps of the occurrence need,
    // along their longest path.
    Duration m_remaining = Duration::zero();
    StepRank m_rank;
  };

  TaskRef FindTask(const TaskName& aName);
  void MarkRunning(const JobId& aJob);
  // Records that a target has the run; ignored if the run is not the newest.
  void NoteStarted(const RunName& aRun, TimePoint aNow);
  // Includes the job's progress in one of the next commits.
  void MarkChanged(Job& aJob);
  // Updates the entries of the job's steps in m_ready.
  void RefreshReady(Job& aJob);
  // Adds the occurrences of the job that are due at aWallNow.
  void OpenOccurrences(Job& aJob, WallTime aWallNow);
  // Returns when the occurrence is due: its own due time for a recurring job,
  // otherwise the time at which the job was accepted.
  TimePoint DueAt(const Job& aJob, std::uint32_t aOccurrence) const;

  void FinishTask(TaskRef& aRef, const TaskName& aName);
  void FailTask(TaskRef& aRef, const TaskName& aName);
  // Makes a dispatched task wait again. If the task belongs to a gang, the runs
  // of the other members are stopped.
  void RequeueTask(TaskRef& aRef, const TaskName& aName);
  void StopGang(const StepName& aStep, TaskRef& aRef);
  void StopNewerRuns(TaskRef& aRef, const TaskName& aName);
  // Sends a stop order for the task's run, or takes the dispatch back if the
  // dispatch is not stored.
  void StopTask(const TaskName& aName,
                JobTask& aTask,
                StepProgress& aProgress,
                TimePoint aNow);
  void UpdateCheckpoint(TaskRef& aRef, const std::string& aCheckpoint);
  void UpdateQueueConfig(Job& aJob) const;
  void CheckJobDone(Job& aJob);
  void EndJob(Job& aJob, JobState aState, TimePoint aNow);
  void StopAllRuns(Job& aJob, TimePoint aNow);
  // Returns the capacity that a task of the step takes on its target.
  static Resources DemandOf(const JobStep& aStep);
  // Returns the estimated run time of a task of the step.
  static Duration EstimateOf(const JobStep& aStep);

  void PlaceAll(TimePoint aNow);
  // Updates the ranks of the ready steps and returns the steps sorted by rank.
  std::vector<ReadyStep*> RankReadySteps(TimePoint aNow);
  void PlaceStep(const ReadyStep& aStep, TimePoint aNow);
  void CheckForStall(const TargetId& aTarget,
                     const RunningTask& aRunning,
                     TaskRef& aRef,
                     TimePoint aNow);
  // Returns what the step waits for now.
  StepWait WaitOf(const ReadyStep& aStep, TimePoint aNow) const;
  void ReportFleet(TimePoint aNow);
  std::vector<PlacementCandidate> FindCandidates(const ReadyStep& aStep,
                                                 TimePoint aNow);
  void ReserveForGang(const ReadyStep& aStep, TimePoint aNow);
  bool InterferesWithRuns(const JobStep& aStep, const TargetState& aTarget);
  // Returns the target's free capacity that no gang has reserved from the step.
  Resources FreeFor(const ReadyStep& aStep,
                    const TargetState& aTarget,
                    TimePoint aNow) const;
  void AddCandidate(const ReadyStep& aStep,
                    const TargetState& aTarget,
                    TimePoint aNow,
                    std::vector<PlacementCandidate>& aCandidates);
  // Place the waiting tasks of a step and return how many of them did not fit.
  std::size_t PlaceTasks(const ReadyStep& aStep,
                         std::vector<PlacementCandidate>& aCandidates,
                         TimePoint aNow);
  std::size_t PlaceGang(const ReadyStep& aStep,
                        const std::vector<PlacementCandidate>& aCandidates);
  // Reserves the target's capacity for the run and leaves the dispatch to the
  // next commits; SendStarts sends the start order afterwards.
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
  GangReservations m_gangReservations;
  PlacementMonitor m_monitor;
  ClusterConfig m_config;
  std::map<JobId, Job> m_jobs;
  std::map<StepName, ReadyStep> m_ready;
  // Jobs that have occurrences which are not due yet.
  std::set<JobId> m_recurringJobs;
  // Jobs that are over, by the time at which their rows may be removed.
  std::set<std::pair<TimePoint, JobId>> m_finishedJobs;
  // Jobs that were cancelled before OnJob added them.
  std::set<JobId> m_earlyCancels;

  // Jobs whose progress has to be stored.
  std::set<JobId> m_changedJobs;
  std::vector<RowKey> m_removals;
  bool m_committing = false;
  TimePoint m_lastCommitAt;
  Duration m_storeClock = Duration::zero();
  // Dispatches that no commit includes yet.
  std::vector<RunName> m_unstoredDispatches;
  // Dispatches in the commit under way. Their start orders are sent when the
  // commit is stored.
  std::vector<RunName> m_dispatchesInCommit;
  bool m_placementDue = false;
  TimePoint m_lastPlacement;
  WallTime m_wallNow{ 0 };
  TimePoint m_now;
};

} // namespace lycheestep

#endif
