#ifndef LYCHEESTEP_COMMIT_WRITER_H
#define LYCHEESTEP_COMMIT_WRITER_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "job_scheduler.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

class EventLog;
class MetricsSink;

// Who writes the leader's row.
struct LeaderIdentity
{
  std::string m_host;
  std::uint64_t m_incarnation = 0;
  // The longest lease that the host gives, and how long it sends orders
  // without a renewal; the next leader reckons with both.
  Duration m_lease = Duration::zero();
  Duration m_validity = Duration::zero();
};

// Carries the leader's writes to the store, one transaction after the other.
// Each one also writes the leader's row, on condition that the row is as the
// last one left it: so no write of a former leader takes effect, a write
// without answer can be sent again, and every commit renews the right to
// lead. Runs on a thread of its own.
class CommitWriter
{
public:
  // A commit took effect. aVersion is that of the leader's row.
  using OnCommitted =
    std::function<void(std::uint64_t aVersion, Duration aStoreClock)>;
  // Another host leads now.
  using OnLeadershipLost = std::function<void()>;

  CommitWriter(LeaderIdentity aIdentity,
               RowStore& aStore,
               EventLog& aLog,
               MetricsSink& aMetrics,
               OnCommitted aOnCommitted,
               OnLeadershipLost aOnLeadershipLost);
  ~CommitWriter();
  CommitWriter(const CommitWriter&) = delete;
  CommitWriter& operator=(const CommitWriter&) = delete;

  // Tries to lead, on condition that the leader's row is at aVersion. True
  // when this host leads from now on. Called from the control thread while it
  // does not lead.
  bool AcquireLeadership(std::uint64_t aVersion, Duration aStoreClock);

  // Queues a commit; one at a time.
  void Commit(std::vector<RowWrite> aWrites, std::vector<RowKey> aRemovals);

  // The counts that renewals carry from now on.
  void SetPending(PendingCounts aPending);

  // Gives up leading: what is queued is written with a row that says so, and
  // the writer stops. Waits for at most aTimeout.
  void ReleaseLeadership(Duration aTimeout);

  // Leads no longer, without a word.
  void StopWithoutRelease();

  // Orders may be sent until then. Read from any thread.
  TimePoint OrdersValidUntil() const;

  // How long orders may be sent after a renewal.
  Duration OrderValidity() const { return m_identity.m_validity; }

private:
  struct Batch
  {
    std::vector<RowWrite> m_writes;
    std::vector<RowKey> m_removals;
    bool m_isCommit = false;
  };

  void Run();
  void WriteWithRetries(std::unique_lock<std::mutex>& aLock,
                        const Batch& aBatch);
  RowTransaction MakeTransaction(const Batch& aBatch, TimePoint aNow) const;
  std::string EncodeRow(TimePoint aNow) const;
  // True when the row was written by this process.
  bool IsOwnRow(const Row& aRow) const;

  const LeaderIdentity m_identity;
  RowStore& m_store;
  EventLog& m_log;
  MetricsSink& m_metrics;
  const OnCommitted m_onCommitted;
  const OnLeadershipLost m_onLeadershipLost;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_leading = false;
  // Grows with each time that this host begins to lead.
  std::uint64_t m_term = 0;
  bool m_released = false;
  bool m_stopping = false;
  std::optional<Batch> m_queued;
  // Unknown until the jobs were read.
  std::optional<PendingCounts> m_pending;
  std::uint64_t m_version = 0;
  // A reading of the store's clock, and when it came in.
  Duration m_storeClock = Duration::zero();
  TimePoint m_storeClockAt;
  std::atomic<Duration::rep> m_renewedAt{ 0 };
  std::thread m_thread;
};

} // namespace lycheestep

#endif
