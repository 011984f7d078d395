#ifndef LYCHEESTEP_TABLE_MODEL_H
#define LYCHEESTEP_TABLE_MODEL_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lycheestep/table.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Faults of the table service. The wrapper that carries calls to the model
// applies them; the model itself always works.
struct TableFaults
{
  // No call reaches the table.
  bool m_down = false;
  // Calls take effect and their replies are lost.
  bool m_loseReplies = false;
  // Added to the time of every call.
  Duration m_delay = Duration::zero();
};

// What the table has done so far.
struct TableCounts
{
  std::uint64_t m_transactions = 0;
  std::uint64_t m_conflicts = 0;
  std::uint64_t m_rowsWritten = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_rowsRead = 0;
  // Keys and values that went in and out.
  std::uint64_t m_bytesIn = 0;
  std::uint64_t m_bytesOut = 0;
};

// One write that took effect.
struct TableHistoryEntry
{
  TimePoint m_time;
  std::string m_key;
  std::string m_value;
  // Zero when the row was removed.
  std::uint64_t m_version = 0;
};

// The platform's transactional table in memory. A passive state machine: the
// caller passes the time, and nothing happens between calls.
class TableModel
{
public:
  // Applies all writes if every condition holds. The answer's status is kOk
  // or kConflict; losing it is the caller's business.
  TableAnswer Transact(const TableTransaction& aTransaction, TimePoint aNow);

  // Reads keys and prefixes. An absent key comes back with version zero and
  // no value; the rows of a prefix come in the order of their keys.
  TableAnswer Read(const TableQuery& aQuery);

  // Keeps a history of the rows whose key begins with this; an empty prefix
  // keeps everything. Without a call no history is kept.
  void KeepHistoryOf(std::string aPrefix);

  const TableCounts& Counts() const { return m_counts; }

  // In the order in which the writes took effect.
  const std::vector<TableHistoryEntry>& History() const { return m_history; }

  // All rows, by key.
  const std::map<std::string, TableRow>& Rows() const { return m_rows; }

private:
  bool Holds(const TableCondition& aCondition) const;
  TableRow RowAt(const std::string& aKey) const;
  TableRow Apply(const TableWrite& aWrite, TimePoint aNow);
  void Remember(const TableWrite& aWrite,
                std::uint64_t aVersion,
                TimePoint aNow);
  void CountOut(const TableAnswer& aAnswer);

  std::map<std::string, TableRow> m_rows;
  // One counter for all rows, so that a row that was removed and written
  // again never comes back to an earlier version.
  std::uint64_t m_lastVersion = 0;
  TableCounts m_counts;
  std::vector<std::string> m_historyPrefixes;
  std::vector<TableHistoryEntry> m_history;
};

} // namespace lycheestep

#endif
