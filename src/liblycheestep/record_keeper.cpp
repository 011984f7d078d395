#include "record_keeper.h"

#include <algorithm>
#include <utility>

#include "backoff.h"
#include "record_rows.h"
#include "session_keeper.h"
#include "table_calls.h"

namespace lycheestep {

namespace {

// Least time between two commits that aren't full: bounds a host's share of
// the table's writes at any intake.
constexpr Duration kCommitSpacing = std::chrono::milliseconds(25);

// Commits under way at once.
constexpr int kCommitsInFlight = 4;

// Time between two rounds of removing old records.
constexpr Duration kRemovePeriod = std::chrono::milliseconds(100);

// Conflicts and lost replies that a cancel of another host's record survives.
constexpr int kCancelTries = 8;

bool SameAttempts(const proto::RecordRow& aRow,
                  const std::vector<proto::RecordAttempt>& aAttempts)
{
  if (static_cast<std::size_t>(aRow.attempts_size()) != aAttempts.size()) {
    return false;
  }
  for (int i = 0; i < aRow.attempts_size(); ++i) {
    if (aRow.attempts(i).attempt() !=
        aAttempts[static_cast<std::size_t>(i)].attempt()) {
      return false;
    }
  }
  return true;
}

} // namespace

RecordKeeper::RecordKeeper(TableCalls& aTable, SessionKeeper& aSession)
  : m_table(aTable)
  , m_session(aSession)
{
}

RecordKeeper::~RecordKeeper() = default;

std::string RecordKeeper::HeldKey(const std::string& aEntry,
                                  const RequestId& aId) const
{
  return "held/" + m_dataCentre.Text() + "/" + aEntry + "/" + aId.Text();
}

void RecordKeeper::Tick(CoreContext& aContext)
{
  m_self = aContext.m_settings.m_entry;
  m_dataCentre = aContext.m_settings.m_dataCentre;
  if (aContext.m_now >= m_nextCommit) {
    Commit(aContext);
  }
  if (aContext.m_now >= m_nextReadBack && !m_toReadBack.empty()) {
    const Ids ids = std::move(m_toReadBack.front());
    m_toReadBack.pop_front();
    m_nextReadBack = m_toReadBack.empty() ? TimePoint::max() : aContext.m_now;
    ReadBack(aContext, ids);
  }
  if (!m_adopting && aContext.m_now >= m_nextAdopt) {
    if (!m_toAdopt.empty()) {
      AdoptSome(aContext);
    } else if (!m_toList.empty()) {
      ListHeld(aContext);
    }
  }
  RemoveOld(aContext);
}

TimePoint RecordKeeper::NextWakeup() const
{
  TimePoint next = m_nextReadBack;
  if (m_transactionsInFlight < kCommitsInFlight) {
    next = std::min(next, m_nextCommit);
  }
  if (!m_adopting && (!m_toAdopt.empty() || !m_toList.empty())) {
    next = std::min(next, m_nextAdopt);
  }
  if (!m_finished.empty()) {
    next = std::min(next, std::max(m_nextRemove, m_finished.front().first));
  }
  return next;
}

void RecordKeeper::AddChange(CoreContext& aContext,
                             const RequestId& aId,
                             Change aChange)
{
  Record& record = m_records[aId];
  record.m_changes.push_back(std::move(aChange));
  if (record.m_changes.size() == 1) {
    Enqueue(aContext, aId);
  }
}

void RecordKeeper::Enqueue(CoreContext& aContext, const RequestId& aId)
{
  m_queue.push_back(aId);
  if (m_failures > 0) {
    m_nextCommit = std::min(
      m_nextCommit,
      aContext.m_now +
        BackoffDelay(aContext.m_random, kFirstRetry, kMostRetry, m_failures));
    return;
  }
  const SchedulerSettings& settings = aContext.m_settings;
  const TimePoint due = m_queue.size() >= settings.m_commitBatch
                          ? aContext.m_now
                          : std::max(aContext.m_now + settings.m_commitDelay,
                                     m_lastCommit + kCommitSpacing);
  m_nextCommit = std::min(m_nextCommit, due);
}

void RecordKeeper::Commit(CoreContext& aContext)
{
  if (m_transactionsInFlight >= kCommitsInFlight) {
    return;
  }
  m_nextCommit = TimePoint::max();
  TableTransaction transaction;
  Ids ids;
  while (!m_queue.empty() && ids.size() < aContext.m_settings.m_commitBatch) {
    const RequestId id = m_queue.front();
    m_queue.pop_front();
    if (m_records.count(id) != 0 && Prepare(aContext, id, &transaction)) {
      ids.push_back(id);
    }
  }
  if (!m_queue.empty()) {
    m_nextCommit = aContext.m_now;
  }
  if (ids.empty()) {
    return;
  }
  m_lastCommit = aContext.m_now;
  m_inFlight += ids.size();
  ++m_transactionsInFlight;
  ++m_transactionsSent;
  m_table.Transact(
    aContext,
    std::move(transaction),
    [this, ids](CoreContext& aInner, const TableAnswer& aAnswer) {
      --m_transactionsInFlight;
      m_inFlight -= ids.size();
      HandleCommitted(aInner, ids, aAnswer);
    });
}

bool RecordKeeper::Prepare(CoreContext& aContext,
                           const RequestId& aId,
                           TableTransaction* aTransaction)
{
  Record& record = m_records.at(aId);
  const Change& change = record.m_changes.front();
  proto::RecordRow next = record.m_row;
  if (!change.m_apply(next)) {
    FinishFront(aContext, aId, RecordStatus::kLost);
    return false;
  }
  if (m_session.Epoch() != 0) {
    next.set_holder_epoch(m_session.Epoch());
  }
  next.set_holder(m_self.Text());
  const std::string key = RecordKey(aId);
  record.m_writing = change.m_remove ? "" : next.SerializeAsString();
  aTransaction->m_conditions.push_back({ key, record.m_version });
  aTransaction->m_writes.push_back({ key, record.m_writing, change.m_remove });
  if (change.m_create || change.m_remove) {
    aTransaction->m_writes.push_back(
      { HeldKey(m_self.Text(), aId), "", change.m_remove });
  }
  return true;
}

void RecordKeeper::HandleCommitted(CoreContext& aContext,
                                   const Ids& aIds,
                                   const TableAnswer& aAnswer)
{
  switch (aAnswer.m_status) {
    case TableStatus::kOk: {
      m_failures = 0;
      const auto index = IndexOf(aAnswer);
      for (const RequestId& id : aIds) {
        auto written = index.find(RecordKey(id));
        if (written != index.end()) {
          m_records.at(id).m_version = written->second->m_version;
        }
        Complete(aContext, id);
      }
      return;
    }
    case TableStatus::kConflict:
      m_failures = 0;
      SettleAll(aContext, aIds, aAnswer);
      return;
    case TableStatus::kNotSent:
      ++m_failures;
      HandleUnsent(aContext, aIds);
      return;
    case TableStatus::kUnknown:
      ++m_failures;
      for (const RequestId& id : aIds) {
        m_records.at(id).m_changes.front().m_maybeSent = true;
      }
      m_toReadBack.push_back(aIds);
      m_nextReadBack = std::min(
        m_nextReadBack,
        aContext.m_now +
          BackoffDelay(aContext.m_random, kFirstRetry, kMostRetry, m_failures));
      return;
  }
}

void RecordKeeper::HandleUnsent(CoreContext& aContext, const Ids& aIds)
{
  for (const RequestId& id : aIds) {
    const Change& change = m_records.at(id).m_changes.front();
    if (change.m_create && !change.m_maybeSent) {
      Drop(aContext, id, RecordStatus::kNotSent, nullptr);
    } else {
      Enqueue(aContext, id);
    }
  }
}

void RecordKeeper::ReadBack(CoreContext& aContext, const Ids& aIds)
{
  TableQuery query;
  for (const RequestId& id : aIds) {
    query.m_keys.push_back(RecordKey(id));
  }
  m_inFlight += aIds.size();
  m_table.Read(
    aContext,
    std::move(query),
    [this, aIds](CoreContext& aInner, const TableAnswer& aAnswer) {
      m_inFlight -= aIds.size();
      if (aAnswer.m_status == TableStatus::kOk) {
        m_failures = 0;
        SettleAll(aInner, aIds, aAnswer);
        return;
      }
      ++m_failures;
      m_toReadBack.push_back(aIds);
      m_nextReadBack = std::min(
        m_nextReadBack,
        aInner.m_now +
          BackoffDelay(aInner.m_random, kFirstRetry, kMostRetry, m_failures));
    });
}

void RecordKeeper::SettleAll(CoreContext& aContext,
                             const Ids& aIds,
                             const TableAnswer& aAnswer)
{
  const auto index = IndexOf(aAnswer);
  for (const RequestId& id : aIds) {
    const std::string key = RecordKey(id);
    auto found = index.find(key);
    const TableRow row =
      found == index.end() ? TableRow{ key, "", 0 } : *found->second;
    if (row.m_version == m_records.at(id).m_version) {
      // Not written, or not yet: a further write on the same condition rules
      // a late effect of the first one out.
      Enqueue(aContext, id);
    } else {
      Settle(aContext, id, row);
    }
  }
}

bool RecordKeeper::IsHeldHere(const proto::RecordRow& aRow) const
{
  return aRow.holder() == m_self.Text() &&
         m_session.WasOurs(aRow.holder_epoch());
}

void RecordKeeper::Settle(CoreContext& aContext,
                          const RequestId& aId,
                          const TableRow& aRow)
{
  Record& record = m_records.at(aId);
  const Change& change = record.m_changes.front();
  if (aRow.m_version == 0) {
    if (change.m_remove) {
      Complete(aContext, aId);
    } else {
      Drop(aContext, aId, RecordStatus::kLost, nullptr);
    }
    return;
  }
  if (!change.m_remove && aRow.m_value == record.m_writing) {
    record.m_version = aRow.m_version;
    Complete(aContext, aId);
    return;
  }
  proto::RecordRow row;
  const bool parsed = row.ParseFromString(aRow.m_value);
  const bool ours =
    parsed && IsHeldHere(row) && (!change.m_create || change.m_maybeSent);
  if (!ours) {
    Drop(aContext,
         aId,
         change.m_create ? RecordStatus::kDuplicate : RecordStatus::kLost,
         parsed ? &row : nullptr);
    return;
  }
  // Changed by another host that doesn't hold it, as a cancel does: the
  // change is made again on top of that.
  record.m_row = std::move(row);
  record.m_version = aRow.m_version;
  Enqueue(aContext, aId);
}

void RecordKeeper::Complete(CoreContext& aContext, const RequestId& aId)
{
  Record& record = m_records.at(aId);
  if (record.m_changes.front().m_remove) {
    const Change change = std::move(record.m_changes.front());
    m_records.erase(aId);
    if (change.m_continue) {
      change.m_continue(aContext, RecordStatus::kDone, nullptr);
    }
    return;
  }
  record.m_row.ParseFromString(record.m_writing);
  record.m_writing.clear();
  FinishFront(aContext, aId, RecordStatus::kDone);
}

void RecordKeeper::FinishFront(CoreContext& aContext,
                               const RequestId& aId,
                               RecordStatus aStatus)
{
  Record& record = m_records.at(aId);
  const Change change = std::move(record.m_changes.front());
  record.m_changes.pop_front();
  if (!record.m_changes.empty()) {
    Enqueue(aContext, aId);
  }
  const proto::RecordRow row = record.m_row;
  const bool over =
    IsFinal(row.state()) || row.state() == proto::RecordRow::UNKNOWN;
  if (record.m_changes.empty() && over && !record.m_trimmed) {
    Trim(aContext, aId, record);
  }
  if (change.m_continue) {
    change.m_continue(aContext, aStatus, &row);
  }
}

void RecordKeeper::Trim(CoreContext& aContext,
                        const RequestId& aId,
                        Record& aRecord)
{
  aRecord.m_trimmed = true;
  aRecord.m_row.clear_body();
  aRecord.m_row.clear_answer();
  m_finished.emplace_back(
    aContext.m_now + aContext.m_settings.m_recordRetention, aId);
}

void RecordKeeper::Drop(CoreContext& aContext,
                        const RequestId& aId,
                        RecordStatus aStatus,
                        const proto::RecordRow* aRow)
{
  auto found = m_records.find(aId);
  const std::deque<Change> changes = std::move(found->second.m_changes);
  m_records.erase(found);
  if (aStatus == RecordStatus::kLost && m_listener != nullptr) {
    m_listener->OnRecordLost(aContext, aId);
  }
  for (const Change& change : changes) {
    if (change.m_continue) {
      change.m_continue(aContext, aStatus, aRow);
    }
  }
}

void RecordKeeper::Accept(CoreContext& aContext,
                          const Request& aRequest,
                          RecordContinuation aContinue)
{
  auto known = m_records.find(aRequest.m_id);
  if (known != m_records.end()) {
    Find(aContext,
         aRequest.m_id,
         [next = std::move(aContinue)](CoreContext& aInner,
                                       bool aReached,
                                       const proto::RecordRow* aRecord) {
           const bool found = aReached && aRecord != nullptr;
           next(aInner,
                found ? RecordStatus::kDuplicate : RecordStatus::kNotSent,
                aRecord);
         });
    return;
  }
  if (m_session.Epoch() == 0 || !m_session.IsTableReachable()) {
    aContinue(aContext, RecordStatus::kNotSent, nullptr);
    return;
  }
  proto::RecordRow row;
  row.set_id(aRequest.m_id.Text());
  row.set_kind(aRequest.m_kind.Text());
  row.set_customer(aRequest.m_customer.Text());
  row.set_body(aRequest.m_body);
  row.set_state(proto::RecordRow::ACCEPTED);
  row.set_data_centre(aContext.m_settings.m_dataCentre.Text());
  const auto deadline =
    std::chrono::duration_cast<std::chrono::microseconds>(aRequest.m_deadline);
  row.set_deadline_us(static_cast<std::uint64_t>(deadline.count()));
  Change change;
  change.m_create = true;
  change.m_continue = std::move(aContinue);
  change.m_apply = [row](proto::RecordRow& aRow) {
    const bool cancelled = aRow.cancelled();
    aRow = row;
    aRow.set_cancelled(cancelled);
    return true;
  };
  AddChange(aContext, aRequest.m_id, std::move(change));
}

void RecordKeeper::Dispatch(CoreContext& aContext,
                            const RequestId& aId,
                            const std::vector<proto::RecordAttempt>& aAttempts,
                            RecordContinuation aContinue)
{
  if (m_records.count(aId) == 0) {
    aContinue(aContext, RecordStatus::kLost, nullptr);
    return;
  }
  Change change;
  change.m_continue = std::move(aContinue);
  change.m_apply = [aAttempts](proto::RecordRow& aRow) {
    const bool again = aRow.state() == proto::RecordRow::DISPATCHED &&
                       SameAttempts(aRow, aAttempts);
    if (!again && (IsFinal(aRow.state()) || aRow.cancelled())) {
      return false;
    }
    aRow.set_state(proto::RecordRow::DISPATCHED);
    aRow.clear_attempts();
    for (const proto::RecordAttempt& attempt : aAttempts) {
      *aRow.add_attempts() = attempt;
    }
    return true;
  };
  AddChange(aContext, aId, std::move(change));
}

void RecordKeeper::Requeue(CoreContext& aContext,
                           const RequestId& aId,
                           RecordContinuation aContinue)
{
  if (m_records.count(aId) == 0) {
    aContinue(aContext, RecordStatus::kLost, nullptr);
    return;
  }
  Change change;
  change.m_continue = std::move(aContinue);
  change.m_apply = [](proto::RecordRow& aRow) {
    if (IsFinal(aRow.state())) {
      return false;
    }
    aRow.set_state(proto::RecordRow::ACCEPTED);
    aRow.clear_attempts();
    return true;
  };
  AddChange(aContext, aId, std::move(change));
}

void RecordKeeper::Finish(CoreContext& aContext,
                          const RequestId& aId,
                          proto::RecordRow::State aState,
                          std::error_code aError,
                          const std::string& aDetail,
                          const std::string& aAnswer,
                          RecordContinuation aContinue)
{
  if (m_records.count(aId) == 0) {
    aContinue(aContext, RecordStatus::kLost, nullptr);
    return;
  }
  Change change;
  change.m_continue = std::move(aContinue);
  change.m_apply = [aState, aError, aDetail, aAnswer](proto::RecordRow& aRow) {
    if (IsFinal(aRow.state()) && aRow.state() != aState) {
      return false;
    }
    aRow.set_state(aState);
    aRow.set_error(static_cast<std::uint32_t>(aError.value()));
    aRow.set_detail(aDetail);
    aRow.set_answer(aAnswer);
    return true;
  };
  AddChange(aContext, aId, std::move(change));
}

void RecordKeeper::Cancel(CoreContext& aContext,
                          const RequestId& aId,
                          RecordContinuation aContinue)
{
  auto own = m_records.find(aId);
  if (own == m_records.end() || own->second.m_trimmed) {
    CancelElsewhere(aContext, aId, kCancelTries, aContinue);
    return;
  }
  Change change;
  change.m_continue = std::move(aContinue);
  change.m_apply = [](proto::RecordRow& aRow) {
    aRow.set_cancelled(true);
    return !IsFinal(aRow.state());
  };
  AddChange(aContext, aId, std::move(change));
}

void RecordKeeper::CancelElsewhere(CoreContext& aContext,
                                   const RequestId& aId,
                                   int aTriesLeft,
                                   const RecordContinuation& aContinue)
{
  m_table.Read(
    aContext,
    { { RecordKey(aId) }, {} },
    [this, aId, aTriesLeft, aContinue](CoreContext& aInner,
                                       const TableAnswer& aAnswer) {
      if (aAnswer.m_status != TableStatus::kOk) {
        aContinue(aInner, RecordStatus::kNotSent, nullptr);
        return;
      }
      WriteCancelled(
        aInner, aId, RowOf(aAnswer, RecordKey(aId)), aTriesLeft, aContinue);
    });
}

void RecordKeeper::WriteCancelled(CoreContext& aContext,
                                  const RequestId& aId,
                                  const TableRow& aRow,
                                  int aTriesLeft,
                                  const RecordContinuation& aContinue)
{
  proto::RecordRow row;
  const bool found = aRow.m_version != 0 && row.ParseFromString(aRow.m_value);
  if (!found || IsFinal(row.state())) {
    aContinue(aContext, RecordStatus::kLost, found ? &row : nullptr);
    return;
  }
  if (row.cancelled()) {
    aContinue(aContext, RecordStatus::kDone, &row);
    return;
  }
  if (aTriesLeft == 0) {
    aContinue(aContext, RecordStatus::kNotSent, nullptr);
    return;
  }
  row.set_cancelled(true);
  TableTransaction transaction;
  transaction.m_conditions.push_back({ RecordKey(aId), aRow.m_version });
  transaction.m_writes.push_back(
    { RecordKey(aId), row.SerializeAsString(), false });
  m_table.Transact(aContext,
                   std::move(transaction),
                   [this, aId, row, aTriesLeft, aContinue](
                     CoreContext& aInner, const TableAnswer& aAnswer) {
                     if (aAnswer.m_status == TableStatus::kOk) {
                       aContinue(aInner, RecordStatus::kDone, &row);
                     } else {
                       CancelElsewhere(aInner, aId, aTriesLeft - 1, aContinue);
                     }
                   });
}

void RecordKeeper::Find(CoreContext& aContext,
                        const RequestId& aId,
                        RecordFound aFound)
{
  auto own = m_records.find(aId);
  if (own != m_records.end() && own->second.m_version != 0 &&
      !own->second.m_trimmed) {
    const proto::RecordRow row = own->second.m_row;
    aFound(aContext, true, &row);
    return;
  }
  m_table.Read(aContext,
               { { RecordKey(aId) }, {} },
               [aId, next = std::move(aFound)](CoreContext& aInner,
                                               const TableAnswer& aAnswer) {
                 if (aAnswer.m_status != TableStatus::kOk) {
                   next(aInner, false, nullptr);
                   return;
                 }
                 const TableRow row = RowOf(aAnswer, RecordKey(aId));
                 proto::RecordRow record;
                 const bool found =
                   row.m_version != 0 && record.ParseFromString(row.m_value);
                 next(aInner, true, found ? &record : nullptr);
               });
}

const proto::RecordRow* RecordKeeper::FindOwn(const RequestId& aId) const
{
  auto found = m_records.find(aId);
  const bool known = found != m_records.end() && found->second.m_version != 0;
  return known ? &found->second.m_row : nullptr;
}

void RecordKeeper::RemoveOld(CoreContext& aContext)
{
  if (m_finished.empty() || aContext.m_now < m_finished.front().first ||
      aContext.m_now < m_nextRemove) {
    return;
  }
  m_nextRemove = aContext.m_now + kRemovePeriod;
  for (std::size_t i = 0; i < aContext.m_settings.m_commitBatch; ++i) {
    if (m_finished.empty() || aContext.m_now < m_finished.front().first) {
      return;
    }
    const RequestId id = m_finished.front().second;
    m_finished.pop_front();
    if (m_records.count(id) != 0) {
      Change change;
      change.m_remove = true;
      change.m_apply = [](proto::RecordRow&) { return true; };
      AddChange(aContext, id, std::move(change));
    }
  }
}

} // namespace lycheestep
