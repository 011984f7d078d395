#ifndef LYCHEESTEP_ENTRY_DESK_H
#define LYCHEESTEP_ENTRY_DESK_H

#include <cstdint>
#include <optional>

#include "job.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

class EventLog;
class MetricsSink;

// What became of a caller's request.
enum class EntryStatus
{
  kOk,
  kNoSuchJob,
  kNotTaken, // nothing was stored or will be: the job never runs
  kUnknown,  // the store did not say whether it took it
};

// The answer to a question for a job's state.
struct JobStateAnswer
{
  EntryStatus m_status = EntryStatus::kUnknown;
  JobState m_state = JobState::kQueued;
};

// The answer to a question for the jobs that wait in a queue.
struct PendingAnswer
{
  EntryStatus m_status = EntryStatus::kUnknown;
  std::uint32_t m_pending = 0;
};

// Serves callers: stores what they submit and cancel before it is
// acknowledged, and reads states from the store, so that every host gives the
// same answers whether or not there is a leader. Safe from any thread; calls
// wait for the store.
class EntryDesk
{
public:
  EntryDesk(RowStore& aStore, EventLog& aLog, MetricsSink& aMetrics);

  EntryStatus Submit(const JobId& aJob,
                     const QueueConfig& aQueue,
                     const JobSpec& aSpec);
  EntryStatus Cancel(const JobId& aJob);
  JobStateAnswer State(const JobId& aJob);
  PendingAnswer Pending(const QueueName& aQueue);

private:
  // Writes under a condition until it is known to stand, or time is up.
  EntryStatus StoreOnce(const RowTransaction& aTransaction);
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
