#include "table_watch.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "boot_clock.h"
#include "event_log.h"
#include "page_size.h"
#include "row_versions.h"
#include "worker_pool.h"

namespace lycheestep {

namespace {

// A broken connection is detected after this time, of a feed call after it and
// the time for which the store holds the call.
constexpr Duration kCallTimeout = std::chrono::milliseconds(700);

// Delay between calls while the store does not reply.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

// The longest thread name that the kernel accepts.
constexpr std::size_t kThreadNameLength = 15;

} // namespace

TableWatch::TableWatch(std::string aTable,
                       std::vector<std::string> aPartitions,
                       Pace aPace,
                       RowStore& aStore,
                       EventLog& aLog,
                       OnRows aOnRows,
                       OnCurrent aOnCurrent)
  : m_table(std::move(aTable))
  , m_partitions(std::move(aPartitions))
  , m_pace(aPace)
  , m_store(aStore)
  , m_log(aLog)
  , m_onRows(std::move(aOnRows))
  , m_onCurrent(std::move(aOnCurrent))
{
  m_thread = std::thread([this] { Run(); });
  const std::string name = "watch-" + m_table;
  pthread_setname_np(m_thread.native_handle(),
                     name.substr(0, kThreadNameLength).c_str());
}

TableWatch::~TableWatch()
{
  Stop();
  m_thread.join();
}

void TableWatch::Run()
{
  RowVersions versions(m_table);
  bool isFirst = true;
  while (!m_stopping) {
    if (ReadAll(isFirst, versions)) {
      isFirst = false;
      Follow(versions);
    } else {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  m_finished = true;
}

bool TableWatch::ReadAll(bool aIsFirst, RowVersions& aVersions)
{
  if (m_read.empty()) {
    m_read.resize(m_partitions.size());
    m_readBegun = BootClockNow();
  }
  std::vector<std::size_t> missing;
  for (std::size_t i = 0; i < m_read.size(); ++i) {
    if (m_read[i].m_status != RowStatus::kOk) {
      missing.push_back(i);
    }
  }
  ReadPartitions(missing);
  for (const std::size_t i : missing) {
    RecordStoreStatus(m_read[i].m_status);
    if (m_read[i].m_status != RowStatus::kOk) {
      return false;
    }
  }
  std::vector<RowPage> pages;
  for (PartitionPages& partition : m_read) {
    std::move(partition.m_pages.begin(),
              partition.m_pages.end(),
              std::back_inserter(pages));
  }
  m_read.clear();
  std::vector<Row> changes = aVersions.OnRead(std::move(pages));
  if (!m_stopping && (aIsFirst || !changes.empty())) {
    m_onRows(std::move(changes));
  }
  if (!m_stopping) {
    m_onCurrent(m_readBegun);
  }
  return true;
}

void TableWatch::ReadPartitions(const std::vector<std::size_t>& aIndices)
{
  // The partitions are read in parallel, as the store may be slow to answer
  // each read.
  const auto read = [this](std::size_t aIndex) {
    ReadPartition(m_partitions[aIndex], m_read[aIndex]);
  };
  WorkerPool pool("watch-read", std::max<std::size_t>(1, aIndices.size() - 1));
  for (std::size_t i = 1; i < aIndices.size(); ++i) {
    pool.Run([&read, index = aIndices[i]] { read(index); });
  }
  read(aIndices.front());
  pool.Finish();
}

void TableWatch::ReadPartition(const std::string& aPartition,
                               PartitionPages& aRead) const
{
  RowRange range;
  range.m_table = m_table;
  range.m_partition = aPartition;
  range.m_first = aRead.m_next;
  PageSize size;
  RowAnswer answer;
  do {
    range.m_limit = size.Rows();
    const TimePoint sent = BootClockNow();
    answer = m_store.Read(range, kCallTimeout);
    aRead.m_status = answer.m_status;
    if (m_stopping) {
      return;
    }
    if (answer.m_status == RowStatus::kUnknown && size.OnFailure()) {
      answer.m_more = true;
      continue;
    }
    if (answer.m_status != RowStatus::kOk) {
      return; // the next call goes on at this page
    }
    size.OnAnswer(BootClockNow() - sent);
    RowPage page;
    page.m_partition = aPartition;
    page.m_first = range.m_first;
    page.m_version = answer.m_version;
    if (!answer.m_rows.empty()) {
      range.m_first = answer.m_rows.back().m_key.m_key + '\x01';
    }
    if (answer.m_more) {
      page.m_end = range.m_first;
    }
    page.m_rows = std::move(answer.m_rows);
    aRead.m_pages.push_back(std::move(page));
    aRead.m_next = range.m_first;
  } while (answer.m_more);
}

void TableWatch::Follow(RowVersions& aVersions)
{
  while (!m_stopping) {
    const TimePoint sent = BootClockNow();
    RowAnswer answer = m_store.Feed(
      m_table, aVersions.Position(), m_pace.m_feedWait, kCallTimeout);
    RecordStoreStatus(answer.m_status);
    if (answer.m_status == RowStatus::kHistoryLost) {
      m_log.Write("feed-history-lost", "table=" + m_table);
      return;
    }
    if (answer.m_status != RowStatus::kOk) {
      ReportUnanswered(BootClockNow() - sent, aVersions.Position());
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    // An answer may be late. One without rows was made after the whole wait.
    const bool waited =
      answer.m_rows.empty() && BootClockNow() - sent >= m_pace.m_feedWait;
    std::vector<Row> changes =
      aVersions.OnFeed(std::move(answer.m_rows), answer.m_version);
    const bool report = !changes.empty() && !m_stopping;
    if (report) {
      m_onRows(std::move(changes));
    }
    if (!m_stopping) {
      m_onCurrent(waited ? sent + m_pace.m_feedWait : sent);
    }
    if (report) {
      std::this_thread::sleep_for(m_pace.m_batchDelay);
    }
  }
}

void TableWatch::ReportUnanswered(Duration aHeld, std::uint64_t aPosition)
{
  if (aHeld < m_pace.m_feedWait) {
    return;
  }
  m_log.WriteNotable("feed-unanswered",
                     "table=" + m_table +
                       " held_ms=" + std::to_string(ToMilliseconds(aHeld)) +
                       " position=" + std::to_string(aPosition));
}

void TableWatch::RecordStoreStatus(RowStatus aStatus)
{
  const bool reachable =
    aStatus == RowStatus::kOk || aStatus == RowStatus::kHistoryLost;
  if (reachable) {
    m_lastAnswer = BootClockNow().time_since_epoch().count();
  }
  if (reachable != m_reachable) {
    m_reachable = reachable;
    m_log.WriteUnlimited(reachable ? "store-regained" : "store-lost",
                         "watch=" + m_table);
  }
}

} // namespace lycheestep
