#ifndef LYCHEESTEP_CHANGED_ROWS_H
#define LYCHEESTEP_CHANGED_ROWS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "lycheestep/job_spec.h"
#include "segment_name.h"

namespace lycheestep {

// A stored row of a job.
struct JobRowName
{
  enum class Kind
  {
    kJob,      // the job as accepted
    kProgress, // the state of the job
    kSegment,  // the progress of the tasks of m_segment
  };

  JobId m_job;
  Kind m_kind = Kind::kProgress;
  // Valid if m_kind is kSegment.
  SegmentName m_segment;

  friend bool operator<(const JobRowName& aLeft, const JobRowName& aRight)
  {
    return std::tie(aLeft.m_job, aLeft.m_kind, aLeft.m_segment) <
           std::tie(aRight.m_job, aRight.m_kind, aRight.m_segment);
  }
};

// The rows that have to be written. The rows of one job are written in the
// order in which they first changed, and the jobs take turns, so that a large
// job delays no other.
class ChangedRows
{
public:
  // A row that was taken, with its place in the order of all changes.
  struct Taken
  {
    JobRowName m_row;
    std::uint64_t m_sequence = 0;
  };

  // Adds a row; a row that waits already keeps its place.
  void Add(const JobRowName& aRow);

  bool Empty() const { return m_turns.empty(); }
  bool HasRowsOf(const JobId& aJob) const { return m_jobs.count(aJob) > 0; }

  // Returns the row that is taken next. The set must not be empty.
  const JobRowName& Next() const;
  Taken Take();

  // Puts back rows that were taken and not written, at their former places.
  void PutBack(const std::vector<Taken>& aRows);

  // All rows that are added from now on have at least this sequence number.
  std::uint64_t NextSequence() const { return m_nextSequence; }
  // Returns true if a row with a lower sequence number waits.
  bool AnyBefore(std::uint64_t aSequence) const;

private:
  void Insert(const Taken& aRow);

  std::uint64_t m_nextSequence = 1;
  std::set<JobRowName> m_waiting;
  std::set<std::uint64_t> m_sequences;
  // The rows of each job by sequence number.
  std::map<JobId, std::map<std::uint64_t, JobRowName>> m_jobs;
  // The jobs in m_jobs in the order of their turns.
  std::deque<JobId> m_turns;
};

} // namespace lycheestep

#endif
