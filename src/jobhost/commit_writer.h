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
#include "lead_claim.h"
#include "leader_row.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

class EventLog;
class MetricsSink;

// The process that writes the leader row, and the time limits that it keeps to
// while it leads.
struct LeaderIdentity
{
  std::string m_host;
  std::uint64_t m_incarnation = 0;
  // The longest lease that the host asks targets for, and how long it sends
  // orders after its last renewal. From both, the next leader computes when
  // the leases of this one have expired.
  Duration m_lease = Duration::zero();
  Duration m_validity = Duration::zero();
  // The longest value of a row, in bytes.
  std::size_t m_valueBytes = MaxValueBytes(kDefaultRowBytes);
};

// Writes the leader's rows to the store, one transaction at a time, on its own
// thread. Each transaction also writes the leader row, on condition that the
// row still has the version of the previous transaction. Therefore no write of
// a former leader takes effect, a write whose reply was lost can be retried,
// and every commit renews the leadership.
class CommitWriter
{
public:
  // All reports name the term that they are of, see Term. A thread that stands
  // still may report when the next term has begun.
  //
  // Called when the leadership was acquired and when a commit took effect.
  // aVersion is the new version of the leader row, and aStoreClock the time of
  // the store's clock.
  using OnCommitted = std::function<
    void(std::uint64_t aTerm, std::uint64_t aVersion, Duration aStoreClock)>;
  // Called when a write was refused because the leader row is no longer this
  // process's.
  using OnLeadershipLost = std::function<void(std::uint64_t aTerm)>;
  // Called when the store refused a commit for good. The commit is dropped, and
  // the leadership goes on.
  using OnCommitRejected = std::function<void(std::uint64_t aTerm)>;

  CommitWriter(LeaderIdentity aIdentity,
               RowStore& aStore,
               EventLog& aLog,
               MetricsSink& aMetrics,
               OnCommitted aOnCommitted,
               OnLeadershipLost aOnLeadershipLost,
               OnCommitRejected aOnCommitRejected);
  ~CommitWriter();
  CommitWriter(const CommitWriter&) = delete;
  CommitWriter& operator=(const CommitWriter&) = delete;

  // Returns the number of the newest term, in which this process leads or led;
  // zero before the first.
  std::uint64_t Term() const;

  // Writes the leader row on condition that it is still the one that aClaim
  // knows. Returns true if this host leads from now on. Called from the control
  // thread while the host does not lead.
  bool AcquireLeadership(const LeadClaim& aClaim);

  // Queues a commit. The caller must not queue another one before the commit
  // has taken effect.
  void Commit(std::vector<RowWrite> aWrites, std::vector<RowKey> aRemovals);

  // Sets the pending counts that are written to the leader row from now on.
  void SetPending(PendingCounts aPending);

  // Sets which releases may succeed this leader, from the next write on.
  void SetSuccession(LeaderSuccession aSuccession);

  // Gives up the leadership: writes the queued commit together with a leader
  // row that is marked as released, and then writes nothing more. Waits for at
  // most aTimeout; the leadership ends even if the write has not finished.
  void ReleaseLeadership(Duration aTimeout);

  // Ends the leadership at once, without writing the leader row, and drops the
  // queued commit.
  void StopWithoutRelease();

  // Returns an estimate of the store's clock at aNow. Safe from any thread.
  Duration StoreClock(TimePoint aNow) const;

  // Returns the time until which orders may be sent, by the boot clock. Safe
  // from any thread.
  TimePoint OrdersValidUntil() const;

  // Returns how long orders may be sent after a renewal.
  Duration OrderValidity() const { return m_identity.m_validity; }

private:
  struct Batch
  {
    std::vector<RowWrite> m_writes;
    std::vector<RowKey> m_removals;
    // False for a plain renewal.
    bool m_isCommit = false;
  };

  void Run();
  // Writes aBatch until it has taken effect, the store has refused it for good
  // or the leadership has ended. aLock is released during each call to the
  // store.
  void WriteWithRetries(std::unique_lock<std::mutex>& aLock,
                        const Batch& aBatch);
  // Handles a write that took effect. aLock is released for the report.
  void OnWritten(std::unique_lock<std::mutex>& aLock,
                 const Batch& aBatch,
                 const RowAnswer& aAnswer,
                 TimePoint aSent);
  // Handles a write that the store never takes. Returns true if it is worth
  // another try without the counts of pending jobs.
  bool OnInvalid(std::unique_lock<std::mutex>& aLock, const Batch& aBatch);
  // Returns the next write of this process, which m_lastWrite counts.
  RowTransaction MakeTransaction(const Batch& aBatch, TimePoint aNow);
  // Adds the leader row, and the counts of pending jobs if they do not fit into
  // it.
  void AddLeaderRows(TimePoint aNow, std::vector<RowWrite>& aWrites) const;
  // Returns the estimated time of the store's clock at aNow.
  Duration StoreClockAt(TimePoint aNow) const;
  // Notes the store's clock as aAnswer has it, to a call sent at aSent. The
  // estimate stays as it is if the answer has none.
  void NoteStoreClock(const RowAnswer& aAnswer, TimePoint aSent);
  // Returns which write of this process wrote the leader row; empty if another
  // process did.
  std::optional<std::uint64_t> OwnWriteOf(const Row& aRow) const;

  const LeaderIdentity m_identity;
  RowStore& m_store;
  EventLog& m_log;
  MetricsSink& m_metrics;
  const OnCommitted m_onCommitted;
  const OnLeadershipLost m_onLeadershipLost;
  const OnCommitRejected m_onCommitRejected;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_leading = false;
  // Counts how often this process has acquired the leadership.
  std::uint64_t m_term = 0;
  bool m_released = false;
  bool m_stopping = false;
  std::optional<Batch> m_queued;
  // Empty until the leader has read the jobs from the store.
  std::optional<PendingCounts> m_pending;
  LeaderSuccession m_succession = LeaderSuccession::kAnyRelease;
  // True if the store refused a write that contained counts.
  bool m_omitsPending = false;
  std::uint64_t m_version = 0;
  // Counts the writes of this process, whatever became of them.
  std::uint64_t m_lastWrite = 0;
  // The last known time of the store's clock, and this host's time when it was
  // received.
  Duration m_storeClock = Duration::zero();
  TimePoint m_storeClockAt;
  // The time by which the leases of all former leaders have expired.
  TimePoint m_formerLeaseExpiry;
  // The time when the last successful write was sent. Counting from the send
  // time ends the leader's validity early rather than late.
  std::atomic<Duration::rep> m_renewedAt{ 0 };
  std::thread m_thread;
};

} // namespace lycheestep

#endif
