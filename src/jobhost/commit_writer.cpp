#include "commit_writer.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "boot_clock.h"
#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "lycheestep/metrics_sink.h"
#include "pending_rows.h"

namespace lycheestep {

namespace {

// The leader row is renewed after this time if no commit is queued.
constexpr Duration kRenewalPeriod = std::chrono::milliseconds(250);

// Timeout of one call to the store.
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);

// Delay before a write without a reply is retried.
constexpr Duration kRetryDelay = std::chrono::milliseconds(60);

} // namespace

CommitWriter::CommitWriter(LeaderIdentity aIdentity,
                           RowStore& aStore,
                           EventLog& aLog,
                           MetricsSink& aMetrics,
                           OnCommitted aOnCommitted,
                           OnLeadershipLost aOnLeadershipLost,
                           OnCommitRejected aOnCommitRejected)
  : m_identity(std::move(aIdentity))
  , m_store(aStore)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_onCommitted(std::move(aOnCommitted))
  , m_onLeadershipLost(std::move(aOnLeadershipLost))
  , m_onCommitRejected(std::move(aOnCommitRejected))
{
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "commit");
}

CommitWriter::~CommitWriter()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
    m_leading = false;
  }
  m_changed.notify_all();
  m_thread.join();
}

bool CommitWriter::AcquireLeadership(const LeadClaim& aClaim)
{
  const TimePoint sent = BootClockNow();
  RowTransaction transaction;
  std::uint64_t write = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_version = aClaim.m_version;
    m_storeClock = aClaim.m_storeClock;
    m_storeClockAt = aClaim.m_clockAt;
    m_formerLeaseExpiry = aClaim.m_formerLeaseExpiry;
    m_pending.reset();
    m_omitsPending = false;
    m_succession = LeaderSuccession::kAnyRelease;
    m_released = false;
    m_queued.reset();
    transaction = MakeTransaction(Batch(), sent);
    write = m_lastWrite;
  }
  RowAnswer answer = m_store.Transact(transaction, kCallTimeout);
  TimePoint answeredCallSent = sent;
  if (answer.m_status == RowStatus::kUnknown) {
    answeredCallSent = BootClockNow();
    // The retry has the same condition, so at most one of the two calls takes
    // effect.
    answer = m_store.Transact(transaction, kCallTimeout);
    const bool firstTookEffect = answer.m_status == RowStatus::kConflict &&
                                 !answer.m_rows.empty() &&
                                 OwnWriteOf(answer.m_rows.front()) == write;
    if (firstTookEffect) {
      answer.m_status = RowStatus::kOk;
      answer.m_version = answer.m_rows.front().m_version;
    }
  }
  if (answer.m_status != RowStatus::kOk) {
    return false;
  }
  Duration storeClock = Duration::zero();
  std::uint64_t term = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_version = answer.m_version;
    NoteStoreClock(answer, answeredCallSent);
    m_renewedAt = sent.time_since_epoch().count();
    m_leading = true;
    term = ++m_term;
    storeClock = StoreClockAt(BootClockNow());
  }
  m_changed.notify_all();
  m_onCommitted(term, answer.m_version, storeClock);
  return true;
}

void CommitWriter::Commit(std::vector<RowWrite> aWrites,
                          std::vector<RowKey> aRemovals)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Batch batch;
    batch.m_writes = std::move(aWrites);
    batch.m_removals = std::move(aRemovals);
    batch.m_isCommit = true;
    m_queued = std::move(batch);
  }
  m_changed.notify_all();
}

void CommitWriter::SetPending(PendingCounts aPending)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_pending = std::move(aPending);
}

void CommitWriter::SetSuccession(LeaderSuccession aSuccession)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_succession = aSuccession;
}

void CommitWriter::ReleaseLeadership(Duration aTimeout)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  if (!m_leading) {
    return;
  }
  m_released = true;
  m_changed.notify_all();
  m_changed.wait_for(lock, aTimeout, [this] { return !m_leading; });
  m_leading = false;
}

void CommitWriter::StopWithoutRelease()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_leading = false;
  m_queued.reset();
}

std::uint64_t CommitWriter::Term() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_term;
}

Duration CommitWriter::StoreClock(TimePoint aNow) const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return StoreClockAt(aNow);
}

TimePoint CommitWriter::OrdersValidUntil() const
{
  const TimePoint renewed{ Duration(m_renewedAt.load()) };
  return renewed + m_identity.m_validity;
}

void CommitWriter::Run()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    if (!m_leading) {
      m_changed.wait(lock, [this] { return m_stopping || m_leading; });
      continue;
    }
    m_changed.wait_for(lock, kRenewalPeriod, [this] {
      return m_stopping || m_queued || m_released || !m_leading;
    });
    if (m_stopping || !m_leading) {
      continue;
    }
    Batch batch;
    if (m_queued) {
      batch = std::move(*m_queued);
      m_queued.reset();
    }
    const bool releases = m_released;
    const std::uint64_t term = m_term;
    WriteWithRetries(lock, batch);
    if (releases && m_term == term && !m_queued) {
      m_leading = false;
      m_changed.notify_all();
    }
  }
}

void CommitWriter::WriteWithRetries(std::unique_lock<std::mutex>& aLock,
                                    const Batch& aBatch)
{
  const std::uint64_t term = m_term;
  const std::uint64_t firstWrite = m_lastWrite + 1;
  // When the first write without an answer was sent.
  std::optional<TimePoint> unanswered;
  while (m_leading && m_term == term && !m_stopping) {
    const TimePoint sent = BootClockNow();
    const RowTransaction transaction = MakeTransaction(aBatch, sent);
    aLock.unlock();
    RowAnswer answer = m_store.Transact(transaction, kCallTimeout);
    const TimePoint now = BootClockNow();
    m_metrics.Observe("lycheestep_commit_seconds", "", now - sent);
    aLock.lock();
    if (!m_leading || m_term != term) {
      return;
    }
    if (answer.m_status == RowStatus::kOk ||
        answer.m_status == RowStatus::kConflict) {
      NoteStoreClock(answer, sent);
    }
    if (answer.m_status == RowStatus::kOk) {
      OnWritten(aLock, aBatch, answer, sent);
      return;
    }
    if (answer.m_status == RowStatus::kConflict) {
      const auto row = std::find_if(
        answer.m_rows.begin(), answer.m_rows.end(), [](const Row& aRow) {
          return aRow.m_key.m_table == kLeaderTable;
        });
      const auto write =
        row != answer.m_rows.end() ? OwnWriteOf(*row) : std::nullopt;
      if (!write) {
        m_leading = false;
        aLock.unlock();
        m_log.WriteUnlimited("commit-refused", "reason=\"another host's row\"");
        m_onLeadershipLost(term);
        aLock.lock();
        return;
      }
      if (unanswered && *write >= firstWrite) {
        // An earlier attempt took effect. Others may have written rows that it
        // removed since.
        answer.m_version = row->m_version;
        OnWritten(aLock, aBatch, answer, *unanswered);
        return;
      }
      m_version = row->m_version;
      continue;
    }
    if (answer.m_status == RowStatus::kInvalid) {
      if (OnInvalid(aLock, aBatch)) {
        continue;
      }
      return;
    }
    if (answer.m_status == RowStatus::kUnknown && !unanswered) {
      unanswered = sent;
    }
    aLock.unlock();
    std::this_thread::sleep_for(kRetryDelay);
    aLock.lock();
  }
}

void CommitWriter::OnWritten(std::unique_lock<std::mutex>& aLock,
                             const Batch& aBatch,
                             const RowAnswer& aAnswer,
                             TimePoint aSent)
{
  m_version = aAnswer.m_version;
  m_renewedAt = aSent.time_since_epoch().count();
  if (aBatch.m_isCommit) {
    const Duration storeClock = StoreClockAt(BootClockNow());
    const std::uint64_t term = m_term;
    aLock.unlock();
    m_onCommitted(term, aAnswer.m_version, storeClock);
    aLock.lock();
  }
}

Duration CommitWriter::StoreClockAt(TimePoint aNow) const
{
  return m_storeClock + (aNow - m_storeClockAt);
}

void CommitWriter::NoteStoreClock(const RowAnswer& aAnswer, TimePoint aSent)
{
  if (aAnswer.m_storeClock == Duration::zero()) {
    return; // the answer does not tell the clock
  }
  m_storeClock = aAnswer.m_storeClock;
  // An answer that was handled later waited here, while this host was
  // suspended.
  m_storeClockAt = std::min(BootClockNow(), aSent + kCallTimeout);
}

bool CommitWriter::OnInvalid(std::unique_lock<std::mutex>& aLock,
                             const Batch& aBatch)
{
  const bool hadCounts = m_pending && !m_omitsPending;
  m_omitsPending = true;
  if (hadCounts) {
    return true;
  }
  const std::uint64_t term = m_term;
  aLock.unlock();
  m_log.WriteUnlimited(
    "commit-invalid",
    "writes=" + std::to_string(aBatch.m_writes.size()) +
      " removals=" + std::to_string(aBatch.m_removals.size()));
  if (aBatch.m_isCommit) {
    m_onCommitRejected(term);
  }
  aLock.lock();
  return false;
}

RowTransaction CommitWriter::MakeTransaction(const Batch& aBatch,
                                             TimePoint aNow)
{
  ++m_lastWrite;
  RowTransaction transaction;
  transaction.m_conditions.push_back(RowCondition{ LeaderKey(), m_version });
  transaction.m_writes = aBatch.m_writes;
  AddLeaderRows(aNow, transaction.m_writes);
  transaction.m_removals = aBatch.m_removals;
  return transaction;
}

void CommitWriter::AddLeaderRows(TimePoint aNow,
                                 std::vector<RowWrite>& aWrites) const
{
  const Duration storeClock = StoreClockAt(aNow);
  proto::LeaderRow row;
  SetHolder(
    LeaderRowHolder{
      m_identity.m_host, m_identity.m_incarnation, storeClock, m_released },
    m_succession,
    row);
  row.set_lease_ms(ToMilliseconds(m_identity.m_lease));
  row.set_validity_ms(ToMilliseconds(m_identity.m_validity));
  const Duration formerLeases =
    std::max(Duration::zero(), m_formerLeaseExpiry - aNow);
  row.set_former_leases_ms(
    static_cast<std::uint64_t>(ToMilliseconds(formerLeases)));
  row.set_write(m_lastWrite);
  if (m_pending && !m_omitsPending) {
    row.set_pending_known(true);
    for (const auto& [queue, pending] : *m_pending) {
      proto::QueuePending* entry = row.add_pending();
      entry->set_queue(queue.Text());
      entry->set_pending(pending);
    }
  }
  if (row.ByteSizeLong() > m_identity.m_valueBytes) {
    row.clear_pending();
    row.set_pending_known(false);
    std::vector<RowWrite> rows =
      EncodePendingRows(*m_pending, storeClock, m_identity.m_valueBytes);
    row.set_pending_row_count(static_cast<std::uint32_t>(rows.size()));
    std::move(rows.begin(), rows.end(), std::back_inserter(aWrites));
  }
  aWrites.push_back(RowWrite{ LeaderKey(), row.SerializeAsString() });
}

std::optional<std::uint64_t> CommitWriter::OwnWriteOf(const Row& aRow) const
{
  proto::LeaderRow row;
  if (!row.ParseFromString(aRow.m_value)) {
    return std::nullopt;
  }
  const LeaderRowHolder holder = HolderOf(row);
  const bool isOwn = holder.m_host == m_identity.m_host &&
                     holder.m_incarnation == m_identity.m_incarnation;
  return isOwn ? std::optional<std::uint64_t>(row.write()) : std::nullopt;
}

} // namespace lycheestep
