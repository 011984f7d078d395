#ifndef LYCHEESTEP_JOB_SCHEDULER_H
#define LYCHEESTEP_JOB_SCHEDULER_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "advice_cache.h"
#include "avoided_targets.h"
#include "changed_rows.h"
#include "early_cancellations.h"
#include "gang_reservations.h"
#include "job.h"
#include "job_rows.h"
#include "job_scheduler_settings.h"
#include "lycheestep/queue_config.h"
#include "placement.h"
#include "placement_monitor.h"
#include "progress_rows.h"
#include "removed_jobs.h"
#include "run_listener.h"
#include "target_directory.h"
#include "target_manager.h"

namespace lycheestep {

class JobEffects;

// The number of jobs in state kQueued by queue. Queues without such jobs have
// no entry.
using PendingCounts = std::map<QueueName, std::uint32_t>;

// The most rows that the scheduler writes and removes in one commit. The rest
// of a transaction is for the leader's own rows.
constexpr std::size_t kMaxCommitRows = kRowTransactionLimit - 15;

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

  // Adds an accepted job. A job that was added before is ignored, and so is a
  // row of a job whose rows were removed. aRowParts is the number of rows that
  // the job takes besides the one with its id.
  void OnJob(const JobId& aJob,
             const StoredJob& aStored,
             std::uint32_t aRowParts,
             TimePoint aNow);

  // Handles the removal of a job's row, as read from the store.
  void OnJobRemoved(const JobId& aJob) { m_removedJobs.OnRead(aJob); }

  // Handles a row that stands in place of a job which does not exist. The row
  // is removed once no submission can be on its way any more. aSince is the
  // time of the row by the store's clock.
  void OnWithdrawn(const JobId& aJob, Duration aSince, TimePoint aNow);

  // Handles the row of a job that this release can't read. The rows of the job
  // are left as they are.
  void OnUnreadableJob(const JobId& aJob);

  // Restores the progress of a job that an earlier leader stored. Called only
  // before the first Tick, and after OnJob for the job.
  void OnProgress(const JobId& aJob,
                  const StoredProgress& aProgress,
                  TimePoint aNow);

  // Notes the address of a target to which an earlier leader gave work. Called
  // before the first Tick.
  void OnStoredAddress(const TargetAddress& aAddress);
  // Handles the row of an address that can't be read.
  void OnUnreadableAddress(const TargetId& aTarget)
  {
    m_directory.OnUnreadable(aTarget);
  }

  // Returns true if the next Tick has placements or commits to make even if no
  // further event arrives.
  bool IsBusy() const
  {
    return (m_mayStart && m_placementDue) || !m_changes.Empty() ||
           m_directory.HasChanges();
  }

  // Sets whether tasks may be placed and started. They may not while the
  // cancellations that callers have made are not known.
  void SetMayStart(bool aMayStart) { m_mayStart = aMayStart; }

  // Cancels a job at its caller's request. If the job was not added yet, it is
  // cancelled when OnJob adds it.
  void OnCancel(const JobId& aJob, TimePoint aNow);

  // Cancels a job by the row of its cancellation, which was read apart from the
  // others and perhaps before them. If the job was not added yet, it is
  // cancelled when OnJob adds it. A row that is older than that of the job is
  // of a former job with its id and cancels nothing. Returns true if the job
  // ends now.
  bool OnCancelRow(const JobId& aJob,
                   std::uint64_t aRowVersion,
                   TimePoint aNow);

  // Returns true if the job was added and is over.
  bool IsOver(const JobId& aJob) const;

  // Handles the removal of a cancellation's row, as read from the store.
  void OnCancelRemoved(const JobId& aJob) { m_earlyCancels.erase(aJob); }

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
  void RemoveRow(const RowKey& aKey) { m_removals.push_back({ aKey }); }

  TargetManager& Targets() { return m_keeper; }
  const TargetManager& Targets() const { return m_keeper; }

  // Handles the completion of the commit under way, and sends the start orders
  // that waited for it. aFence is the version of the leader's row and
  // aStoreClock the time of the store's clock at the commit.
  void OnCommitted(FencingToken aFence, Duration aStoreClock, TimePoint aNow);

  // Handles a commit that the store never takes. Its rows are written again, in
  // smaller commits and with shorter values.
  void OnCommitRejected(TimePoint aNow);

  // Does all work that is due: holds on targets, new occurrences, placements,
  // advisor calls and the next commit.
  void Tick(TimePoint aNow);

  // Returns true if the progress of a job that is not over is stored in
  // segments, which earlier releases can't read.
  bool HasSegmentedJobs() const { return !m_segmentedJobs.empty(); }

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
    // Since when the step has been ready without any dispatched task, as of the
    // last placement round. While tasks that run until their job is cancelled
    // wait, it is when the step became ready.
    TimePoint m_idleSince;
    // The estimated time that the unfinished steps of the occurrence need,
    // along their longest path.
    Duration m_remaining = Duration::zero();
    StepRank m_rank;
  };

  // Logs the end of a run or of a job. Lines about those that did not end well
  // are not left out in favour of routine ones.
  void LogOutcome(bool aEndedWell,
                  const char* aEvent,
                  const std::string& aFields);
  void AddJob(const ReadJob& aRead, TimePoint aNow);
  TaskRef FindTask(const TaskName& aName);
  // Returns true if any task of the step has succeeded.
  static bool HasDoneTasks(const TaskRef& aRef)
  {
    return aRef.m_progress->m_done > 0;
  }
  void MarkRunning(const JobId& aJob);
  // Stores the address of a target that may have runs: the one at which it
  // answers, or the one in the list if none is stored.
  void StoreAddressOf(const TargetId& aTarget);
  // Records that a target has the run; ignored if the run is not the newest.
  void NoteStarted(const RunName& aRun, TimePoint aNow);
  // Include the job's state, or the progress of one task or of all tasks of a
  // step, in one of the next commits.
  void MarkChanged(const Job& aJob);
  void MarkTaskChanged(const TaskName& aName);
  void MarkStepChanged(const StepName& aStep);
  // Updates the entries of the job's steps in m_ready.
  void RefreshReady(Job& aJob);
  // Adds the occurrences of the job that are due at aWallNow.
  void OpenOccurrences(Job& aJob, WallTime aWallNow);
  // Returns when the occurrence is due: its own due time for a recurring job,
  // otherwise the time at which the job was accepted.
  TimePoint DueAt(const Job& aJob, std::uint32_t aOccurrence) const;

  // Goes on to store the job's tasks in segments.
  void ResumeSplit(const Job& aJob);
  // Logs a job that an earlier leader ended and that may still have runs.
  void LogRunsToStop(const Job& aJob);
  // Restores what the members of a gang share.
  void RestoreGang(Job& aJob, const StepName& aStep, const StoredGang& aGang);
  void StopIncompleteGangs(Job& aJob);
  void FinishTask(TaskRef& aRef, const TaskName& aName);
  // Marks all members of a gang as done.
  static void FinishGang(StepProgress& aProgress);
  void FailTask(TaskRef& aRef, const TaskName& aName);
  // Notes that a run of a job that is over has ended.
  void SettleRunOfEndedJob(TaskRef& aRef,
                           const TargetId& aTarget,
                           const RunName& aRun);
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
  // Applies the configuration of the job's queue. Returns false if there is
  // none.
  bool UpdateQueueConfig(Job& aJob) const;
  void CheckJobDone(Job& aJob);
  void EndJob(Job& aJob, JobState aState, TimePoint aNow);
  void StopAllRuns(Job& aJob, TimePoint aNow);
  // Takes back the dispatches to targets that are not of the service of the
  // job's queue, and withdraws their starts as far as they have not left.
  void RetractFromOtherServices(Job& aJob);
  // Returns true if the target is known and not of the job's service.
  bool IsOfOtherService(const Job& aJob, const TargetId& aTarget) const;
  // Returns the capacity that a task of the step takes on its target.
  static Resources DemandOf(const JobStep& aStep);
  // Returns the estimated run time of a task of the step.
  static Duration EstimateOf(const JobStep& aStep);

  void PlaceAll(TimePoint aNow);
  // Updates the ranks of the ready steps and returns the steps sorted by rank.
  std::vector<ReadyStep*> RankReadySteps(TimePoint aNow);
  void PlaceStep(const ReadyStep& aStep, TimePoint aNow);
  // Returns true if a host is free for a call for the step.
  bool MayAskAdvisor(const ReadyStep& aStep) const;
  // Asks the advisor for a step of which aMissing tasks found no target. If
  // the step's queue uses its share of the hosts, the step is added to
  // m_stepsOverShare.
  void AskAdvisor(const ReadyStep& aStep,
                  std::size_t aMissing,
                  bool aBeyondShare,
                  TimePoint aNow);
  // Lets the steps of m_stepsOverShare use the hosts that are still free.
  void AskBeyondShares(TimePoint aNow);
  // Returns the number of queues of the steps.
  static std::size_t CountQueues(const std::vector<ReadyStep*>& aSteps);
  // Returns true if so much of the fleet is free that the advisor limits what
  // can be placed.
  bool HasMuchFreeCapacity() const;
  void CheckForStall(const TargetId& aTarget,
                     const RunningTask& aRunning,
                     TaskRef& aRef,
                     TimePoint aNow);
  // Returns what the step waits for now.
  StepWait WaitOf(const ReadyStep& aStep, TimePoint aNow) const;
  void ReportFleet(TimePoint aNow);
  // Adds a gang that waits to the counts of its width group.
  void AddWaitingGang(const ReadyStep& aGang,
                      TimePoint aNow,
                      WaitingSteps& aWaiting) const;
  std::vector<PlacementCandidate> FindCandidates(const ReadyStep& aStep,
                                                 TimePoint aNow);
  void ReserveForGang(const ReadyStep& aStep, TimePoint aNow);
  // Returns true if the target takes work, and the step may use it even if it
  // is in quarantine.
  bool MayUse(const ReadyStep& aStep,
              const TargetState& aTarget,
              TimePoint aNow) const;
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
  // Returns true if a target lists a run of a member that no job expects.
  bool IsHeldBack(const ReadyStep& aGang) const;
  std::size_t PlaceGang(const ReadyStep& aStep,
                        const std::vector<PlacementCandidate>& aCandidates);
  // Dispatches the tasks of a gang to the candidates with the chosen indexes.
  void DispatchGang(const ReadyStep& aStep,
                    const std::vector<PlacementCandidate>& aFrom,
                    const std::vector<std::size_t>& aChosen);
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
  // Sends the starts of the step's gang if the dispatches of all members are
  // stored.
  void SendGangStarts(const StepName& aStep, TimePoint aNow);
  bool CanSend(const RunName& aRun, TimePoint aNow);
  void SendStart(const RunName& aRun, TimePoint aNow);
  // Rows of one transaction that no other transaction may split.
  using RowGroup = std::vector<RowKey>;

  // What one commit writes and removes, to be put back if it is rejected.
  struct PendingCommit
  {
    std::vector<ChangedRows::Taken> m_changes;
    std::vector<RowGroup> m_removals;
    // Jobs whose progress row leaves all tasks to segments.
    std::set<JobId> m_splitJobs;
    // The number of rows of targets' addresses.
    std::size_t m_addressRows = 0;
    // True if all run ends of m_endsSnapshot are stored with this commit.
    bool m_storesEnds = false;
  };

  void CommitIfDue(TimePoint aNow);
  // Move rows into the commit as long as they fit.
  std::vector<RowKey> TakeRemovals(std::size_t aMaxRows);
  std::vector<RowWrite> TakeChanges(std::size_t aMaxRows);
  // Moves the dispatches whose rows are in the commit to m_dispatchesInCommit.
  void TakeDispatches();
  // Returns the writes of a changed row; none if it is not needed any more.
  std::vector<RowWrite> EncodeRow(const JobRowName& aRow);
  std::vector<RowWrite> EncodeSegmentRows(Job& aJob,
                                          const SegmentName& aSegment);
  // Returns the rows of the job in the job table. If its tasks are stored in
  // segments, they tell earlier releases to ignore the job.
  std::vector<RowWrite> EncodeJobTableRows(Job& aJob);
  // Returns true if the value of the job's progress row, which has this size,
  // can be written: it fits, and no stored row loses a task by it that no
  // segment has.
  bool MayWriteProgress(const Job& aJob, std::size_t aBytes) const;
  // Stores the tasks of a job in segments from now on, in place of the progress
  // row that was taken and before that row.
  void StoreInSegments(const ChangedRows::Taken& aProgress);
  // Puts the progress row of a job in the place of a row that is not written,
  // as the state of the job or of an occurrence says all of it.
  void LeaveToProgressRow(const ChangedRows::Taken& aTaken);
  // Notes that the commit under way has the row.
  void NoteTaken(const JobRowName& aRow);
  // Notes that the commit under way has stored the row, or that the store did
  // not take it.
  void NoteStored(const JobRowName& aRow);
  void NoteRejected(const JobRowName& aRow);
  // Removes the segments of occurrences that are over.
  void RemoveOldSegments(Job& aJob);
  void RemoveSegment(const Job& aJob,
                     const SegmentName& aSegment,
                     std::uint32_t aRows);
  void RemoveOldJobs(TimePoint aNow);
  // Removes all rows of a job that is over, and forgets the job.
  void RemoveJob(const JobId& aJob);
  // Removes the withdrawals and cancellations that are no longer needed.
  void RemoveRowsWithoutJob(TimePoint aNow);
  // Removes the addresses of targets that have left.
  void RemoveOldAddresses(TimePoint aNow);
  // Estimates the store's clock.
  Duration StoreClock(TimePoint aNow) const;
  // Makes the next commits smaller after one was rejected.
  void ReduceCommits();

  const JobSchedulerSettings m_settings;
  JobEffects& m_effects;
  TargetManager m_keeper;
  TargetDirectory m_directory;
  AdviceCache m_advice;
  GangReservations m_gangReservations;
  AvoidedTargets m_avoidedTargets;
  PlacementMonitor m_monitor;
  ClusterConfig m_config;
  std::map<JobId, Job> m_jobs;
  std::map<StepName, ReadyStep> m_ready;
  // Jobs that are not over and whose tasks are stored in segments.
  std::set<JobId> m_segmentedJobs;
  // Jobs that have occurrences which are not due yet.
  std::set<JobId> m_recurringJobs;
  // Jobs that are over, by the time at which their rows may be removed.
  std::set<std::pair<TimePoint, JobId>> m_finishedJobs;
  RemovedJobs m_removedJobs;
  // Jobs that were cancelled before OnJob added them, and when the cancellation
  // is removed if none has added them by then.
  std::map<JobId, TimePoint> m_earlyCancels;
  EarlyCancellations m_earlyCancelRows;
  // The jobs that do not exist but have a row, and when the row is removed.
  std::map<JobId, TimePoint> m_withdrawals;
  std::set<JobId> m_unreadableJobs;

  // What has to be written and removed. Each group is removed at once.
  ChangedRows m_changes;
  std::deque<RowGroup> m_removals;
  bool m_committing = false;
  PendingCommit m_commit;
  // The most rows of one commit and the longest value of a row. Both are lower
  // than the settings say after commits that the store did not take.
  std::size_t m_maxCommitRows;
  std::size_t m_maxValueBytes;
  // The sequence number in m_changes up to which rows have to be written before
  // the run ends that the targets had reported by then count as stored.
  std::optional<std::uint64_t> m_endsSnapshot;
  TimePoint m_lastCommitAt;
  // The store's clock when the last commit took effect, and when that was
  // reported.
  Duration m_storeClock = Duration::zero();
  TimePoint m_storeClockAt;
  TimePoint m_nextRemovalCheck;
  // Dispatches that no commit includes yet.
  std::vector<RunName> m_unstoredDispatches;
  // Dispatches in the commit under way. Their start orders are sent when the
  // commit is stored, those of a gang when all of its members are.
  std::vector<RunName> m_dispatchesInCommit;
  // Steps that got no host in this placement round because their queue used
  // its share, and how many of their tasks have no target.
  std::vector<std::pair<StepName, std::size_t>> m_stepsOverShare;
  bool m_placementDue = false;
  bool m_mayStart = true;
  TimePoint m_lastPlacement;
  WallTime m_wallNow{ 0 };
  TimePoint m_now;
};

} // namespace lycheestep

#endif
