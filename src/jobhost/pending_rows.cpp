#include "pending_rows.h"

#include <chrono>

#include <xxhash.h>

#include "job_rows.h"
#include "jobs.pb.h"

namespace lycheestep {

namespace {

constexpr const char* kPendingKeyPrefix = "pending/";

// Returns the values of aRowCount rows, or nothing if one of them is too long.
std::optional<std::vector<std::string>> EncodeInto(std::size_t aRowCount,
                                                   const PendingCounts& aCounts,
                                                   Duration aRenewed,
                                                   std::size_t aMaxValueBytes)
{
  std::vector<proto::PendingCountsRow> rows(aRowCount);
  for (const auto& [queue, pending] : aCounts) {
    proto::QueuePending* entry =
      rows[PendingRowOf(queue, aRowCount)].add_pending();
    entry->set_queue(queue.Text());
    entry->set_pending(pending);
  }
  std::vector<std::string> values;
  for (proto::PendingCountsRow& row : rows) {
    row.set_renewed_ms(static_cast<std::uint64_t>(ToMilliseconds(aRenewed)));
    if (row.ByteSizeLong() > aMaxValueBytes) {
      return std::nullopt;
    }
    values.push_back(row.SerializeAsString());
  }
  return values;
}

} // namespace

RowKey PendingRowKey(std::size_t aNumber)
{
  RowKey key = LeaderKey();
  key.m_key = kPendingKeyPrefix + std::to_string(aNumber);
  return key;
}

std::size_t PendingRowOf(const QueueName& aQueue, std::size_t aRowCount)
{
  const std::string& text = aQueue.Text();
  return XXH32(text.data(), text.size(), 0) % aRowCount;
}

std::vector<RowWrite> EncodePendingRows(const PendingCounts& aCounts,
                                        Duration aRenewed,
                                        std::size_t aMaxValueBytes)
{
  for (std::size_t count = 1; count <= kMaxPendingRows; ++count) {
    const auto values = EncodeInto(count, aCounts, aRenewed, aMaxValueBytes);
    if (!values) {
      continue;
    }
    std::vector<RowWrite> rows;
    for (const std::string& value : *values) {
      rows.push_back(RowWrite{ PendingRowKey(rows.size()), value });
    }
    return rows;
  }
  return {};
}

std::optional<StoredPendingCount> DecodePendingRow(const QueueName& aQueue,
                                                   const std::string& aBytes)
{
  proto::PendingCountsRow row;
  if (!row.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  StoredPendingCount count;
  count.m_renewed = std::chrono::milliseconds(row.renewed_ms());
  for (const proto::QueuePending& entry : row.pending()) {
    if (entry.queue() == aQueue.Text()) {
      count.m_pending = entry.pending();
    }
  }
  return count;
}

} // namespace lycheestep
