#ifndef LYCHEESTEP_JOB_ROW_READER_H
#define LYCHEESTEP_JOB_ROW_READER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "job_rows.h"

namespace lycheestep {

// What a row of the job table completes.
struct JobRowResult
{
  enum class Status
  {
    kComplete,   // m_stored holds the job
    kIncomplete, // further rows of the job have to be read
    kWithdrawn,  // no such job may be stored; m_withdrawnAt says since when
    kMalformed,  // the row does not parse, or the job is not well formed
  };

  Status m_status = Status::kMalformed;
  JobId m_job;
  StoredJob m_stored;
  // The number of rows besides the one with the job's id.
  std::uint32_t m_parts = 0;
  // By the store's clock.
  Duration m_withdrawnAt = Duration::zero();
};

// Puts the rows of the job table together to jobs. A job may take several rows,
// which are written in one transaction and may be read in any order.
class JobRowReader
{
public:
  // Reads a row that exists.
  JobRowResult Read(const Row& aRow);

  // Handles the removal of a row.
  void Remove(const RowKey& aKey);

private:
  // A job of which some rows were read.
  struct PartialJob
  {
    // The version of the rows, which are written in one transaction.
    std::uint64_t m_version = 0;
    // Zero until the row with the job's id was read.
    std::uint32_t m_partCount = 0;
    std::map<std::uint32_t, std::string> m_parts;
  };

  // Returns the rows read of the job, without those that are older than
  // aVersion; null if newer ones were read.
  PartialJob* FindPartial(const JobId& aJob, std::uint64_t aVersion);
  JobRowResult ReadPart(const JobId& aJob,
                        const std::string& aNumber,
                        const Row& aRow);
  JobRowResult Assemble(const JobId& aJob, std::uint64_t aVersion);

  std::map<JobId, PartialJob> m_partial;
};

} // namespace lycheestep

#endif
