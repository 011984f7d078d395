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
//
// A change keeps its place in the order of all changes until it is written: a
// row that is taken and not written is put back at its place, and rows that are
// written in place of another one take over its place. So AnyBefore tells
// whether all changes up to a moment are written.
class ChangedRows
{
public:
  // The place of a row: that of the first change that it has to store, and the
  // order among the rows that share this one.
  struct Place
  {
    std::uint64_t m_change = 0;
    std::uint64_t m_order = 0;

    friend bool operator<(const Place& aLeft, const Place& aRight)
    {
      return std::tie(aLeft.m_change, aLeft.m_order) <
             std::tie(aRight.m_change, aRight.m_order);
    }
  };

  // A row that was taken.
  struct Taken
  {
    JobRowName m_row;
    Place m_place;
  };

  // Adds a row; a row that waits already keeps its place.
  void Add(const JobRowName& aRow);

  bool Empty() const { return m_turns.empty(); }
  bool HasRowsOf(const JobId& aJob) const { return m_jobs.count(aJob) > 0; }
  bool Has(const JobRowName& aRow) const { return m_waiting.count(aRow) > 0; }

  // Returns the row that is taken next. The set must not be empty.
  const JobRowName& Next() const;
  Taken Take();

  // Puts back rows that were taken and not written, at their former places.
  void PutBack(const std::vector<Taken>& aRows);

  // Adds rows that store the changes of a taken row in its place. They are
  // taken in this order. A row that waits at a later place moves.
  void Replace(const Taken& aTaken, const std::vector<JobRowName>& aRows);

  // All rows that are added from now on have at least this sequence number.
  std::uint64_t NextSequence() const { return m_nextSequence; }
  // Returns true if a change with a lower sequence number waits.
  bool AnyBefore(std::uint64_t aSequence) const;

private:
  // Adds the row at the place, unless it waits at an earlier one.
  void Insert(const JobRowName& aRow, const Place& aPlace);

  std::uint64_t m_nextSequence = 1;
  std::map<JobRowName, Place> m_waiting;
  std::set<Place> m_places;
  // The rows of each job by their places.
  std::map<JobId, std::map<Place, JobRowName>> m_jobs;
  // The jobs in m_jobs in the order of their turns.
  std::deque<JobId> m_turns;
};

} // namespace lycheestep

#endif
