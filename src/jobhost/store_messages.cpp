#include "store_messages.h"

#include <chrono>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

void EncodeKey(const RowKey& aKey, proto::RowKeyMessage& aMessage)
{
  aMessage.set_table(aKey.m_table);
  aMessage.set_partition(aKey.m_partition);
  aMessage.set_key(aKey.m_key);
}

RowKey DecodeKey(const proto::RowKeyMessage& aMessage)
{
  return RowKey{ aMessage.table(), aMessage.partition(), aMessage.key() };
}

} // namespace

void EncodeTransactionMessage(const RowTransaction& aTransaction,
                              proto::RowTransactionMessage& aMessage)
{
  for (const RowCondition& condition : aTransaction.m_conditions) {
    proto::RowMessage* entry = aMessage.add_condition();
    EncodeKey(condition.m_key, *entry->mutable_key());
    entry->set_version(condition.m_version);
  }
  for (const RowWrite& write : aTransaction.m_writes) {
    proto::RowMessage* entry = aMessage.add_write();
    EncodeKey(write.m_key, *entry->mutable_key());
    entry->set_value(write.m_value);
  }
  for (const RowKey& key : aTransaction.m_removals) {
    EncodeKey(key, *aMessage.add_removal());
  }
}

RowTransaction DecodeTransactionMessage(
  const proto::RowTransactionMessage& aMessage)
{
  RowTransaction transaction;
  for (const proto::RowMessage& entry : aMessage.condition()) {
    transaction.m_conditions.push_back(
      RowCondition{ DecodeKey(entry.key()), entry.version() });
  }
  for (const proto::RowMessage& entry : aMessage.write()) {
    transaction.m_writes.push_back(
      RowWrite{ DecodeKey(entry.key()), entry.value() });
  }
  for (const proto::RowKeyMessage& key : aMessage.removal()) {
    transaction.m_removals.push_back(DecodeKey(key));
  }
  return transaction;
}

void EncodeStoreReply(const RowAnswer& aAnswer, proto::StoreReply& aReply)
{
  aReply.set_status(static_cast<std::uint32_t>(aAnswer.m_status));
  aReply.set_version(aAnswer.m_version);
  aReply.set_store_clock_ms(
    static_cast<std::uint64_t>(ToMilliseconds(aAnswer.m_storeClock)));
  aReply.set_more(aAnswer.m_more);
  for (const Row& row : aAnswer.m_rows) {
    proto::RowMessage* entry = aReply.add_row();
    EncodeKey(row.m_key, *entry->mutable_key());
    entry->set_value(row.m_value);
    entry->set_version(row.m_version);
    entry->set_removed(row.m_removed);
  }
}

RowAnswer DecodeStoreReply(const proto::StoreReply& aReply)
{
  RowAnswer answer;
  const auto last = static_cast<std::uint32_t>(RowStatus::kInvalid);
  if (aReply.status() > last) {
    // A newer version of the software may send a status that this version does
    // not know.
    return answer;
  }
  answer.m_status = static_cast<RowStatus>(aReply.status());
  answer.m_version = aReply.version();
  answer.m_storeClock = std::chrono::milliseconds(aReply.store_clock_ms());
  answer.m_more = aReply.more();
  for (const proto::RowMessage& entry : aReply.row()) {
    Row row;
    row.m_key = DecodeKey(entry.key());
    row.m_value = entry.value();
    row.m_version = entry.version();
    row.m_removed = entry.removed();
    answer.m_rows.push_back(row);
  }
  return answer;
}

} // namespace lycheestep
