#ifndef LYCHEESTEP_FEEDING_STORE_H
#define LYCHEESTEP_FEEDING_STORE_H

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "boot_clock.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

// A store in memory with a feed, which can be cut for one table, as reads of a
// table can. It may drop its history, and answer reads late with what it read
// before.
class FeedingStore : public RowStore
{
public:
  void SetCut(const std::string& aTable)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cut = aTable;
  }

  void SetReadCut(const std::string& aTable)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_readCut = aTable;
  }

  void DropHistory()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_forgotten = m_version;
    m_history.clear();
  }

  void SetReadDelay(Duration aDelay)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_readDelay = aDelay;
  }

  // Returns how long an unanswered feed call of the table lasted at most.
  Duration LongestFeedWait(const std::string& aTable)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_longestFeedWaits[aTable];
  }

  // Answers no write of a table until it is set to another one.
  void SetWriteCut(const std::string& aTable)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_writeCut = aTable;
    m_changed.notify_all();
  }

  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration aTimeout) override
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    const bool writable = m_changed.wait_for(
      lock, aTimeout, [&] { return !IsWriteCut(aTransaction); });
    if (!writable) {
      return RowAnswer();
    }
    RowAnswer answer = MakeAnswer();
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
      m_history.push_back(m_rows[write.m_key]);
    }
    for (const RowKey& key : aTransaction.m_removals) {
      if (m_rows.erase(key) > 0) {
        m_history.push_back(Row{ key, "", m_version, true });
      }
    }
    m_changed.notify_all();
    return answer;
  }

  RowAnswer Read(const RowRange& aRange, Duration aTimeout) override
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (aRange.m_table == m_readCut) {
      lock.unlock();
      std::this_thread::sleep_for(aTimeout);
      return RowAnswer();
    }
    RowAnswer answer = MakeAnswer();
    for (const auto& [key, row] : m_rows) {
      const bool inRange = key.m_table == aRange.m_table &&
                           key.m_partition == aRange.m_partition &&
                           !(key.m_key < aRange.m_first);
      if (inRange) {
        answer.m_rows.push_back(row);
      }
    }
    const Duration delay = m_readDelay;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    return answer;
  }

  RowAnswer Feed(const std::string& aTable,
                 std::uint64_t aVersion,
                 Duration aWait,
                 Duration aTimeout) override
  {
    const TimePoint begun = BootClockNow();
    std::unique_lock<std::mutex> lock(m_mutex);
    Duration& longest = m_longestFeedWaits[aTable];
    longest = std::max(longest, aWait + aTimeout);
    std::vector<Row> rows;
    m_changed.wait_for(lock, aWait, [&] {
      rows = ChangesAfter(aTable, aVersion);
      return m_cut != aTable && (!rows.empty() || aVersion < m_forgotten);
    });
    if (m_cut == aTable) {
      lock.unlock();
      std::this_thread::sleep_for(begun + aWait + aTimeout - BootClockNow());
      return RowAnswer();
    }
    RowAnswer answer = MakeAnswer();
    if (aVersion < m_forgotten) {
      answer.m_status = RowStatus::kHistoryLost;
      return answer;
    }
    answer.m_rows = std::move(rows);
    return answer;
  }

private:
  bool IsWriteCut(const RowTransaction& aTransaction) const
  {
    return std::any_of(aTransaction.m_writes.begin(),
                       aTransaction.m_writes.end(),
                       [this](const RowWrite& aWrite) {
                         return aWrite.m_key.m_table == m_writeCut;
                       });
  }

  RowAnswer MakeAnswer() const
  {
    RowAnswer answer;
    answer.m_status = RowStatus::kOk;
    answer.m_version = m_version;
    answer.m_storeClock = BootClockNow().time_since_epoch();
    return answer;
  }

  std::vector<Row> ChangesAfter(const std::string& aTable,
                                std::uint64_t aVersion) const
  {
    std::vector<Row> rows;
    for (const Row& row : m_history) {
      if (row.m_key.m_table == aTable && row.m_version > aVersion) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<RowKey, Row> m_rows;
  std::vector<Row> m_history;
  std::uint64_t m_version = 0;
  std::uint64_t m_forgotten = 0;
  Duration m_readDelay = Duration::zero();
  std::string m_cut;
  std::string m_readCut;
  std::string m_writeCut;
  std::map<std::string, Duration> m_longestFeedWaits;
};

} // namespace lycheestep

#endif
