#include "cancellation_checks.h"

namespace lycheestep {

namespace {

// The most reads of one row at a time. A read ends 0.6 s after it was sent, and
// notices come each 0.25 s.
constexpr std::size_t kMaxReadsOfRow = 3;

// The most reads at a time.
constexpr std::size_t kMaxReads = 64;

} // namespace

CancellationStep CancellationChecks::OnNotice(const JobId& aJob, bool aIsOver)
{
  if (aIsOver) {
    return CancellationStep::kConfirm;
  }
  const auto found = m_readsOfRow.find(aJob);
  const std::size_t reads = found != m_readsOfRow.end() ? found->second : 0;
  if (reads >= kMaxReadsOfRow || m_reads >= kMaxReads) {
    return CancellationStep::kWait;
  }
  m_readsOfRow[aJob] = reads + 1;
  ++m_reads;
  return CancellationStep::kRead;
}

void CancellationChecks::OnReadEnded(const JobId& aJob)
{
  const auto found = m_readsOfRow.find(aJob);
  if (found == m_readsOfRow.end()) {
    return;
  }
  --m_reads;
  if (--found->second == 0) {
    m_readsOfRow.erase(found);
  }
}

} // namespace lycheestep
