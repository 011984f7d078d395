#ifndef LYCHEESTEP_JOB_ROWS_H
#define LYCHEESTEP_JOB_ROWS_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "job.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

// The tables in which jobs live. Jobs and cancellations are written once, by
// the host that a caller reached; progress is written by the leader alone.
constexpr const char* kJobTable = "jobs";
constexpr const char* kCancelTable = "cancels";
constexpr const char* kProgressTable = "progress";
constexpr const char* kLeaderTable = "leader";
constexpr const char* kHostTable = "hosts";

// Partitions that jobs and cancellations are spread over by id, so that their
// transactions need not wait for each other.
constexpr std::size_t kJobPartitionCount = 8;

// The rows of one job, and the leader's row.
RowKey JobKey(const JobId& aJob);
RowKey CancelKey(const JobId& aJob);
RowKey ProgressKey(const JobId& aJob);
RowKey LeaderKey();
RowKey HostKey(const std::string& aHost);
std::string JobPartitionName(std::size_t aNumber);

// A job as its row holds it.
struct StoredJob
{
  QueueConfig m_terms;
  JobSpec m_spec;
  // Time of day at the host that accepted it.
  WallTime m_acceptedAt{ 0 };
};

std::string EncodeJob(const StoredJob& aJob);
std::optional<StoredJob> DecodeJob(const std::string& aBytes);

// One task as a progress row holds it.
struct StoredTask
{
  TaskName m_name;
  JobTask m_task;
};

// Progress as its row holds it.
struct StoredProgress
{
  JobState m_state = JobState::kQueued;
  std::uint32_t m_occurrencesDone = 0;
  // When the job ended, by the store's clock; zero while it goes on.
  Duration m_endedAt = Duration::zero();
  std::vector<StoredTask> m_tasks;
};

std::string EncodeProgress(const Job& aJob, Duration aStoreClock);
std::optional<StoredProgress> DecodeProgress(const JobId& aJob,
                                             const std::string& aBytes);

} // namespace lycheestep

#endif
