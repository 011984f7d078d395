// How a host takes over the records of a host that is gone.
#include <algorithm>
#include <utility>

#include "backoff.h"
#include "record_keeper.h"
#include "record_rows.h"
#include "session_keeper.h"
#include "table_calls.h"

namespace lycheestep {

namespace {

// Records taken over with one transaction.
constexpr std::size_t kAdoptBatch = 50;

// Hosts that saw the same death wait up to this long before they list its
// records, so that mostly one of them does the work.
constexpr Duration kAdoptDelay = std::chrono::milliseconds(500);

} // namespace

void RecordKeeper::HandleSessionOpened(CoreContext& aContext)
{
  Ids open;
  for (const auto& [id, record] : m_records) {
    if (record.m_version != 0 && !IsFinal(record.m_row.state())) {
      open.push_back(id);
    }
  }
  for (const RequestId& id : open) {
    // The epoch is set with every write.
    Change change;
    change.m_apply = [](proto::RecordRow&) { return true; };
    AddChange(aContext, id, std::move(change));
  }
}

void RecordKeeper::TakeOver(CoreContext& aContext,
                            const EntryId& aEntry,
                            std::uint64_t aEpoch)
{
  std::uint64_t& dead = m_deadEpochs[aEntry.Text()];
  dead = std::max(dead, aEpoch);
  m_toList.insert(aEntry.Text());
  m_nextAdopt = std::max(
    m_nextAdopt, aContext.m_now + Jittered(aContext.m_random, kAdoptDelay));
}

void RecordKeeper::ListHeld(CoreContext& aContext)
{
  if (m_session.Epoch() == 0) {
    m_nextAdopt = aContext.m_now + kFirstRetry;
    return;
  }
  const std::string entry = *m_toList.begin();
  const std::string prefix = HeldKey(entry, RequestId());
  m_adopting = true;
  m_table.Read(
    aContext,
    { {}, { prefix } },
    [this, entry, prefix](CoreContext& aInner, const TableAnswer& aAnswer) {
      m_adopting = false;
      if (aAnswer.m_status != TableStatus::kOk) {
        RetryAdoption(aInner, {});
        return;
      }
      m_adoptFailures = 0;
      m_toList.erase(entry);
      for (const TableRow& row : aAnswer.m_rows) {
        const RequestId id(row.m_key.substr(prefix.size()));
        if (m_records.count(id) == 0) {
          m_toAdopt.push_back(id);
        }
      }
    });
}

void RecordKeeper::RetryAdoption(CoreContext& aContext, const Ids& aIds)
{
  ++m_adoptFailures;
  m_nextAdopt =
    aContext.m_now +
    BackoffDelay(aContext.m_random, kFirstRetry, kMostRetry, m_adoptFailures);
  m_toAdopt.insert(m_toAdopt.begin(), aIds.begin(), aIds.end());
}

void RecordKeeper::AdoptSome(CoreContext& aContext)
{
  Ids ids;
  TableQuery query;
  while (!m_toAdopt.empty() && ids.size() < kAdoptBatch) {
    ids.push_back(m_toAdopt.front());
    query.m_keys.push_back(RecordKey(ids.back()));
    m_toAdopt.pop_front();
  }
  m_adopting = true;
  m_table.Read(aContext,
               std::move(query),
               [this, ids](CoreContext& aInner, const TableAnswer& aAnswer) {
                 m_adopting = false;
                 if (aAnswer.m_status != TableStatus::kOk) {
                   RetryAdoption(aInner, ids);
                   return;
                 }
                 TakeRows(aInner, ids, aAnswer);
               });
}

void RecordKeeper::TakeRows(CoreContext& aContext,
                            const Ids& aIds,
                            const TableAnswer& aAnswer)
{
  TableTransaction transaction;
  std::map<RequestId, proto::RecordRow> taken;
  std::map<RequestId, proto::RecordRow> ours;
  for (const RequestId& id : aIds) {
    const TableRow row = RowOf(aAnswer, RecordKey(id));
    proto::RecordRow record;
    if (row.m_version == 0 || !record.ParseFromString(row.m_value) ||
        m_records.count(id) != 0) {
      continue;
    }
    if (IsHeldHere(record)) {
      // Taken by an earlier write whose answer was lost.
      ours[id] = record;
      continue;
    }
    auto dead = m_deadEpochs.find(record.holder());
    if (dead == m_deadEpochs.end() || record.holder_epoch() > dead->second) {
      continue;
    }
    const std::string former = record.holder();
    record.set_holder(m_self.Text());
    record.set_holder_epoch(m_session.Epoch());
    transaction.m_conditions.push_back({ row.m_key, row.m_version });
    transaction.m_writes.push_back(
      { row.m_key, record.SerializeAsString(), false });
    transaction.m_writes.push_back({ HeldKey(former, id), "", true });
    transaction.m_writes.push_back({ HeldKey(m_self.Text(), id), "", false });
    taken[id] = record;
  }
  Adopted(aContext, ours, aAnswer);
  if (taken.empty()) {
    return;
  }
  if (m_session.Epoch() == 0) {
    RetryAdoption(aContext, aIds);
    return;
  }
  m_adopting = true;
  ++m_transactionsSent;
  m_table.Transact(
    aContext,
    std::move(transaction),
    [this, aIds, taken](CoreContext& aInner, const TableAnswer& aWritten) {
      m_adopting = false;
      if (aWritten.m_status == TableStatus::kOk) {
        m_adoptFailures = 0;
        Adopted(aInner, taken, aWritten);
      } else {
        // Read again: some may be another's by now, or this host's already.
        RetryAdoption(aInner, aIds);
      }
    });
}

void RecordKeeper::Adopted(CoreContext& aContext,
                           const std::map<RequestId, proto::RecordRow>& aRows,
                           const TableAnswer& aAnswer)
{
  const auto index = IndexOf(aAnswer);
  for (const auto& [id, row] : aRows) {
    Record& record = m_records[id];
    record.m_row = row;
    record.m_version = index.at(RecordKey(id))->m_version;
    if (IsFinal(row.state())) {
      Trim(aContext, id, record);
    } else if (m_listener != nullptr) {
      m_listener->OnAdopted(aContext, row);
    }
  }
}

} // namespace lycheestep
