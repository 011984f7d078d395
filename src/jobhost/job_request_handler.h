#ifndef LYCHEESTEP_JOB_REQUEST_HANDLER_H
#define LYCHEESTEP_JOB_REQUEST_HANDLER_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "job.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

class EventLog;
class MetricsSink;

// The outcome of a caller's request.
enum class JobRequestStatus
{
  kOk,
  kNoSuchJob,
  // The request was not executed. Nothing was stored and nothing will be; if
  // the request was a submission, the job never runs.
  kNotServed,
  // Another job has this id already.
  kOtherJob,
  // The job can't be stored, whoever tries. It never runs.
  kTooLarge,
  // The store did not say whether the write took effect. It may take effect
  // later.
  kUnknown,
};

// The answer to a query for a job's state. m_state is valid if m_status is kOk.
struct JobStateAnswer
{
  JobRequestStatus m_status = JobRequestStatus::kUnknown;
  JobState m_state = JobState::kQueued;
};

// The answer to a query for the number of jobs that wait in a queue. m_pending
// is valid if m_status is kOk.
struct PendingAnswer
{
  JobRequestStatus m_status = JobRequestStatus::kUnknown;
  std::uint32_t m_pending = 0;
};

// What a cancellation's answer is based on.
enum class CancellationProof
{
  kNone,       // the cancellation is not stored, as far as is known
  kWrite,      // this host wrote the row of the cancellation
  kRow,        // the row was there already
  kWithdrawal, // the row of a submission says that there is no such job
};

// The outcome of a cancellation.
struct CancellationResult
{
  JobRequestStatus m_status = JobRequestStatus::kNotServed;
  CancellationProof m_proof = CancellationProof::kNone;
  // The version of the row that proves it; zero if none does.
  std::uint64_t m_rowVersion = 0;
};

// Settings of JobRequestHandler.
struct JobRequestSettings
{
  // The longest value of a row, in bytes.
  std::size_t m_maxValueBytes = MaxValueBytes(kDefaultRowBytes);
  // Time limits of one call to the store, and of all calls to the store for one
  // request of a caller, and the delay between two calls.
  Duration m_callTimeout = std::chrono::milliseconds(500);
  Duration m_requestLimit = std::chrono::milliseconds(1000);
  Duration m_retryDelay = std::chrono::milliseconds(60);
};

// Serves the requests of callers. Submissions and cancellations are stored
// before they are acknowledged, and states are read from the store, so that
// every host gives the same answers with or without a leader. Every call blocks
// until the store answers or the request times out. Safe from any thread.
class JobRequestHandler
{
public:
  // Receives a job whose cancellation is in the store, on the caller's thread
  // and before the caller is answered. Must not block.
  using OnCancelled = std::function<void(const JobId& aJob)>;

  JobRequestHandler(
    RowStore& aStore,
    EventLog& aLog,
    MetricsSink& aMetrics,
    const JobRequestSettings& aSettings,
    OnCancelled aOnCancelled = [](const JobId&) {});

  // Stores a job. A second submission of the same job returns kOk, one of
  // another job with the same id kOtherJob, and one of an id for which Cancel
  // has returned kNoSuchJob lately returns kNoSuchJob.
  JobRequestStatus Submit(const JobId& aJob,
                          const QueueConfig& aQueue,
                          const JobSpec& aSpec);
  // Stores a cancellation of the job. Returns kNoSuchJob if the job does not
  // exist; a submission that is on its way is not stored later then.
  JobRequestStatus Cancel(const JobId& aJob);
  // Reads the job's state. A stored job without progress is reported as queued.
  JobStateAnswer State(const JobId& aJob);
  // Reads the number of waiting jobs that the leader counted last. The status
  // is kNotServed if there is no recent count.
  PendingAnswer Pending(const QueueName& aQueue);

private:
  // Retries the write of a job until the store has taken it or has a row with
  // its id, or until the request times out.
  JobRequestStatus StoreJob(const RowTransaction& aTransaction,
                            std::uint64_t aDigest);
  // Makes one try to cancel the job. Returns nothing if the job's row changed
  // meanwhile.
  std::optional<CancellationResult> TryCancel(const JobId& aJob);
  // Stores that there is no such job, unless one was stored meanwhile.
  std::optional<CancellationResult> Withdraw(const JobId& aJob,
                                             Duration aStoreClock);
  // Logs the answer to a cancellation.
  void ReportCancellation(const JobId& aJob, const CancellationResult& aResult);
  // Reads the count of waiting jobs if the counts are in aRowCount rows besides
  // the leader row.
  PendingAnswer ReadPendingRow(const QueueName& aQueue,
                               std::uint32_t aRowCount);
  // Reads one row, with retries until the request times out. If the store has
  // no such row, returns kOk and clears aRow. Sets aStoreClock, if not null, to
  // the store's clock when it answered.
  RowStatus ReadRow(const RowKey& aKey,
                    std::optional<Row>& aRow,
                    Duration* aStoreClock = nullptr);

  RowStore& m_store;
  EventLog& m_log;
  MetricsSink& m_metrics;
  const JobRequestSettings m_settings;
  const OnCancelled m_onCancelled;
};

} // namespace lycheestep

#endif
