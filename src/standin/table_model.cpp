#include "table_model.h"

#include <algorithm>
#include <utility>

namespace lycheestep {

namespace {

bool BeginsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

} // namespace

TableAnswer TableModel::Transact(const TableTransaction& aTransaction,
                                 TimePoint aNow)
{
  ++m_counts.m_transactions;
  for (const TableWrite& write : aTransaction.m_writes) {
    m_counts.m_bytesIn += write.m_key.size() + write.m_value.size();
  }
  TableAnswer answer;
  answer.m_status = TableStatus::kOk;
  for (const TableCondition& condition : aTransaction.m_conditions) {
    if (!Holds(condition)) {
      answer.m_status = TableStatus::kConflict;
    }
  }
  if (answer.m_status == TableStatus::kConflict) {
    ++m_counts.m_conflicts;
    for (const TableCondition& condition : aTransaction.m_conditions) {
      answer.m_rows.push_back(RowAt(condition.m_key));
    }
  } else {
    for (const TableWrite& write : aTransaction.m_writes) {
      answer.m_rows.push_back(Apply(write, aNow));
    }
  }
  CountOut(answer);
  return answer;
}

TableAnswer TableModel::Read(const TableQuery& aQuery)
{
  ++m_counts.m_reads;
  TableAnswer answer;
  answer.m_status = TableStatus::kOk;
  for (const std::string& key : aQuery.m_keys) {
    answer.m_rows.push_back(RowAt(key));
  }
  for (const std::string& prefix : aQuery.m_prefixes) {
    for (auto row = m_rows.lower_bound(prefix);
         row != m_rows.end() && BeginsWith(row->first, prefix);
         ++row) {
      answer.m_rows.push_back(row->second);
    }
  }
  m_counts.m_rowsRead += answer.m_rows.size();
  CountOut(answer);
  return answer;
}

void TableModel::KeepHistoryOf(std::string aPrefix)
{
  m_historyPrefixes.push_back(std::move(aPrefix));
}

bool TableModel::Holds(const TableCondition& aCondition) const
{
  return RowAt(aCondition.m_key).m_version == aCondition.m_version;
}

TableRow TableModel::RowAt(const std::string& aKey) const
{
  auto found = m_rows.find(aKey);
  if (found != m_rows.end()) {
    return found->second;
  }
  TableRow absent;
  absent.m_key = aKey;
  return absent;
}

TableRow TableModel::Apply(const TableWrite& aWrite, TimePoint aNow)
{
  ++m_counts.m_rowsWritten;
  TableRow written;
  written.m_key = aWrite.m_key;
  if (aWrite.m_remove) {
    m_rows.erase(aWrite.m_key);
  } else {
    written.m_version = ++m_lastVersion;
    TableRow& row = m_rows[aWrite.m_key];
    row = written;
    row.m_value = aWrite.m_value;
  }
  Remember(aWrite, written.m_version, aNow);
  return written;
}

void TableModel::Remember(const TableWrite& aWrite,
                          std::uint64_t aVersion,
                          TimePoint aNow)
{
  const bool kept = std::any_of(m_historyPrefixes.begin(),
                                m_historyPrefixes.end(),
                                [&aWrite](const std::string& aPrefix) {
                                  return BeginsWith(aWrite.m_key, aPrefix);
                                });
  if (!kept) {
    return;
  }
  TableHistoryEntry entry;
  entry.m_time = aNow;
  entry.m_key = aWrite.m_key;
  if (!aWrite.m_remove) {
    entry.m_value = aWrite.m_value;
  }
  entry.m_version = aVersion;
  m_history.push_back(std::move(entry));
}

void TableModel::CountOut(const TableAnswer& aAnswer)
{
  for (const TableRow& row : aAnswer.m_rows) {
    m_counts.m_bytesOut += row.m_key.size() + row.m_value.size();
  }
}

} // namespace lycheestep
