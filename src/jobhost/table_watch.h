#ifndef LYCHEESTEP_TABLE_WATCH_H
#define LYCHEESTEP_TABLE_WATCH_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "lycheestep/row_store.h"

namespace lycheestep {

class EventLog;
class RowVersions;
struct RowPage;

// Watches one table of the store: reports all rows first, then each change, as
// RowVersions says. If the store has dropped the history since the last change,
// the watch reads the table again and reports what differs. Runs on a thread of
// its own.
class TableWatch
{
public:
  // Receives rows on the watch's thread: the whole table at the first call,
  // then the rows that changed.
  using OnRows = std::function<void(std::vector<Row> aRows)>;

  // Receives, on the watch's thread, a time such that all changes which the
  // store had made by then were reported to OnRows before.
  using OnCurrent = std::function<void(TimePoint aAsOf)>;

  // How a table is followed.
  struct Pace
  {
    // After each report of changes the watch waits this long, so that the
    // changes of that time are reported together.
    Duration m_batchDelay = Duration::zero();
    // The store holds a feed call for up to this long until a row changes. A
    // call whose answer is lost delays changes by this time and a timeout.
    Duration m_feedWait = std::chrono::milliseconds(1200);
  };

  // Starts the thread.
  TableWatch(
    std::string aTable,
    std::vector<std::string> aPartitions,
    Pace aPace,
    RowStore& aStore,
    EventLog& aLog,
    OnRows aOnRows,
    OnCurrent aOnCurrent = [](TimePoint) {});
  ~TableWatch();
  TableWatch(const TableWatch&) = delete;
  TableWatch& operator=(const TableWatch&) = delete;

  // Starts no more reports. The thread ends when its current call to the store
  // returns.
  void Stop() { m_stopping = true; }

  const std::string& Table() const { return m_table; }

  // Returns when the store last answered a read or a feed.
  TimePoint LastAnswer() const { return TimePoint(Duration(m_lastAnswer)); }

  // Returns true if the thread has ended, so that the destructor does not wait.
  bool IsFinished() const { return m_finished; }

private:
  // The pages of one partition, collected by a series of reads.
  struct PartitionPages
  {
    RowStatus m_status = RowStatus::kUnknown;
    std::vector<RowPage> m_pages;
    // Where the next page begins.
    std::string m_next;
  };

  void Run();
  // Reads the whole table and reports what differs; everything if aIsFirst.
  // Returns false if the store did not answer all reads; the next call then
  // reads only the partitions that are missing.
  bool ReadAll(bool aIsFirst, RowVersions& aVersions);
  // Reads the partitions at these indices, of which there is at least one.
  void ReadPartitions(const std::vector<std::size_t>& aIndices);
  // Reads the pages of a partition that aRead lacks, up to the first one that
  // the store does not answer.
  void ReadPartition(const std::string& aPartition,
                     PartitionPages& aRead) const;
  void Follow(RowVersions& aVersions);
  // Logs that a feed call got no answer, unless the store refused it at once.
  void ReportUnanswered(Duration aHeld, std::uint64_t aPosition);
  // Updates LastAnswer, and logs when the store becomes unreachable or
  // reachable again.
  void RecordStoreStatus(RowStatus aStatus);

  const std::string m_table;
  const std::vector<std::string> m_partitions;
  const Pace m_pace;
  RowStore& m_store;
  EventLog& m_log;
  const OnRows m_onRows;
  const OnCurrent m_onCurrent;
  // The partitions that were read while others still are missing, and when the
  // first read began.
  std::vector<PartitionPages> m_read;
  TimePoint m_readBegun;
  bool m_reachable = true;
  std::atomic<Duration::rep> m_lastAnswer{ 0 };
  std::atomic<bool> m_stopping{ false };
  std::atomic<bool> m_finished{ false };
  std::thread m_thread;
};

} // namespace lycheestep

#endif
