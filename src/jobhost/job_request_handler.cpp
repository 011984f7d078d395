#include "job_request_handler.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "boot_clock.h"
#include "cancellation_row.h"
#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "leader_row.h"
#include "lycheestep/metrics_sink.h"
#include "pending_rows.h"
#include "progress_rows.h"

namespace lycheestep {

namespace {

// Counts of waiting jobs that are older than this are not returned.
constexpr Duration kMaxPendingCountAge = std::chrono::milliseconds(1800);

const char* ToString(JobRequestStatus aStatus)
{
  switch (aStatus) {
    case JobRequestStatus::kOk:
      return "ok";
    case JobRequestStatus::kNoSuchJob:
      return "no-such-job";
    case JobRequestStatus::kNotServed:
      return "not-taken";
    case JobRequestStatus::kOtherJob:
      return "other-job";
    case JobRequestStatus::kTooLarge:
      return "too-large";
    case JobRequestStatus::kUnknown:
      return "unknown";
  }
  return "";
}

const char* ToString(CancellationProof aProof)
{
  switch (aProof) {
    case CancellationProof::kNone:
      return "none";
    case CancellationProof::kWrite:
      return "write";
    case CancellationProof::kRow:
      return "row";
    case CancellationProof::kWithdrawal:
      return "withdrawal";
  }
  return "";
}

// Returns what a write tells a caller whose request it serves.
JobRequestStatus StatusOfWrite(RowStatus aStatus)
{
  switch (aStatus) {
    case RowStatus::kOk:
      return JobRequestStatus::kOk;
    case RowStatus::kUnknown:
      return JobRequestStatus::kUnknown;
    default:
      return JobRequestStatus::kNotServed;
  }
}

// Returns the answer to a submission whose id has a row already. aDigest is
// that of the submitted job.
JobRequestStatus StatusOfStoredRow(const RowAnswer& aConflict,
                                   std::uint64_t aDigest)
{
  if (aConflict.m_rows.empty()) {
    return JobRequestStatus::kOk;
  }
  const auto header = DecodeJobHeader(aConflict.m_rows.front().m_value);
  if (!header) {
    return JobRequestStatus::kOk; // a job of a newer release
  }
  if (header->m_withdrawn) {
    return JobRequestStatus::kNoSuchJob;
  }
  const bool same = header->m_digest == 0 || header->m_digest == aDigest;
  return same ? JobRequestStatus::kOk : JobRequestStatus::kOtherJob;
}

} // namespace

JobRequestHandler::JobRequestHandler(RowStore& aStore,
                                     EventLog& aLog,
                                     MetricsSink& aMetrics,
                                     const JobRequestSettings& aSettings,
                                     OnCancelled aOnCancelled)
  : m_store(aStore)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_settings(aSettings)
  , m_onCancelled(std::move(aOnCancelled))
{
}

JobRequestStatus JobRequestHandler::Submit(const JobId& aJob,
                                           const QueueConfig& aQueue,
                                           const JobSpec& aSpec)
{
  StoredJob job;
  job.m_terms = aQueue;
  job.m_spec = aSpec;
  job.m_acceptedAt = WallClockNow();
  RowTransaction transaction;
  transaction.m_conditions.push_back(RowCondition{ JobKey(aJob), 0 });
  transaction.m_writes = EncodeJobRows(aJob, job, m_settings.m_maxValueBytes);
  const TimePoint begun = BootClockNow();
  const bool storable =
    !transaction.m_writes.empty() && CountTasks(aSpec) <= kMaxTasks;
  const JobRequestStatus status = storable
                                    ? StoreJob(transaction, DigestOf(aSpec))
                                    : JobRequestStatus::kTooLarge;
  m_metrics.Observe("lycheestep_submit_seconds",
                    std::string("outcome=\"") + ToString(status) + '"',
                    BootClockNow() - begun);
  m_log.Write("job-submitted",
              "job=" + aJob.Text() + " queue=" + aQueue.m_name.Text() +
                " outcome=" + ToString(status));
  return status;
}

JobRequestStatus JobRequestHandler::StoreJob(const RowTransaction& aTransaction,
                                             std::uint64_t aDigest)
{
  const TimePoint until = BootClockNow() + m_settings.m_requestLimit;
  JobRequestStatus status = JobRequestStatus::kNotServed;
  do {
    const RowAnswer answer =
      m_store.Transact(aTransaction, m_settings.m_callTimeout);
    switch (answer.m_status) {
      case RowStatus::kOk:
        return JobRequestStatus::kOk;
      case RowStatus::kConflict:
        return StatusOfStoredRow(answer, aDigest);
      case RowStatus::kInvalid:
        return JobRequestStatus::kTooLarge;
      case RowStatus::kUnknown:
        // The write may still take effect; only a retry of the same write can
        // tell.
        status = JobRequestStatus::kUnknown;
        break;
      default:
        break;
    }
    std::this_thread::sleep_for(m_settings.m_retryDelay);
  } while (BootClockNow() < until);
  return status;
}

JobRequestStatus JobRequestHandler::Cancel(const JobId& aJob)
{
  const TimePoint until = BootClockNow() + m_settings.m_requestLimit;
  CancellationResult result;
  do {
    result = TryCancel(aJob).value_or(CancellationResult());
    const bool settled = result.m_status == JobRequestStatus::kOk ||
                         result.m_status == JobRequestStatus::kNoSuchJob;
    if (settled) {
      break;
    }
    std::this_thread::sleep_for(m_settings.m_retryDelay);
  } while (BootClockNow() < until);
  ReportCancellation(aJob, result);
  if (result.m_status == JobRequestStatus::kOk) {
    m_onCancelled(aJob);
  }
  return result.m_status;
}

void JobRequestHandler::ReportCancellation(const JobId& aJob,
                                           const CancellationResult& aResult)
{
  m_log.WriteUnlimited(
    "job-cancelled",
    "job=" + aJob.Text() + " outcome=" + ToString(aResult.m_status) +
      " by=" + ToString(aResult.m_proof) +
      " row_version=" + std::to_string(aResult.m_rowVersion));
}

std::optional<CancellationResult> JobRequestHandler::TryCancel(
  const JobId& aJob)
{
  std::optional<Row> row;
  Duration storeClock = Duration::zero();
  if (ReadRow(JobKey(aJob), row, &storeClock) != RowStatus::kOk) {
    return CancellationResult();
  }
  if (!row && storeClock == Duration::zero()) {
    // The withdrawal would seem as old as the store and be removed at once.
    return CancellationResult();
  }
  if (!row) {
    return Withdraw(aJob, storeClock);
  }
  const auto header = DecodeJobHeader(row->m_value);
  if (header && header->m_withdrawn) {
    return CancellationResult{ JobRequestStatus::kNoSuchJob,
                               CancellationProof::kWithdrawal,
                               row->m_version };
  }
  // The condition on the job prevents a cancellation that outlives the job.
  RowTransaction transaction;
  transaction.m_conditions.push_back(
    RowCondition{ JobKey(aJob), row->m_version });
  transaction.m_conditions.push_back(RowCondition{ CancelKey(aJob), 0 });
  transaction.m_writes.push_back(
    RowWrite{ CancelKey(aJob), EncodeCancellation(storeClock) });
  const RowAnswer answer =
    m_store.Transact(transaction, m_settings.m_callTimeout);
  if (answer.m_status == RowStatus::kOk) {
    return CancellationResult{ JobRequestStatus::kOk,
                               CancellationProof::kWrite,
                               answer.m_version };
  }
  if (answer.m_status != RowStatus::kConflict) {
    return CancellationResult{ StatusOfWrite(answer.m_status) };
  }
  const auto cancelled = std::find_if(
    answer.m_rows.begin(), answer.m_rows.end(), [](const Row& aRow) {
      return aRow.m_key.m_table == kCancelTable && aRow.m_version > 0;
    });
  if (cancelled == answer.m_rows.end()) {
    return std::nullopt;
  }
  return CancellationResult{ JobRequestStatus::kOk,
                             CancellationProof::kRow,
                             cancelled->m_version };
}

std::optional<CancellationResult> JobRequestHandler::Withdraw(
  const JobId& aJob,
  Duration aStoreClock)
{
  // A submission writes the same row under the same condition, so that only one
  // of the two takes effect, however late it is done.
  RowTransaction transaction;
  transaction.m_conditions.push_back(RowCondition{ JobKey(aJob), 0 });
  transaction.m_writes.push_back(
    RowWrite{ JobKey(aJob), EncodeWithdrawal(aStoreClock) });
  const RowAnswer answer =
    m_store.Transact(transaction, m_settings.m_callTimeout);
  switch (answer.m_status) {
    case RowStatus::kOk:
      return CancellationResult{ JobRequestStatus::kNoSuchJob,
                                 CancellationProof::kWithdrawal,
                                 answer.m_version };
    case RowStatus::kConflict:
      return std::nullopt;
    default:
      return CancellationResult{ StatusOfWrite(answer.m_status) };
  }
}

JobStateAnswer JobRequestHandler::State(const JobId& aJob)
{
  JobStateAnswer answer;
  std::optional<Row> row;
  if (ReadRow(ProgressKey(aJob), row) != RowStatus::kOk) {
    answer.m_status = JobRequestStatus::kNotServed;
    return answer;
  }
  if (row) {
    const auto progress = DecodeProgress(aJob, row->m_value);
    if (progress) {
      answer.m_status = JobRequestStatus::kOk;
      answer.m_state = progress->m_state;
      return answer;
    }
    m_log.Write("progress-malformed", "job=" + aJob.Text());
  }
  if (ReadRow(JobKey(aJob), row) != RowStatus::kOk) {
    answer.m_status = JobRequestStatus::kNotServed;
    return answer;
  }
  const auto header = row ? DecodeJobHeader(row->m_value) : std::nullopt;
  const bool exists = row && !(header && header->m_withdrawn);
  answer.m_status =
    exists ? JobRequestStatus::kOk : JobRequestStatus::kNoSuchJob;
  return answer;
}

PendingAnswer JobRequestHandler::Pending(const QueueName& aQueue)
{
  PendingAnswer answer;
  std::optional<Row> row;
  Duration storeClock = Duration::zero();
  if (ReadRow(LeaderKey(), row, &storeClock) != RowStatus::kOk) {
    answer.m_status = JobRequestStatus::kNotServed;
    return answer;
  }
  proto::LeaderRow leader;
  const bool parsed = row && leader.ParseFromString(row->m_value);
  if (parsed && leader.pending_row_count() > 0) {
    return ReadPendingRow(aQueue, leader.pending_row_count());
  }
  const bool known =
    parsed && leader.pending_known() && storeClock != Duration::zero();
  const Duration age = storeClock - HolderOf(leader).m_renewed;
  if (!known || age > kMaxPendingCountAge) {
    // No leader counts at present, and an old count would be wrong.
    answer.m_status = JobRequestStatus::kNotServed;
    return answer;
  }
  answer.m_status = JobRequestStatus::kOk;
  for (const proto::QueuePending& entry : leader.pending()) {
    if (entry.queue() == aQueue.Text()) {
      answer.m_pending = entry.pending();
    }
  }
  return answer;
}

PendingAnswer JobRequestHandler::ReadPendingRow(const QueueName& aQueue,
                                                std::uint32_t aRowCount)
{
  PendingAnswer answer;
  answer.m_status = JobRequestStatus::kNotServed;
  std::optional<Row> row;
  Duration storeClock = Duration::zero();
  const RowKey key = PendingRowKey(PendingRowOf(aQueue, aRowCount));
  if (ReadRow(key, row, &storeClock) != RowStatus::kOk || !row) {
    return answer;
  }
  const auto count = DecodePendingRow(aQueue, row->m_value);
  const bool known = count && storeClock != Duration::zero();
  if (known && storeClock - count->m_renewed <= kMaxPendingCountAge) {
    answer.m_status = JobRequestStatus::kOk;
    answer.m_pending = count->m_pending;
  }
  return answer;
}

RowStatus JobRequestHandler::ReadRow(const RowKey& aKey,
                                     std::optional<Row>& aRow,
                                     Duration* aStoreClock)
{
  RowRange range;
  range.m_table = aKey.m_table;
  range.m_partition = aKey.m_partition;
  range.m_first = aKey.m_key;
  range.m_limit = 1;
  const TimePoint until = BootClockNow() + m_settings.m_requestLimit;
  RowAnswer answer;
  do {
    answer = m_store.Read(range, m_settings.m_callTimeout);
    if (answer.m_status == RowStatus::kOk) {
      const bool found = !answer.m_rows.empty() &&
                         answer.m_rows.front().m_key.m_key == aKey.m_key;
      if (aStoreClock != nullptr) {
        *aStoreClock = answer.m_storeClock;
      }
      aRow = found ? std::optional<Row>(answer.m_rows.front()) : std::nullopt;
      return RowStatus::kOk;
    }
    std::this_thread::sleep_for(m_settings.m_retryDelay);
  } while (BootClockNow() < until);
  return answer.m_status;
}

} // namespace lycheestep
