#ifndef LYCHEESTEP_ROW_STORE_MODEL_H
#define LYCHEESTEP_ROW_STORE_MODEL_H

#include <map>
#include <vector>

#include "lycheestep/row_store.h"

namespace lycheestep {

// A row store in memory, for tests of the classes that call it. Writes may get
// no answer and be done later, if their conditions hold then.
class RowStoreModel : public RowStore
{
public:
  // The next aCount writes get no answer. They are done by DoLateWrites.
  void DelayWrites(int aCount) { m_delayed = aCount; }

  void DoLateWrites()
  {
    for (const RowTransaction& transaction : m_late) {
      Apply(transaction);
    }
    m_late.clear();
  }

  // Sets the store's clock that all answers tell; zero, as before the first
  // call, if they tell none.
  void SetStoreClock(Duration aClock) { m_storeClock = aClock; }

  bool Has(const RowKey& aKey) const { return m_rows.count(aKey) > 0; }

  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration /*aTimeout*/) override
  {
    if (m_delayed > 0) {
      --m_delayed;
      m_late.push_back(aTransaction);
      return RowAnswer();
    }
    return Apply(aTransaction);
  }

  RowAnswer Read(const RowRange& aRange, Duration /*aTimeout*/) override
  {
    RowAnswer answer;
    answer.m_status = RowStatus::kOk;
    answer.m_version = m_version;
    answer.m_storeClock = m_storeClock;
    for (const auto& [key, row] : m_rows) {
      const bool inRange = key.m_table == aRange.m_table &&
                           key.m_partition == aRange.m_partition &&
                           !(key.m_key < aRange.m_first);
      const bool full =
        aRange.m_limit > 0 && answer.m_rows.size() >= aRange.m_limit;
      if (inRange && !full) {
        answer.m_rows.push_back(row);
      }
    }
    return answer;
  }

  RowAnswer Feed(const std::string& /*aTable*/,
                 std::uint64_t /*aVersion*/,
                 Duration /*aWait*/,
                 Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

private:
  RowAnswer Apply(const RowTransaction& aTransaction)
  {
    RowAnswer answer;
    answer.m_status = RowStatus::kOk;
    answer.m_storeClock = m_storeClock;
    for (const RowCondition& condition : aTransaction.m_conditions) {
      const auto found = m_rows.find(condition.m_key);
      Row row = found != m_rows.end() ? found->second : Row();
      row.m_key = condition.m_key;
      if (row.m_version != condition.m_version) {
        answer.m_status = RowStatus::kConflict;
      }
      answer.m_rows.push_back(row);
    }
    if (answer.m_status == RowStatus::kConflict) {
      return answer;
    }
    answer.m_rows.clear();
    answer.m_version = ++m_version;
    for (const RowWrite& write : aTransaction.m_writes) {
      m_rows[write.m_key] = Row{ write.m_key, write.m_value, m_version, false };
    }
    for (const RowKey& key : aTransaction.m_removals) {
      m_rows.erase(key);
    }
    return answer;
  }

  std::map<RowKey, Row> m_rows;
  std::uint64_t m_version = 0;
  Duration m_storeClock = Duration::zero();
  int m_delayed = 0;
  std::vector<RowTransaction> m_late;
};

} // namespace lycheestep

#endif
