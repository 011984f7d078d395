#include "row_table_model.h"

namespace lycheestep {

namespace {

// The leader's row is in each transaction twice: as a condition and a write.
constexpr std::size_t kLeaderEntries = 2;

// The most bytes of one call, and what an entry takes besides its value.
constexpr std::size_t kCallBytes = 1000000;
constexpr std::size_t kEntryBytes = 300;

// Values are sent in base64, which makes four bytes of three.
std::size_t EncodedBytes(const std::string& aValue)
{
  return (aValue.size() + 2) / 3 * 4;
}

} // namespace

bool RowTableModel::Apply(const std::vector<RowWrite>& aWrites,
                          const std::vector<RowKey>& aRemovals,
                          std::uint64_t aVersion)
{
  const std::size_t entries =
    aWrites.size() + aRemovals.size() + kLeaderEntries;
  std::size_t bytes = entries * kEntryBytes;
  bool valid = entries <= kRowTransactionLimit;
  if (m_transactionRows > 0) {
    valid = valid && aWrites.size() + aRemovals.size() <= m_transactionRows;
  }
  for (const RowWrite& write : aWrites) {
    bytes += EncodedBytes(write.m_value);
    valid = valid && EncodedBytes(write.m_value) <= m_rowBytes &&
            write.m_key.m_key.size() <= kRowKeyLimit;
  }
  if (!valid || bytes > kCallBytes) {
    return false;
  }
  for (const RowWrite& write : aWrites) {
    m_rows[write.m_key] = Row{ write.m_key, write.m_value, aVersion, false };
    m_bytesWritten += write.m_value.size();
  }
  m_rowsWritten += aWrites.size();
  for (const RowKey& key : aRemovals) {
    m_rows.erase(key);
  }
  return true;
}

std::vector<Row> RowTableModel::Rows(const std::string& aTable) const
{
  std::vector<Row> rows;
  for (const auto& [key, row] : m_rows) {
    if (key.m_table == aTable) {
      rows.push_back(row);
    }
  }
  return rows;
}

const Row* RowTableModel::Find(const RowKey& aKey) const
{
  const auto found = m_rows.find(aKey);
  return found != m_rows.end() ? &found->second : nullptr;
}

} // namespace lycheestep
