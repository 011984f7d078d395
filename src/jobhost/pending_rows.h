#ifndef LYCHEESTEP_PENDING_ROWS_H
#define LYCHEESTEP_PENDING_ROWS_H

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "job_scheduler.h"
#include "lycheestep/row_store.h"

namespace lycheestep {

// The most rows that hold counts of pending jobs.
constexpr std::size_t kMaxPendingRows = 12;

// Returns the key of one of the rows, counted from zero.
RowKey PendingRowKey(std::size_t aNumber);

// Returns the number of the row that holds the queue's count, if there are
// aRowCount rows.
std::size_t PendingRowOf(const QueueName& aQueue, std::size_t aRowCount);

// Returns the rows that hold the counts, as few as hold them with values of at
// most aMaxValueBytes. aRenewed is the leader's estimate of the store's clock.
// Returns no rows if kMaxPendingRows are not enough.
std::vector<RowWrite> EncodePendingRows(const PendingCounts& aCounts,
                                        Duration aRenewed,
                                        std::size_t aMaxValueBytes);

// The count of one queue, as read from one of the rows.
struct StoredPendingCount
{
  std::uint32_t m_pending = 0;
  // The leader's estimate of the store's clock when it wrote the row.
  Duration m_renewed = Duration::zero();
};

// Returns nothing if the bytes do not parse.
std::optional<StoredPendingCount> DecodePendingRow(const QueueName& aQueue,
                                                   const std::string& aBytes);

} // namespace lycheestep

#endif
