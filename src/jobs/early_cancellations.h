#ifndef LYCHEESTEP_EARLY_CANCELLATIONS_H
#define LYCHEESTEP_EARLY_CANCELLATIONS_H

#include <cstdint>
#include <map>

#include "job.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The rows of cancellations that were read by themselves before their jobs, by
// version. The row of a former job with the same id is told by being older than
// the row of the job.
class EarlyCancellations
{
public:
  // Notes a row, which is forgotten at aUntil. Keeps the newest one of a job.
  void Add(const JobId& aJob, std::uint64_t aRowVersion, TimePoint aUntil);

  // Forgets the rows of a job that is added now. Returns true if one of them is
  // newer than the job's row, so that the job is cancelled.
  bool Take(const JobId& aJob, std::uint64_t aJobRowVersion);

  // Forgets the rows that are due.
  void RemoveOld(TimePoint aNow);

private:
  struct Entry
  {
    std::uint64_t m_version = 0;
    TimePoint m_until;
  };

  std::map<JobId, Entry> m_rows;
};

} // namespace lycheestep

#endif
