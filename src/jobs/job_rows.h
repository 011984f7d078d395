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
// by the host that received the caller's request; rows of progress and of
// targets' addresses are written only by the leader.
constexpr const char* kJobTable = "jobs";
constexpr const char* kCancelTable = "cancels";
constexpr const char* kProgressTable = "progress";
constexpr const char* kTargetAddressTable = "target-addresses";
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
  // The version of the row that was read; zero if none was.
  std::uint64_t m_version = 0;
};

// How the progress of a job is stored.
enum class ProgressLayout
{
  kOneRow,
  // In several rows. Releases that know only kOneRow ignore a job whose row
  // says so.
  kSegments,
};

// DecodeJob returns nothing if the bytes do not parse or the job is not well
// formed.
std::string EncodeJob(const StoredJob& aJob,
                      ProgressLayout aLayout = ProgressLayout::kOneRow);
std::optional<StoredJob> DecodeJob(const std::string& aBytes);

// Returns the value of the row that stands in place of a job which does not
// exist, so that a submission on its way can't be stored. aStoreClock is the
// store's current time.
std::string EncodeWithdrawal(Duration aStoreClock);

// What the row with a job's id says, without the job itself.
struct JobRowHeader
{
  // True if the row stands in place of a job that does not exist, and since
  // when, by the store's clock.
  bool m_withdrawn = false;
  Duration m_withdrawnAt = Duration::zero();
  // A hash of what the caller wrote; zero if it is not known.
  std::uint64_t m_digest = 0;
};

// Returns nothing if the bytes do not parse.
std::optional<JobRowHeader> DecodeJobHeader(const std::string& aBytes);

// Returns the hash of what the caller wrote; never zero.
std::uint64_t DigestOf(const JobSpec& aSpec);

// The most rows that one job takes in the job table, so that one transaction
// can write or remove all of them.
constexpr std::size_t kMaxJobRows = 40;

// Returns the rows that store an accepted job, each value at most
// aMaxValueBytes long. The row with JobKey comes first; a job that does not fit
// into that row is stored in further ones. Returns no rows if the job is too
// large for kMaxJobRows.
std::vector<RowWrite> EncodeJobRows(const JobId& aJob,
                                    const StoredJob& aStored,
                                    std::size_t aMaxValueBytes);

// Returns the key of the row with a part of the job, counted from one.
RowKey JobPartKey(const JobId& aJob, std::uint32_t aPart);

// Separates the job's id from the rest of a key. No job's id contains it.
constexpr char kKeySeparator = '/';

// The longest id of a job in bytes. It leaves room for what follows in a key.
constexpr std::size_t kMaxJobIdBytes = 128;

// Returns true if the text may be the id of a job: it can be part of keys and
// of task names, and is no longer than kMaxJobIdBytes.
bool IsValidJobId(const std::string& aText);

} // namespace lycheestep

#endif
