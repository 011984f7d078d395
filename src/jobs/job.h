#ifndef LYCHEESTEP_JOB_H
#define LYCHEESTEP_JOB_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lycheestep/job_spec.h"
#include "lycheestep/queue_config.h"
#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"
#include "segment_name.h"

namespace lycheestep {

// The state of a job. The values are stored in rows.
enum class JobState : std::uint32_t
{
  kQueued = 0,  // no task has started
  kRunning = 1, // some task has started
  kDone = 2,
  kFailed = 3,
  kCancelled = 4,
};

// The state of a task. The values are stored in rows.
enum class TaskState : std::uint32_t
{
  kWaiting = 0,    // no run of the task can be on any target
  kDispatched = 1, // the newest run may be on its target
  kDone = 2,
};

// A run of a task that its leader took for over without having read its end.
struct GivenUpRun
{
  std::uint32_t m_run = 0;
  TargetId m_target;
};

// One task of a step.
struct JobTask
{
  TaskState m_state = TaskState::kWaiting;
  // The number of the newest run; zero before the first.
  std::uint32_t m_run = 0;
  std::uint32_t m_failures = 0;
  // The checkpoint that the next run resumes from; empty if it starts at the
  // beginning.
  std::string m_checkpoint;
  // The target that the newest run was placed on. Empty if an earlier leader
  // placed the run and gave it up.
  TargetId m_target;
  // The runs that this leader gave up. Their ends may still be listed.
  std::vector<GivenUpRun> m_givenUp;
  // True if the dispatch is in the row store.
  bool m_dispatchStored = false;
  // True if the start order of the newest run was sent, or may have been sent
  // by an earlier leader.
  bool m_stored = false;
  // True if the target confirmed that it has the newest run.
  bool m_seenRunning = false;
  // When this leader placed the newest run, the default TimePoint if another
  // one did, and when a target first confirmed the run.
  TimePoint m_placedAt;
  TimePoint m_startedAt;
  // The progress of the newest run in percent, and when it last changed; the
  // default TimePoint if the run has reported no progress.
  std::uint32_t m_percent = 0;
  TimePoint m_progressAt;
  // The next run is not placed before this time.
  TimePoint m_notBefore;

  // Returns true if this is the newest run, on the target that has it.
  bool IsNewestRun(std::uint32_t aRun, const TargetId& aTarget) const;
  // Returns true if the task has or had this run on this target. Another run,
  // also one of the same number, is of a former job under the job's id.
  bool IsOwnRun(std::uint32_t aRun, const TargetId& aTarget) const;
};

// The progress of one step in one occurrence of a job.
struct StepProgress
{
  std::vector<JobTask> m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_dispatched = 0;
  // The number of runs of the gang that failed, and the run number of the last
  // of them.
  std::uint32_t m_gangFailures = 0;
  std::uint32_t m_failedRun = 0;
  // The targets on which members of the gang failed.
  std::set<TargetId> m_failedOn;
  // The highest run number in use. The members of a gang share a run number.
  std::uint32_t m_lastRun = 0;

  bool IsDone() const { return m_done == m_tasks.size(); }
  bool AnyWaiting() const { return m_done + m_dispatched < m_tasks.size(); }
};

// The progress of one occurrence of a job. A job that does not recur has one.
struct JobOccurrence
{
  std::vector<StepProgress> m_steps;
  bool m_done = false;
};

// Which rows of the store have the tasks of a job. The rows alone say which of
// these it is, so that each next leader knows it too.
enum class TaskLayout
{
  kOneRow, // the job's progress row, all of them
  // Some segments, and the job's progress row, which has all tasks of the
  // segments that are not stored yet. It is not written without these tasks.
  kBeingSplit,
  kSegments, // segments, all of them
};

// A segment of a job in the row store.
struct SegmentRows
{
  // The most rows that it was ever written to.
  std::uint32_t m_rows = 0;
  bool m_isStored = false;
  // True while the commit under way writes it.
  bool m_isInCommit = false;
};

// An accepted job and its progress.
struct Job
{
  JobId m_id;
  // The queue's configuration as of acceptance, until a newer configuration
  // that contains the queue replaces it.
  QueueConfig m_terms;
  JobSpec m_spec;
  JobState m_state = JobState::kQueued;
  // The state in the job's progress row, which callers are shown.
  JobState m_storedState = JobState::kQueued;
  // When the job was accepted, by the wall clock of the accepting host and by
  // this host's clock.
  WallTime m_acceptedWallTime{ 0 };
  TimePoint m_acceptedAt;
  // The occurrences that are due and not removed as done, by number.
  std::map<std::uint32_t, JobOccurrence> m_occurrences;
  // All occurrences below this number are done and removed from m_occurrences.
  std::uint32_t m_occurrencesDone = 0;
  // The same number in the job's progress row.
  std::uint32_t m_storedOccurrencesDone = 0;
  // When the job ended, by the store's clock; zero while it is not over.
  Duration m_endedAt = Duration::zero();
  // Occurrences from this number on are not due yet.
  std::uint32_t m_nextOccurrence = 0;
  // The estimated time from the start of an occurrence to its end, with the
  // advisor's calls for one step if its queue requires advice.
  Duration m_criticalPath = Duration::zero();
  // The version of the row in the job table when this leader added the job.
  std::uint64_t m_jobRowVersion = 0;
  // The number of rows in the job table besides the row with the job's id.
  std::uint32_t m_jobRowParts = 0;
  TaskLayout m_layout = TaskLayout::kOneRow;
  // The segments that are in the row store or may be.
  std::map<SegmentName, SegmentRows> m_segments;

  bool IsOver() const
  {
    return m_state == JobState::kDone || m_state == JobState::kFailed ||
           m_state == JobState::kCancelled;
  }

  // Returns the number of tasks that are dispatched and whose runs may be on a
  // target.
  std::uint32_t CountDispatched() const;
};

// The most tasks of one occurrence of a job that a host can keep in memory.
constexpr std::uint64_t kMaxTasks = 200000;

// Returns the number of tasks in one occurrence of the job.
std::uint64_t CountTasks(const JobSpec& aSpec);

// Returns an occurrence in which all tasks of all steps wait.
JobOccurrence MakeOccurrence(const JobSpec& aSpec);

// Returns true if all tasks of all steps that aStep waits for are done.
bool PredecessorsDone(const JobSpec& aSpec,
                      const JobOccurrence& aOccurrence,
                      std::uint32_t aStep);

// Returns the length of the longest path through the steps by their estimates.
// Steps that are done count as zero.
Duration RemainingCriticalPath(const JobSpec& aSpec,
                               const JobOccurrence& aOccurrence);

// Returns true if the job has at least one step, and each step has tasks and
// waits only for earlier steps.
bool IsWellFormed(const JobSpec& aSpec);

} // namespace lycheestep

#endif
