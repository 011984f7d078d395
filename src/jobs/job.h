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

namespace lycheestep {

// How far a job is. The numbers stand in rows of the store.
enum class JobState : std::uint32_t
{
  kQueued = 0,  // no task has started
  kRunning = 1, // some task has started
  kDone = 2,
  kFailed = 3,
  kCancelled = 4,
};

// How far a task is. The numbers stand in rows of the store.
enum class TaskState : std::uint32_t
{
  kWaiting = 0,    // no run of it can be on any target
  kDispatched = 1, // its newest run may be on its target
  kDone = 2,
};

// One task of a step.
struct JobTask
{
  TaskState m_state = TaskState::kWaiting;
  // The newest run; zero before the first.
  std::uint32_t m_run = 0;
  std::uint32_t m_failures = 0;
  // Where a next run goes on from; empty: at the beginning.
  std::string m_checkpoint;
  // Where the newest run was sent.
  TargetId m_target;
  // The dispatch stands in the store, so the start may be sent.
  bool m_stored = false;
  bool m_seenRunning = false;
  TimePoint m_startedAt;
  // How far its run is, and since when it has been there.
  std::uint32_t m_percent = 0;
  TimePoint m_progressAt;
  // The next run may not start earlier.
  TimePoint m_notBefore;
};

// The tasks of one step of one occurrence.
struct StepProgress
{
  std::vector<JobTask> m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_dispatched = 0;
  // Runs of a gang that failed, and the last of them.
  std::uint32_t m_gangFailures = 0;
  std::uint32_t m_failedRun = 0;
  // Where members of the gang failed.
  std::set<TargetId> m_failedOn;
  // Run numbers up to this one are used up; the members of a gang share one.
  std::uint32_t m_lastRun = 0;

  bool IsDone() const { return m_done == m_tasks.size(); }
  bool AnyWaiting() const { return m_done + m_dispatched < m_tasks.size(); }
};

// One occurrence of a job's steps.
struct JobOccurrence
{
  std::vector<StepProgress> m_steps;
  bool m_done = false;
};

// One accepted job.
struct Job
{
  JobId m_id;
  // The queue as it was when the job was accepted.
  QueueConfig m_terms;
  JobSpec m_spec;
  JobState m_state = JobState::kQueued;
  TimePoint m_acceptedAt;
  // By number; those that are due.
  std::map<std::uint32_t, JobOccurrence> m_occurrences;
  // All occurrences below this number are done; m_occurrences has them no
  // more.
  std::uint32_t m_occurrencesDone = 0;
  // Occurrences from this number on are not due yet.
  std::uint32_t m_nextOccurrence = 0;
  // By estimates, from its start to its end.
  Duration m_criticalPath = Duration::zero();

  bool IsOver() const
  {
    return m_state == JobState::kDone || m_state == JobState::kFailed ||
           m_state == JobState::kCancelled;
  }
};

// Fresh progress of all steps of one occurrence.
JobOccurrence MakeOccurrence(const JobSpec& aSpec);

// True when all tasks of the steps that this one waits for are done.
bool PredecessorsDone(const JobSpec& aSpec,
                      const JobOccurrence& aOccurrence,
                      std::uint32_t aStep);

// The longest chain of estimates through the steps from aFirst on, over
// steps that are not done.
Duration RemainingCriticalPath(const JobSpec& aSpec,
                               const JobOccurrence& aOccurrence);

// True when the steps make sense: at least one, each with tasks, waiting only
// for earlier ones.
bool IsWellFormed(const JobSpec& aSpec);

} // namespace lycheestep

#endif
