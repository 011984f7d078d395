#ifndef LYCHEESTEP_JOB_REQUEST_HANDLER_H
#define LYCHEESTEP_JOB_REQUEST_HANDLER_H

#include <cstdint>
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

// Serves the requests of callers. Submissions and cancellations are stored
// before they are acknowledged, and states are read from the store, so that
// every host gives the same answers with or without a leader. Every call blocks
// until the store answers or the request times out. Safe from any thread.
class JobRequestHandler
{
public:
  // aMaxValueBytes is the longest value of a row.
  JobRequestHandler(RowStore& aStore,
                    EventLog& aLog,
                    MetricsSink& aMetrics,
                    std::size_t aMaxValueBytes);

  // Stores a job. A second submission of the same id leaves the stored job as
  // it is and returns kOk.
  JobRequestStatus Submit(const JobId& aJob,
                          const QueueConfig& aQueue,
                          const JobSpec& aSpec);
  // Stores a cancellation of the job, if the job exists.
  JobRequestStatus Cancel(const JobId& aJob);
  // Reads the job's state. A stored job without progress is reported as queued.
  JobStateAnswer State(const JobId& aJob);
  // Reads the number of waiting jobs that the leader counted last. The status
  // is kNotServed if there is no recent count.
  PendingAnswer Pending(const QueueName& aQueue);

private:
  // Retries a conditional write until the store confirms that the row exists,
  // or until the request times out.
  JobRequestStatus WriteWithRetries(const RowTransaction& aTransaction);
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
  const std::size_t m_maxValueBytes;
};

} // namespace lycheestep

#endif
