#include "entry_desk.h"

#include <chrono>
#include <thread>

#include "boot_clock.h"
#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "lycheestep/metrics_sink.h"

namespace lycheestep {

namespace {

// One call to the store, and all calls for one request of a caller.
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr Duration kRequestLimit = std::chrono::milliseconds(1000);
constexpr Duration kRetryDelay = std::chrono::milliseconds(60);

// Counts of waiting jobs that are older are not told.
constexpr Duration kOldestCounts = std::chrono::milliseconds(1800);

const char* ToString(EntryStatus aStatus)
{
  switch (aStatus) {
    case EntryStatus::kOk:
      return "ok";
    case EntryStatus::kNoSuchJob:
      return "no-such-job";
    case EntryStatus::kNotTaken:
      return "not-taken";
    case EntryStatus::kUnknown:
      return "unknown";
  }
  return "";
}

} // namespace

EntryDesk::EntryDesk(RowStore& aStore, EventLog& aLog, MetricsSink& aMetrics)
  : m_store(aStore)
  , m_log(aLog)
  , m_metrics(aMetrics)
{
}

EntryStatus EntryDesk::Submit(const JobId& aJob,
                              const QueueConfig& aQueue,
                              const JobSpec& aSpec)
{
  StoredJob job;
  job.m_terms = aQueue;
  job.m_spec = aSpec;
  job.m_acceptedAt = WallClockNow();
  RowTransaction transaction;
  transaction.m_conditions.push_back(RowCondition{ JobKey(aJob), 0 });
  transaction.m_writes.push_back(RowWrite{ JobKey(aJob), EncodeJob(job) });
  const TimePoint begun = BootClockNow();
  const EntryStatus status = StoreOnce(transaction);
  m_metrics.Observe("lycheestep_submit_seconds",
                    std::string("outcome=\"") + ToString(status) + '"',
                    BootClockNow() - begun);
  m_log.Write("job-submitted",
              "job=" + aJob.Text() + " queue=" + aQueue.m_name.Text() +
                " outcome=" + ToString(status));
  return status;
}

EntryStatus EntryDesk::StoreOnce(const RowTransaction& aTransaction)
{
  const TimePoint until = BootClockNow() + kRequestLimit;
  EntryStatus status = EntryStatus::kNotTaken;
  do {
    const RowAnswer answer = m_store.Transact(aTransaction, kCallTimeout);
    switch (answer.m_status) {
      case RowStatus::kOk:
      case RowStatus::kConflict: // the row is there already
        return EntryStatus::kOk;
      case RowStatus::kUnknown:
        // It may take effect yet; only the same write again can tell.
        status = EntryStatus::kUnknown;
        break;
      default:
        break;
    }
    std::this_thread::sleep_for(kRetryDelay);
  } while (BootClockNow() < until);
  return status;
}

EntryStatus EntryDesk::Cancel(const JobId& aJob)
{
  std::optional<Row> row;
  if (ReadRow(JobKey(aJob), row) != RowStatus::kOk) {
    return EntryStatus::kNotTaken;
  }
  if (!row) {
    return EntryStatus::kNoSuchJob;
  }
  RowTransaction transaction;
  transaction.m_conditions.push_back(RowCondition{ CancelKey(aJob), 0 });
  transaction.m_writes.push_back(RowWrite{ CancelKey(aJob), "cancelled" });
  const EntryStatus status = StoreOnce(transaction);
  m_log.Write("job-cancelled",
              "job=" + aJob.Text() + " outcome=" + ToString(status));
  return status;
}

JobStateAnswer EntryDesk::State(const JobId& aJob)
{
  JobStateAnswer answer;
  std::optional<Row> row;
  if (ReadRow(ProgressKey(aJob), row) != RowStatus::kOk) {
    answer.m_status = EntryStatus::kNotTaken;
    return answer;
  }
  if (row) {
    const auto progress = DecodeProgress(aJob, row->m_value);
    if (progress) {
      answer.m_status = EntryStatus::kOk;
      answer.m_state = progress->m_state;
      return answer;
    }
    m_log.Write("progress-malformed", "job=" + aJob.Text());
  }
  if (ReadRow(JobKey(aJob), row) != RowStatus::kOk) {
    answer.m_status = EntryStatus::kNotTaken;
    return answer;
  }
  answer.m_status = row ? EntryStatus::kOk : EntryStatus::kNoSuchJob;
  return answer;
}

PendingAnswer EntryDesk::Pending(const QueueName& aQueue)
{
  PendingAnswer answer;
  std::optional<Row> row;
  Duration storeClock = Duration::zero();
  if (ReadRow(LeaderKey(), row, &storeClock) != RowStatus::kOk) {
    answer.m_status = EntryStatus::kNotTaken;
    return answer;
  }
  proto::LeaderRow leader;
  const bool known =
    row && leader.ParseFromString(row->m_value) && leader.pending_known();
  const Duration age =
    storeClock - std::chrono::milliseconds(leader.renewed_ms());
  if (!known || age > kOldestCounts) {
    // Nobody counts just now; an old number would be wrong.
    answer.m_status = EntryStatus::kNotTaken;
    return answer;
  }
  answer.m_status = EntryStatus::kOk;
  for (const proto::QueuePending& entry : leader.pending()) {
    if (entry.queue() == aQueue.Text()) {
      answer.m_pending = entry.pending();
    }
  }
  return answer;
}

RowStatus EntryDesk::ReadRow(const RowKey& aKey,
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
