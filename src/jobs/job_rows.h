#ifndef LYCHEESTEP_JOB_ROWS_H
#define LYCHEESTEP_JOB_ROWS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "job.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

// The tables that store jobs. Rows of jobs and cancellations are written once,
// by the host that received the caller's request; rows of progress are written
// only by the leader.
constexpr const char* kJobTable = "jobs";
constexpr const char* kCancelTable = "cancels";
constexpr const char* kProgressTable = "progress";
constexpr const char* kLeaderTable = "leader";
constexpr const char* kHostTable = "hosts";

// The number of partitions of the tables of jobs and cancellations. Rows are
// spread over them by job id, so that their transactions do not block each
// other.
constexpr std::size_t kJobPartitionCount = 8;

// Return the keys of a job's rows, of the leader's row and of a host's row.
RowKey JobKey(const JobId& aJob);
RowKey CancelKey(const JobId& aJob);
RowKey ProgressKey(const JobId& aJob);
RowKey LeaderKey();
RowKey HostKey(const std::string& aHost);

// Returns the name of the partition with a number below kJobPartitionCount.
std::string JobPartitionName(std::size_t aNumber);

// A job as stored in its row.
struct StoredJob
{
  // The configuration of the job's queue when the job was accepted.
  QueueConfig m_terms;
  JobSpec m_spec;
  // When the job was accepted, by the wall clock of the accepting host.
  WallTime m_acceptedAt{ 0 };
};

// DecodeJob returns nothing if the bytes do not parse or the job is not well
// formed.
std::string EncodeJob(const StoredJob& aJob);
std::optional<StoredJob> DecodeJob(const std::string& aBytes);

// A task as stored in a progress row.
struct StoredTask
{
  TaskName m_name;
  JobTask m_task;
};

// The progress of a job as stored in its row.
struct StoredProgress
{
  JobState m_state = JobState::kQueued;
  std::uint32_t m_occurrencesDone = 0;
  // When the job ended, by the store's clock; zero while the job is not over.
  Duration m_endedAt = Duration::zero();
  std::vector<StoredTask> m_tasks;
};

// EncodeProgress leaves out tasks that have never been dispatched, and all
// tasks of a job that is done. aStoreClock is the store's current time.
// DecodeProgress returns nothing if the bytes do not parse.
std::string EncodeProgress(const Job& aJob, Duration aStoreClock);
std::optional<StoredProgress> DecodeProgress(const JobId& aJob,
                                             const std::string& aBytes);

} // namespace lycheestep

#endif
