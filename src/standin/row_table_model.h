#ifndef LYCHEESTEP_ROW_TABLE_MODEL_H
#define LYCHEESTEP_ROW_TABLE_MODEL_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lycheestep/row_store.h"

namespace lycheestep {

// The rows that a leader writes, without a network, and the limits of the store
// on one transaction.
class RowTableModel
{
public:
  // Sets the longest value that the store takes, in bytes.
  void SetRowBytes(std::size_t aBytes) { m_rowBytes = aBytes; }

  // Sets the most rows that the store takes in one transaction. Zero: as many
  // as any store takes.
  void SetTransactionRows(std::size_t aRows) { m_transactionRows = aRows; }

  // Applies a transaction together with the leader's own row. Returns false,
  // and changes nothing, if it is beyond a limit of the store.
  bool Apply(const std::vector<RowWrite>& aWrites,
             const std::vector<RowKey>& aRemovals,
             std::uint64_t aVersion);

  // Returns all rows of a table, or one row or null.
  std::vector<Row> Rows(const std::string& aTable) const;
  const Row* Find(const RowKey& aKey) const;

  // What all transactions took so far.
  std::size_t BytesWritten() const { return m_bytesWritten; }
  std::size_t RowsWritten() const { return m_rowsWritten; }

private:
  std::size_t m_rowBytes = kDefaultRowBytes;
  std::size_t m_transactionRows = 0;
  std::map<RowKey, Row> m_rows;
  std::size_t m_bytesWritten = 0;
  std::size_t m_rowsWritten = 0;
};

} // namespace lycheestep

#endif
