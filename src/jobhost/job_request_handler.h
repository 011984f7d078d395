#ifndef LYCHEESTEP_JOB_REQUEST_HANDLER_H
#define LYCHEESTEP_JOB_REQUEST_HANDLER_H

#include <cstdint>
#include <optional>

#include "job.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

class EventLog;
class MetricsSink;

// What became of a caller's request.
enum class JobRequestStatus
{
  kOk,
  kNoSuchJob,
  kNotServed, // nothing was stored or will be: the job never runs
  kUnknown,   // the store did not say whether it took it
};

// The answer to a question for a job's state.
struct JobStateAnswer
{
  JobRequestStatus m_status = JobRequestStatus::kUnknown;
  JobState m_state = JobState::kQueued;
};

// The answer to a question for the jobs that wait in a queue.
struct PendingAnswer
{
  JobRequestStatus m_status = JobRequestStatus::kUnknown;
  std::uint32_t m_pending = 0;
};

// Serves callers: stores what they submit and cancel before it is
// acknowledged, and reads states from the store, so that every host gives the
// same answers whether or not there is a leader. Safe from any thread; calls
// wait for the store.
class JobRequestHandler
{
public:
  JobRequestHandler(RowStore& aStore, EventLog& aLog, MetricsSink& aMetrics);

  JobRequestStatus Submit(const JobId& aJob,
                          const QueueConfig& aQueue,
                          const JobSpec& aSpec);
  JobRequestStatus Cancel(const JobId& aJob);
  JobStateAnswer State(const JobId& aJob);
  PendingAnswer Pending(const QueueName& aQueue);

private:
  // Writes under a condition until it is known to stand, or time is up.
  JobRequestStatus WriteWithRetry(const RowTransaction& aTransaction);
  // Reads one row; no row with kOk when there is none. aStoreClock, if given,
  // gets the store's clock at the answer.
  RowStatus ReadRow(const RowKey& aKey,
                    std::optional<Row>& aRow,
                    Duration* aStoreClock = nullptr);

  RowStore& m_store;
  EventLog& m_log;
  MetricsSink& m_metrics;
};

} // namespace lycheestep

#endif
