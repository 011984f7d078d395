// Tests a watch whose store refuses some pages of a long read.
#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "event_log.h"
#include "metrics_registry.h"
#include "table_watch.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;

RowAnswer MakeAnswer(RowStatus aStatus, std::vector<Row> aRows = {})
{
  RowAnswer answer;
  answer.m_status = aStatus;
  answer.m_version = 5;
  answer.m_rows = std::move(aRows);
  return answer;
}

// A store whose reads are answered with one row each, of which it refuses each
// second one.
class PagedStore : public RowStore
{
public:
  static constexpr int kPages = 4;

  RowAnswer Transact(const RowTransaction& /*aTransaction*/,
                     Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  RowAnswer Read(const RowRange& aRange, Duration /*aTimeout*/) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (++m_reads % 2 == 0) {
      return MakeAnswer(RowStatus::kRefused);
    }
    int page = 0;
    while (page < kPages - 1 && KeyOf(page) < aRange.m_first) {
      ++page;
    }
    Row row;
    row.m_key.m_key = KeyOf(page);
    row.m_version = 3;
    RowAnswer answer = MakeAnswer(RowStatus::kOk, { row });
    answer.m_more = page + 1 < kPages;
    return answer;
  }

  RowAnswer Feed(const std::string& /*aTable*/,
                 std::uint64_t /*aVersion*/,
                 Duration /*aWait*/,
                 Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

private:
  static std::string KeyOf(int aPage)
  {
    return std::string(1, static_cast<char>('a' + aPage));
  }

  std::mutex m_mutex;
  int m_reads = 0;
};

} // namespace

// Guards against a leader that does not load while the store refuses a share of
// the reads, as one refused page makes it read its whole partition again.
TEST(RefusedPage, PagesThatWereReadAreKeptWhileOthersAreRefused)
{
  PagedStore store;
  MetricsRegistry metrics;
  EventLog log("test", metrics);
  std::promise<std::vector<Row>> rows;
  TableWatch watch(
    "jobs",
    { "a" },
    TableWatch::Pace(),
    store,
    log,
    [&](std::vector<Row> aRows) { rows.set_value(std::move(aRows)); });
  std::future<std::vector<Row>> read = rows.get_future();
  ASSERT_EQ(read.wait_for(seconds(5)), std::future_status::ready);
  EXPECT_EQ(read.get().size(), std::size_t{ PagedStore::kPages });
}

} // namespace lycheestep
