// Tests of what a watch reports when the store loses its history.
#include <chrono>
#include <condition_variable>
#include <deque>
#include <future>
#include <map>
#include <mutex>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "boot_clock.h"
#include "event_log.h"
#include "metrics_registry.h"
#include "table_watch.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;

RowAnswer MakeAnswer(RowStatus aStatus,
                     std::uint64_t aVersion,
                     std::vector<Row> aRows = {})
{
  RowAnswer answer;
  answer.m_status = aStatus;
  answer.m_version = aVersion;
  answer.m_rows = std::move(aRows);
  return answer;
}

Row MakeRow(const std::string& aKey,
            std::uint64_t aVersion,
            bool aRemoved = false)
{
  Row row;
  row.m_key.m_key = aKey;
  row.m_version = aVersion;
  row.m_removed = aRemoved;
  return row;
}

// A store that gives the answers of a script, and none when it is over.
class ScriptedStore : public RowStore
{
public:
  std::deque<RowAnswer> m_reads;
  std::deque<RowAnswer> m_feeds;

  // Waits until all answers were given and the last one was handled.
  void WaitForEnd()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, seconds(20), [this] { return m_isOver; });
    EXPECT_TRUE(m_isOver);
  }

  RowAnswer Transact(const RowTransaction& /*aTransaction*/,
                     Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  RowAnswer Read(const RowRange& /*aRange*/, Duration /*aTimeout*/) override
  {
    return Next(m_reads);
  }

  RowAnswer Feed(const std::string& /*aTable*/,
                 std::uint64_t /*aVersion*/,
                 Duration /*aWait*/,
                 Duration /*aTimeout*/) override
  {
    return Next(m_feeds);
  }

private:
  RowAnswer Next(std::deque<RowAnswer>& aAnswers)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (aAnswers.empty()) {
      m_isOver = true;
      m_changed.notify_all();
      return RowAnswer();
    }
    RowAnswer answer = std::move(aAnswers.front());
    aAnswers.pop_front();
    return answer;
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_isOver = false;
};

// Whether the reports of the time up to which the table is known are shown.
enum class CurrentReports
{
  kIgnored,
  kShown,
};

// Returns what a watch of the store reports, a text for each row.
std::vector<std::string> WatchUntilEnd(
  ScriptedStore& aStore,
  CurrentReports aCurrent = CurrentReports::kIgnored)
{
  MetricsRegistry metrics;
  EventLog log("test", metrics);
  std::vector<std::string> reported;
  {
    TableWatch watch(
      "jobs",
      { "" },
      TableWatch::Pace(),
      aStore,
      log,
      [&reported](const std::vector<Row>& aRows) {
        for (const Row& row : aRows) {
          reported.push_back((row.m_removed ? "-" : "") + row.m_key.m_key +
                             "@" + std::to_string(row.m_version));
        }
      },
      [aCurrent, &reported](TimePoint) {
        if (aCurrent == CurrentReports::kShown) {
          reported.emplace_back("current");
        }
      });
    aStore.WaitForEnd();
  }
  return reported;
}

// A store of which half of the partitions answer only each first, third and so
// on read, and the others only the reads between.
class HalfStore : public RowStore
{
public:
  RowAnswer Transact(const RowTransaction& /*aTransaction*/,
                     Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  RowAnswer Read(const RowRange& aRange, Duration /*aTimeout*/) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool isOdd = ++m_reads[aRange.m_partition] % 2 == 1;
    const bool answers = isOdd == (aRange.m_partition < "c");
    if (answers && m_firstAnswer == TimePoint()) {
      m_firstAnswer = BootClockNow();
    }
    return MakeAnswer(answers ? RowStatus::kOk : RowStatus::kRefused,
                      5,
                      { MakeRow("row-" + aRange.m_partition, 3) });
  }

  RowAnswer Feed(const std::string& /*aTable*/,
                 std::uint64_t /*aVersion*/,
                 Duration /*aWait*/,
                 Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  TimePoint FirstAnswer()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_firstAnswer;
  }

private:
  std::mutex m_mutex;
  std::map<std::string, int> m_reads;
  TimePoint m_firstAnswer;
};

} // namespace

// Guards against a job that is started again after its end, because the table
// is read again while the row is on its way to be removed.
TEST(TableWatch, LostHistoryReportsOnlyWhatDiffers)
{
  ScriptedStore store;
  store.m_reads = {
    MakeAnswer(RowStatus::kOk, 9, { MakeRow("a", 3), MakeRow("b", 4) }),
    MakeAnswer(RowStatus::kOk, 12, { MakeRow("a", 3), MakeRow("c", 11) })
  };
  store.m_feeds = { MakeAnswer(RowStatus::kHistoryLost, 12),
                    MakeAnswer(
                      RowStatus::kOk, 14, { MakeRow("a", 14, true) }) };
  EXPECT_THAT(WatchUntilEnd(store),
              testing::ElementsAre("a@3", "b@4", "-b@12", "c@11", "-a@14"));
}

// Guards against an older version that is reported after a newer one, since the
// feed goes on from the first page of a read.
TEST(TableWatch, FeedDoesNotRepeatWhatALaterPageShowed)
{
  ScriptedStore store;
  store.m_reads = { MakeAnswer(RowStatus::kOk, 5, { MakeRow("a", 3) }),
                    MakeAnswer(RowStatus::kOk, 9, { MakeRow("b", 8) }) };
  store.m_reads.front().m_more = true;
  store.m_feeds = { MakeAnswer(
    RowStatus::kOk,
    9,
    { MakeRow("b", 6), MakeRow("c", 7), MakeRow("b", 8), MakeRow("a", 9) }) };
  EXPECT_THAT(WatchUntilEnd(store), testing::ElementsAre("a@3", "b@8", "a@9"));
}

// Guards against a table that counts as known up to a time before the rows up
// to then were handled.
TEST(TableWatch, TableIsCurrentOnlyAfterItsRows)
{
  ScriptedStore store;
  store.m_reads = { MakeAnswer(RowStatus::kOk, 5, { MakeRow("a", 3) }) };
  store.m_feeds = { MakeAnswer(RowStatus::kOk, 9, { MakeRow("b", 8) }),
                    MakeAnswer(RowStatus::kOk, 9) };
  EXPECT_THAT(
    WatchUntilEnd(store, CurrentReports::kShown),
    testing::ElementsAre("a@3", "current", "b@8", "current", "current"));
}

// Guards against a leader that does not load while the store refuses a share of
// the reads, as one refused partition made it read all of them again.
TEST(TableWatch, PartitionsThatWereReadAreKeptWhileOthersAreRefused)
{
  HalfStore store;
  MetricsRegistry metrics;
  EventLog log("test", metrics);
  std::promise<std::vector<Row>> rows;
  std::promise<TimePoint> current;
  TableWatch watch(
    "jobs",
    { "a", "b", "c", "d" },
    TableWatch::Pace(),
    store,
    log,
    [&rows](std::vector<Row> aRows) { rows.set_value(std::move(aRows)); },
    [&current](TimePoint aAsOf) { current.set_value(aAsOf); });
  std::future<TimePoint> known = current.get_future();
  ASSERT_EQ(known.wait_for(seconds(5)), std::future_status::ready);
  EXPECT_EQ(rows.get_future().get().size(), 4U);
  // The partitions that were kept are known only up to their own reads.
  EXPECT_LE(known.get(), store.FirstAnswer());
}

} // namespace lycheestep
