#include "job_request_handler.h"

#include <chrono>
#include <thread>

#include "boot_clock.h"
#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "leader_row.h"
#include "lycheestep/metrics_sink.h"
#include "pending_rows.h"
#include "progress_rows.h"

namespace lycheestep {

namespace {

// Time limits of one call to the store, and of all calls to the store for one
// request of a caller.
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr Duration kRequestLimit = std::chrono::milliseconds(1000);
constexpr Duration kRetryDelay = std::chrono::milliseconds(60);

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
    case JobRequestStatus::kTooLarge:
      return "too-large";
    case JobRequestStatus::kUnknown:
      return "unknown";
  }
  return "";
}

} // namespace

JobRequestHandler::JobRequestHandler(RowStore& aStore,
                                     EventLog& aLog,
                                     MetricsSink& aMetrics,
                                     std::size_t aMaxValueBytes)
  : m_store(aStore)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_maxValueBytes(aMaxValueBytes)
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
  transaction.m_writes = EncodeJobRows(aJob, job, m_maxValueBytes);
  const TimePoint begun = BootClockNow();
  const bool storable =
    !transaction.m_writes.empty() && CountTasks(aSpec) <= kMaxTasks;
  const JobRequestStatus status =
    storable ? WriteWithRetries(transaction) : JobRequestStatus::kTooLarge;
  m_metrics.Observe("lycheestep_submit_seconds",
                    std::string("outcome=\"") + ToString(status) + '"',
                    BootClockNow() - begun);
  m_log.Write("job-submitted",
              "job=" + aJob.Text() + " queue=" + aQueue.m_name.Text() +
                " outcome=" + ToString(status));
  return status;
}

JobRequestStatus JobRequestHandler::WriteWithRetries(
  const RowTransaction& aTransaction)
{
  const TimePoint until = BootClockNow() + kRequestLimit;
  JobRequestStatus status = JobRequestStatus::kNotServed;
  do {
    const RowAnswer answer = m_store.Transact(aTransaction, kCallTimeout);
    switch (answer.m_status) {
      case RowStatus::kOk:
      case RowStatus::kConflict: // the row exists already
        return JobRequestStatus::kOk;
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
    std::this_thread::sleep_for(kRetryDelay);
  } while (BootClockNow() < until);
  return status;
}

JobRequestStatus JobRequestHandler::Cancel(const JobId& aJob)
{
  std::optional<Row> row;
  if (ReadRow(JobKey(aJob), row) != RowStatus::kOk) {
    return JobRequestStatus::kNotServed;
  }
  if (!row) {
    return JobRequestStatus::kNoSuchJob;
  }
  RowTransaction transaction;
  transaction.m_conditions.push_back(RowCondition{ CancelKey(aJob), 0 });
  transaction.m_writes.push_back(RowWrite{ CancelKey(aJob), "cancelled" });
  const JobRequestStatus status = WriteWithRetries(transaction);
  m_log.Write("job-cancelled",
              "job=" + aJob.Text() + " outcome=" + ToString(status));
  return status;
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
  answer.m_status = row ? JobRequestStatus::kOk : JobRequestStatus::kNoSuchJob;
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
  const bool known = parsed && leader.pending_known();
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
  if (count && storeClock - count->m_renewed <= kMaxPendingCountAge) {
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
  const TimePoint until = BootClockNow() + kRequestLimit;
  RowAnswer answer;
  do {
    answer = m_store.Read(range, kCallTimeout);
    if (answer.m_status == RowStatus::kOk) {
      const bool found = !answer.m_rows.empty() &&
                         answer.m_rows.front().m_key.m_key == aKey.m_key;
      if (aStoreClock != nullptr) {
        *aStoreClock = answer.m_storeClock;
      }
      aRow = found ? std::optional<Row>(answer.m_rows.front()) : std::nullopt;
      return RowStatus::kOk;
    }
    std::this_thread::sleep_for(kRetryDelay);
  } while (BootClockNow() < until);
  return answer.m_status;
}

} // namespace lycheestep
