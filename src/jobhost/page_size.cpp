#include "page_size.h"

#include <algorithm>
#include <chrono>

namespace lycheestep {

namespace {

// The fewest and the most rows of a read. The store answers no more than the
// upper limit.
constexpr std::size_t kMinRows = 8;
constexpr std::size_t kMaxRows = 500;

// A read that is answered sooner doubles the number of rows, one that is
// answered later halves it. The times are short against the time between
// renewals after which a leader counts as silent.
constexpr Duration kQuickRead = std::chrono::milliseconds(100);
constexpr Duration kSlowRead = std::chrono::milliseconds(300);

// Reads without answer in a row after which the store counts as unreachable.
constexpr int kMaxFailures = 3;

} // namespace

void PageSize::OnAnswer(Duration aLatency)
{
  m_failures = 0;
  if (aLatency < kQuickRead) {
    m_rows = std::min(m_rows * 2, kMaxRows);
  } else if (aLatency > kSlowRead) {
    m_rows = std::max(m_rows / 2, kMinRows);
  }
}

bool PageSize::OnFailure()
{
  m_rows = std::max(m_rows / 2, kMinRows);
  return ++m_failures < kMaxFailures;
}

} // namespace lycheestep
