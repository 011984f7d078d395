#ifndef LYCHEESTEP_ROW_STORE_H
#define LYCHEESTEP_ROW_STORE_H

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Names one row. Rows of one table and partition are in the order of their
// keys; a transaction over rows of one partition is the cheapest.
struct RowKey
{
  std::string m_table;
  std::string m_partition;
  std::string m_key;

  friend bool operator<(const RowKey& aLeft, const RowKey& aRight)
  {
    return std::tie(aLeft.m_table, aLeft.m_partition, aLeft.m_key) <
           std::tie(aRight.m_table, aRight.m_partition, aRight.m_key);
  }
};

// One row. The store's versions come from a single counter, so a row that is
// written again never comes back to an earlier version.
struct Row
{
  RowKey m_key;
  std::string m_value;
  // Zero for a row that does not exist.
  std::uint64_t m_version = 0;
  // Set in feeds only: the row was removed at m_version.
  bool m_removed = false;
};

// The transaction applies only if the row is at this version; zero means that
// the row must not exist.
struct RowCondition
{
  RowKey m_key;
  std::uint64_t m_version = 0;
};

// Writes one row.
struct RowWrite
{
  RowKey m_key;
  std::string m_value;
};

// Everything in it applies, or nothing does.
struct RowTransaction
{
  std::vector<RowCondition> m_conditions;
  std::vector<RowWrite> m_writes;
  std::vector<RowKey> m_removals;
};

// Entries of all three kinds that one transaction may hold.
constexpr std::size_t kRowTransactionLimit = 100;

// The most bytes of a row's key.
constexpr std::size_t kRowKeyLimit = 200;

// The longest value of a row in bytes, unless the settings name another limit.
constexpr std::size_t kDefaultRowBytes = 65536;

// Returns the longest value that may be written to a store with the limit
// aRowBytes. Values are sent in base64, which takes four bytes for three, and
// the limit may count either.
constexpr std::size_t MaxValueBytes(std::size_t aRowBytes)
{
  return aRowBytes / 4 * 3;
}

// Rows of one partition from m_first on, in the order of their keys.
struct RowRange
{
  std::string m_table;
  std::string m_partition;
  std::string m_first;
  // Zero: as many as the store gives at once.
  std::size_t m_limit = 0;
};

// How a call to the store ended.
enum class RowStatus
{
  kOk,          // committed, or read
  kConflict,    // a condition failed; m_rows holds the rows as they are
  kRefused,     // the store turned the call away: nothing was done
  kUnknown,     // no answer: a write may have taken effect, or may yet
  kHistoryLost, // a feed has to start anew from a read of the table
  kInvalid,     // the store never takes this call: nothing was done
};

// The store's answer.
struct RowAnswer
{
  RowStatus m_status = RowStatus::kUnknown;
  std::vector<Row> m_rows;
  // The store's newest version when it answered; after a commit, the version
  // of all rows that were written.
  std::uint64_t m_version = 0;
  // The store's own steady clock, the same for all hosts.
  Duration m_storeClock = Duration::zero();
  // A read has further rows.
  bool m_more = false;
};

// The platform's transactional rows. Every call waits for its answer, for at
// most aTimeout; safe from any thread.
class RowStore
{
public:
  virtual ~RowStore() = default;

  virtual RowAnswer Transact(const RowTransaction& aTransaction,
                             Duration aTimeout) = 0;

  virtual RowAnswer Read(const RowRange& aRange, Duration aTimeout) = 0;

  // The rows of all partitions of aTable that changed after aVersion, in the
  // order of the changes. Waits up to aWait for the first one.
  virtual RowAnswer Feed(const std::string& aTable,
                         std::uint64_t aVersion,
                         Duration aWait,
                         Duration aTimeout) = 0;
};

} // namespace lycheestep

#endif
