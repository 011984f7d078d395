#ifndef LYCHEESTEP_REMOVED_JOBS_H
#define LYCHEESTEP_REMOVED_JOBS_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "job_rows.h"

namespace lycheestep {

// A row of the job table that holds a whole job.
struct ReadJob
{
  JobId m_id;
  StoredJob m_stored;
  // The number of rows that the job takes besides the one with its id.
  std::uint32_t m_parts = 0;
};

// The jobs whose rows are being removed, each until its removal was read from
// the store. Tells rows of such a job from a new job with the same id, which
// can be stored only after the removal. Holds no more jobs than have rows that
// were read, and needs no clock.
class RemovedJobs
{
public:
  // Adds a job whose removal will be stored by a later commit.
  void Add(const JobId& aJob) { m_jobs[aJob] = Removal(); }

  // Handles a row that was read. Returns true if the row is that of a new job.
  // A row that can't be told yet is kept for OnStored.
  bool IsNewJob(const ReadJob& aRead);

  // Handles the commit that removed rows at aVersion. Returns the jobs of these
  // rows that were stored again since, to be added.
  std::vector<ReadJob> OnStored(const std::vector<RowKey>& aRemoved,
                                std::uint64_t aVersion);

  // Handles the removal as read from the store. All rows that are read later
  // are those of a new job.
  void OnRead(const JobId& aJob) { m_jobs.erase(aJob); }

  std::size_t Size() const { return m_jobs.size(); }

private:
  struct Removal
  {
    // The version of the removal, once the commit is answered.
    std::optional<std::uint64_t> m_version;
    // The newest row that was read before that.
    std::optional<ReadJob> m_read;
  };

  std::map<JobId, Removal> m_jobs;
};

} // namespace lycheestep

#endif
