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

// Follows one table: first all its rows, then each change. Whenever the store
// has lost the history in between, all rows come again. Runs on a thread of
// its own.
class TableWatch
{
public:
  // aIsSnapshot: the rows are the whole table, else changes. Called on the
  // watch's thread.
  using OnRows =
    std::function<void(const std::vector<Row>& aRows, bool aIsSnapshot)>;

  // After each change the next ones are gathered for aBatchDelay.
  TableWatch(std::string aTable,
             std::vector<std::string> aPartitions,
             Duration aBatchDelay,
             RowStore& aStore,
             EventLog& aLog,
             OnRows aOnRows);
  ~TableWatch();
  TableWatch(const TableWatch&) = delete;
  TableWatch& operator=(const TableWatch&) = delete;

  // Calls nobody any more; the thread ends with its call to the store.
  void Stop() { m_stopping = true; }

  // When the store last answered.
  TimePoint LastAnswer() const { return TimePoint(Duration(m_lastAnswer)); }

  // True when the destructor need not wait.
  bool IsFinished() const { return m_finished; }

private:
  // One partition, as a series of reads found it.
  struct PartitionRows
  {
    RowStatus m_status = RowStatus::kUnknown;
    // The store's version at the first of the reads.
    std::uint64_t m_version = 0;
    std::vector<Row> m_rows;
  };

  void Run();
  bool ReadAll();
  PartitionRows ReadPartition(const std::string& aPartition) const;
  void Follow();
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
