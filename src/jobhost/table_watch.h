#ifndef LYCHEESTEP_TABLE_WATCH_H
#define LYCHEESTEP_TABLE_WATCH_H

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "lycheestep/row_store.h"

namespace lycheestep {

class EventLog;

// Watches one table of the store: reports a snapshot of all rows first, then
// each change. If the store has dropped the history since the last change, the
// watch reports a new snapshot. Runs on a thread of its own.
class TableWatch
{
public:
  // Receives rows on the watch's thread. If aIsSnapshot, aRows is the whole
  // table, else the rows that changed.
  using OnRows =
    std::function<void(const std::vector<Row>& aRows, bool aIsSnapshot)>;

  // Starts the thread. After each report of changes the watch waits for
  // aBatchDelay, so that the changes of that time are reported together.
  TableWatch(std::string aTable,
             std::vector<std::string> aPartitions,
             Duration aBatchDelay,
             RowStore& aStore,
             EventLog& aLog,
             OnRows aOnRows);
  ~TableWatch();
  TableWatch(const TableWatch&) = delete;
  TableWatch& operator=(const TableWatch&) = delete;

  // Starts no more reports. The thread ends when its current call to the store
  // returns.
  void Stop() { m_stopping = true; }

  // Returns when the store last answered a read or a feed.
  TimePoint LastAnswer() const { return TimePoint(Duration(m_lastAnswer)); }

  // Returns true if the thread has ended, so that the destructor does not wait.
  bool IsFinished() const { return m_finished; }

private:
  // The rows of one partition, collected by a series of reads.
  struct PartitionRows
  {
    RowStatus m_status = RowStatus::kUnknown;
    // The store's version when it answered the first read.
    std::uint64_t m_version = 0;
    std::vector<Row> m_rows;
  };

  void Run();
  bool ReadAll();
  PartitionRows ReadPartition(const std::string& aPartition) const;
  void Follow();
  // Updates LastAnswer, and logs when the store becomes unreachable or
  // reachable again.
  void RecordStoreStatus(RowStatus aStatus);

  const std::string m_table;
  const std::vector<std::string> m_partitions;
  const Duration m_batchDelay;
  RowStore& m_store;
  EventLog& m_log;
  const OnRows m_onRows;
  std::uint64_t m_version = 0;
  bool m_reachable = true;
  std::atomic<Duration::rep> m_lastAnswer{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::atomic<bool> m_finished{ false };
  std::thread m_thread;
};

} // namespace lycheestep

#endif
