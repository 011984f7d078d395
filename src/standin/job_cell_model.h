#ifndef LYCHEESTEP_JOB_CELL_MODEL_H
#define LYCHEESTEP_JOB_CELL_MODEL_H

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "job_effects.h"
#include "job_scheduler.h"
#include "job_target_model.h"
#include "row_table_model.h"
#include "start_ledger.h"
#include "waiting_work_check.h"

namespace lycheestep {

// What goes wrong on the way between a leader and what surrounds it.
struct CellFaults
{
  // Shares of orders that get no answer, and that are carried out late.
  double m_lostOrders = 0;
  double m_lateOrders = 0;
  // A run in 31 fails by chance, always the same ones.
  bool m_runsFailByChance = true;
  // No call reaches the store.
  bool m_storeDown = false;
  // The longest time until a leader hears of a commit of its own.
  Duration m_slowCommits = Duration::zero();
  // The share of commits after which the leader ends before it hears of them.
  double m_leaderEnds = 0;
  // How much later the list has a target that starts.
  Duration m_slowList = Duration::zero();
  // Starts and stops that are on their way when their target ends are carried
  // out by the process that follows under its id, but not those that a process
  // carries out late.
  bool m_ordersOutliveTargets = false;
  // How long every second target takes to answer a start, a stop or a hold. The
  // order takes effect at once.
  Duration m_slowStart = Duration::zero();
  Duration m_slowStop = Duration::zero();
  Duration m_slowHold = Duration::zero();
  // The share of stops that every second target refuses with an error, without
  // any effect.
  double m_refusedStops = 0;
  // The number of stops of each run that are lost on the way to their target,
  // so that the leader gets no report of them at all.
  std::uint32_t m_vanishingStops = 0;
  // The longest time that the next leaders take to load what is stored, that
  // rows of jobs and cancellations take to a leader, that each entry of the
  // list takes to the next leaders, and that orders take to their targets.
  Duration m_slowLoad = Duration::zero();
  Duration m_slowFeed = Duration::zero();
  Duration m_slowFirstList = Duration::zero();
  Duration m_slowWay = Duration::zero();
  // The longest time for which calls for the changes of one table get no
  // answer; each row of a job or a cancellation draws its own. It excuses
  // nothing: the host that stored a cancellation also tells the leader.
  Duration m_lostFeeds = Duration::zero();
  // The most notices of a cancellation in a row that have no effect.
  std::uint32_t m_lostNotices = 0;
};

// How the advisor of the cell answers.
struct CellAdvisor
{
  // The number of hosts that can each make one call at a time.
  std::size_t m_hosts = 8;
  // The share of targets that are fit for a step of the queue; kFitShare for
  // other queues.
  std::map<QueueName, double> m_fitShareOf;
  // How long a permission is valid.
  Duration m_validFor = std::chrono::milliseconds(1500);
};

// A cell on virtual time: the store, targets, the advisor and one leader after
// another, around the real JobScheduler. It keeps its own account of what the
// targets did, and names each promise that was broken.
class JobCellModel
{
public:
  explicit JobCellModel(
    std::uint64_t aSeed,
    std::size_t aTargets,
    const Resources& aCapacity = Resources(32000, 131072, 0, 0, 0));
  ~JobCellModel();
  JobCellModel(const JobCellModel&) = delete;
  JobCellModel& operator=(const JobCellModel&) = delete;

  // The queue's terms that Submit uses; advice is asked for if required.
  QueueConfig& Queue() { return m_queue; }
  CellFaults& Faults() { return m_faults; }
  CellAdvisor& Advisor() { return m_advisor; }

  // Sets the longest value of a row that the store takes.
  void SetRowBytes(std::size_t aBytes);
  RowTableModel& Table() { return m_table; }

  // Sets the length of the checkpoints of steps that save any.
  void SetCheckpointBytes(std::size_t aBytes) { m_checkpointBytes = aBytes; }

  // Writes what the leaders log there, with virtual milliseconds.
  void TraceTo(std::ostream* aTrace) { m_trace = aTrace; }

  // Stores a job, and tells the leader after a moment.
  JobId Submit(const JobSpec& aSpec);
  // Stores a job under the id of one whose rows are removed.
  void SubmitAgain(const JobId& aJob, const JobSpec& aSpec);
  void Cancel(const JobId& aJob);

  // The leader dies and another one takes over at once: the former one's
  // orders and commits are still on their way.
  void ChangeLeader();
  // The leader dies, and another one takes over after aTime. The time without a
  // leader is no excuse for a run that goes on.
  void LoseLeader(Duration aTime);
  // The leader dies, and another one takes over after aTime, or when the store
  // is back if that is later.
  void LeaveLeadVacant(Duration aTime);
  // The leader does nothing for aTime, and goes on where it was.
  void FreezeLeader(Duration aTime);
  // Another leader takes over, and the former one, which does nothing for
  // aTime, goes on for as long as its renewal is valid.
  void OvertakeLeader(Duration aTime);
  // The target crashes and starts again under its id. Its wall clock was set
  // back by aSetBack meanwhile.
  void RestartTarget(std::size_t aTarget, Duration aSetBack = Duration::zero());
  // The target's steady clock runs as slowly as it may.
  void SlowClock(std::size_t aTarget) { m_targets[aTarget]->SlowClock(); }
  // A target can't be reached and does not list itself, but works on.
  void CutTarget(std::size_t aTarget, bool aCut);
  // The platform's list does not have the target, which works on and answers.
  void HideTargetRow(std::size_t aTarget, bool aHidden);
  // The platform's list names an address at which nobody listens. The target
  // works on and answers at its own.
  void MisplaceTargetRow(std::size_t aTarget, bool aMisplaced);
  void DrainTarget(std::size_t aTarget);
  // The target carries out its orders, and its answers get lost.
  void MuteTarget(std::size_t aTarget, bool aMute);
  // The platform's list has another entry, with a later start, that names the
  // target's machine. Nobody listens at its address. The target works on.
  void AddFalseSuccessor(std::size_t aTarget, bool aListed);
  // Another target starts on the machine while the former one works on.
  // Returns its index.
  std::size_t AddSuccessor(std::size_t aTarget);
  // Runs take this long to end after their stops, on all targets.
  void SetStopTime(Duration aTime);
  // All tasks on the target fail.
  void FailOnTarget(std::size_t aTarget) { m_targets[aTarget]->FailAll(true); }
  // All runs of the job's tasks fail from now on, on whatever target.
  void FailJob(const JobId& aJob) { m_failingJobs.insert(aJob); }
  // Tasks on the target stand still.
  void HangTarget(std::size_t aTarget) { m_targets[aTarget]->Hang(true); }

  // Checks from now on that no job waits beside free capacity. A test calls it
  // when the load it submits has ended.
  void EnableWaitingWorkCheck() { m_checksWaitingWork = true; }
  const WaitingWorkCheck& WaitingWork() const { return m_waitingWork; }

  // Checks from now on that no run of a cancelled job goes on in calm. A
  // disturbance of the store, the lead, the orders or the run's target is near
  // while it lasts and for 3 s. From now on, vacancies of the lead and targets
  // without answers count as disturbances for all checks of cancelled runs.
  void EnableCalmCheck() { m_checksCalm = true; }

  // Lets virtual time pass.
  void Run(Duration aTime);

  JobState StateOf(const JobId& aJob) const;
  // Jobs that wait to begin, as the leader counts them.
  std::uint32_t Pending() const;
  // True when every accepted job is over that its targets could run if each ran
  // nothing else.
  bool AllRunnableOver() const;
  // True when every accepted job is over.
  bool AllOver() const;
  // Promises that were broken so far.
  const std::vector<std::string>& Broken() const { return m_broken; }
  // The number of runs on a target, by its own account.
  std::size_t RunsOn(std::size_t aTarget) const;
  bool AnyGangAlone() const { return !m_alone.empty(); }
  std::size_t Starts() const { return m_starts; }
  // The target that carried out the newest start.
  std::size_t TargetOfNewestStart() const { return m_newestStartAt; }
  // The number of starts that the target carried out.
  std::size_t StartsOn(std::size_t aTarget) const
  {
    const auto starts = m_startsOn.find(aTarget);
    return starts != m_startsOn.end() ? starts->second : 0;
  }
  // Starts that resumed from a checkpoint of their task.
  std::size_t Resumed() const { return m_ledger.Resumed(); }
  std::size_t Commits() const { return m_commits; }
  Duration Now() const { return m_now - TimePoint(); }
  // From a job's submission to its end; zero while it goes on.
  Duration TookOf(const JobId& aJob) const;

private:
  class Term;

  // The cell moves in steps of this length.
  static constexpr Duration kTick = std::chrono::milliseconds(10);
  // The time of day when virtual time is zero.
  static constexpr WallTime kWallStart{ 1700000000000 };

  void Store(const JobId& aJob, const JobSpec& aSpec);
  // Forgets what the account says of the job.
  void ForgetJob(const JobId& aJob);
  void At(Duration aDelay, std::function<void()> aTask);
  Duration Way();
  bool Chance(double aShare);
  void CheckStart(const JobTargetModel& aTarget,
                  const StartOrder& aOrder,
                  TimePoint aNow);
  // Returns false if the start follows from no submission or report.
  bool CheckIdentity(const StartOrder& aOrder);
  void CheckEnds();
  // Checks that a start is not later than a cancellation or a report of
  // draining allows.
  void CheckStartTime(const JobTargetModel& aTarget,
                      const RunName& aRun,
                      TimePoint aNow);
  // Checks that no run of a cancelled job goes on. Looks at calm targets only.
  void CheckCancelledRuns();
  // Checks that no run of a cancelled job goes on in calm.
  void CheckCalm();
  // Returns when a disturbance that excuses a run on the target last ended.
  TimePoint DisturbedAt(std::size_t aTarget) const;
  // Notes the disturbances that go on.
  void NoteDisturbances();
  // Checks that all tasks of a job that is shown as done have ended well. A
  // gang is done as soon as one of its members is.
  void CheckShownAsDone(const JobId& aJob);
  // Checks that accepted work starts while there is capacity for it.
  void CheckWaitingWork();
  std::vector<OpenTarget> OpenTargets() const;
  // Returns the steps that are due of jobs that have nothing running.
  std::vector<IdleStep> IdleSteps() const;
  IdleStep MakeIdleStep(const JobId& aJob, std::uint32_t aStep) const;
  // Returns the first step of the job whose turn has come and whose tasks are
  // not done; null if there is none.
  const JobStep* DueStep(const JobId& aJob, std::uint32_t* aNumber) const;
  bool IsStepDone(const JobId& aJob, std::uint32_t aStep) const;
  // Returns true if the advisor lets the step run on the target.
  bool IsFit(const StepName& aStep, const TargetId& aTarget) const;
  // Returns when the way to the target was last harmed, or the target itself.
  TimePoint HarmedAt(std::size_t aTarget) const;
  // Returns the target's record as the platform lists it.
  TargetRecord ListedRecord(std::size_t aTarget) const;
  void CheckRoom(const JobTargetModel& aTarget);
  void RunGangs();
  RunPlan PlanOf(const RunName& aRun) const;
  // Adds a target that works.
  void AddTarget(const TargetRecord& aRecord);
  void StartTerm();
  // Lets the next leader take over if the lead is still vacant by this call of
  // LeaveLeadVacant, and the store is back.
  void EndVacancy(std::uint64_t aVacancy);
  // Returns a time from zero to aLongest.
  Duration Draw(Duration aLongest);
  // How long a row that is stored now takes to the leader.
  Duration FeedTime();
  // Tells the leader of a cancellation after aDelay, and again until it knows
  // that the job is over. aLost notices in a row have had no effect.
  void TellOfCancellation(const JobId& aJob,
                          std::uint64_t aRowVersion,
                          Duration aDelay,
                          std::uint32_t aLost);
  // Lets all leaders that live do what is due.
  void StepLeaders();
  // Loads after aDelay, or when the store is back if that is later.
  void LoadLater(Term& aTerm,
                 const std::map<JobId, StoredJob>& aJobs,
                 Duration aDelay);
  // Tells a new leader all that is stored and listed.
  void Load(Term& aTerm, const std::map<JobId, StoredJob>& aJobs);
  // Tells a new leader what the former ones stored.
  void RestoreStoredRows(Term& aTerm);
  // Returns true if the platform's list has the target.
  bool IsListed(std::size_t aTarget) const;
  // Tells the leader after aDelay that the list has the target, if it has.
  void TellListed(std::size_t aTarget, Duration aDelay);
  // Tells the leader after aDelay that the list no longer has the target, if
  // that is so then.
  void TellUnlisted(std::size_t aTarget, Duration aDelay);
  void Break(const std::string& aWhat);

  std::ostream* m_trace = nullptr;
  std::minstd_rand m_random;
  TimePoint m_now;
  std::multimap<TimePoint, std::function<void()>> m_tasks;
  QueueConfig m_queue;
  CellFaults m_faults;
  CellAdvisor m_advisor;
  std::size_t m_checkpointBytes = 16;
  std::vector<std::unique_ptr<JobTargetModel>> m_targets;
  // The targets' indexes in m_targets.
  std::map<TargetId, std::size_t> m_indexOf;
  // The order that a target carries out just now is a late one.
  bool m_carriesOutLate = false;
  std::vector<bool> m_cut;
  // Targets whose answers get lost.
  std::vector<bool> m_mute;
  // Entries of the list behind which there is no target.
  std::map<TargetId, TargetRecord> m_falseEntries;
  // Targets that live although the list does not have them.
  std::vector<bool> m_hidden;
  // Targets whose rows name a wrong address.
  std::vector<bool> m_misplaced;
  std::vector<TimePoint> m_downUntil;
  // When the targets that drain reported it.
  std::map<TargetId, TimePoint> m_drainingSince;
  // When any order or call was last lost or late, and when each target was last
  // cut or down.
  TimePoint m_ordersHarmedAt;
  std::map<std::size_t, TimePoint> m_targetHarmedAt;
  // When the lead was last taken over, vacant or held by one that stood still,
  // and when a row last reached a leader late.
  TimePoint m_leadHarmedAt;
  TimePoint m_feedHarmedAt;
  // True while nobody leads; the number of the vacancies so far.
  bool m_isVacant = false;
  std::uint64_t m_vacancies = 0;
  bool m_checksCalm = false;
  // Runs that went on in calm after their job was cancelled.
  std::set<RunName> m_outlastingInCalm;

  // The store.
  std::uint64_t m_version = 1;
  std::uint64_t m_leaderVersion = 0;
  std::map<JobId, StoredJob> m_jobs;
  std::size_t m_rowBytes = kDefaultRowBytes;
  RowTableModel m_table;
  // The versions of the rows of cancellations.
  std::map<JobId, std::uint64_t> m_cancels;
  std::set<JobId> m_failingJobs;

  std::vector<std::unique_ptr<Term>> m_terms;
  // When the last of the leaders that were replaced sends nothing any more.
  TimePoint m_formerOrdersUntil;

  // The account.
  std::map<JobId, TimePoint> m_submittedAt;
  std::map<JobId, TimePoint> m_endedAt;
  // When callers were first shown the job as done.
  std::map<JobId, TimePoint> m_doneAt;
  std::map<JobId, TimePoint> m_cancelledAt;
  // The stops of each run that vanished.
  std::map<RunName, std::uint32_t> m_vanishedStops;
  // Runs that went on after their job was cancelled.
  std::set<RunName> m_outlasting;
  // Tasks that ended well anywhere, and those whose end may be forgotten.
  std::set<TaskName> m_done;
  std::set<TaskName> m_noted;
  // The starts of each task so far, and of the task of a run that ended well,
  // by target and number of the end, those before that end.
  std::map<TaskName, std::size_t> m_startsOf;
  std::map<std::pair<std::size_t, std::uint64_t>, std::size_t> m_startsBefore;
  std::map<std::size_t, std::size_t> m_seen;
  // Tasks whose gang did not come together although no order was lost.
  std::set<TaskName> m_alone;
  // Gangs, by step and run, that were all present.
  std::set<std::pair<StepName, std::uint32_t>> m_begunGangs;
  std::map<TaskName, std::uint32_t> m_failures;
  std::map<std::size_t, std::uint64_t> m_read;
  std::vector<std::string> m_broken;
  bool m_checksWaitingWork = false;
  WaitingWorkCheck m_waitingWork;
  TimePoint m_nextWaitingCheck;
  StartLedger m_ledger;
  std::size_t m_starts = 0;
  std::map<std::size_t, std::size_t> m_startsOn;
  std::size_t m_newestStartAt = 0;
  std::size_t m_commits = 0;
  std::uint64_t m_lastJob = 0;
};

} // namespace lycheestep

#endif
