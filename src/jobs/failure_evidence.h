#ifndef LYCHEESTEP_FAILURE_EVIDENCE_H
#define LYCHEESTEP_FAILURE_EVIDENCE_H

#include <map>

#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The newest failure of one job on one target.
struct JobFailure
{
  TimePoint m_at;
  // True if a task of the job made no progress there.
  bool m_stalled = false;
};

// What speaks against a target: the jobs of which a task failed or stalled
// there since a task last succeeded there. However many tasks of one job fail,
// the job counts once.
struct FailureEvidence
{
  std::map<JobId, JobFailure> m_jobs;
  TimePoint m_lastFailureAt;
  // New work avoids the target before this time.
  TimePoint m_quarantinedUntil;
};

} // namespace lycheestep

#endif
