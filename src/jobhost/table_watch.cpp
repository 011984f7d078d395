#include "table_watch.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "boot_clock.h"
#include "event_log.h"
#include "page_size.h"
#include "worker_pool.h"

namespace lycheestep {

namespace {

// The store holds a feed call for up to kFeedWait until a row changes. A broken
// connection is detected after kFeedWait plus kCallTimeout.
constexpr Duration kFeedWait = std::chrono::milliseconds(1200);
constexpr Duration kCallTimeout = std::chrono::milliseconds(700);

// Delay between calls while the store does not reply.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

// The longest thread name that the kernel accepts.
constexpr std::size_t kThreadNameLength = 15;

} // namespace

TableWatch::TableWatch(std::string aTable,
                       std::vector<std::string> aPartitions,
                       Duration aBatchDelay,
                       RowStore& aStore,
                       EventLog& aLog,
                       OnRows aOnRows)
  : m_table(std::move(aTable))
  , m_partitions(std::move(aPartitions))
  , m_batchDelay(aBatchDelay)
  , m_store(aStore)
  , m_log(aLog)
  , m_onRows(std::move(aOnRows))
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
  while (!m_stopping) {
    if (ReadAll()) {
      Follow();
    } else {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  m_finished = true;
}

bool TableWatch::ReadAll()
{
  // The partitions are read in parallel, as the store may be slow to answer
  // each read.
  std::vector<PartitionRows> read(m_partitions.size());
  {
    WorkerPool pool("watch-read", std::max<std::size_t>(1, read.size() - 1));
    for (std::size_t i = 1; i < read.size(); ++i) {
      pool.Run([this, i, &read] { read[i] = ReadPartition(m_partitions[i]); });
    }
    read[0] = ReadPartition(m_partitions[0]);
    pool.Finish();
  }
  std::vector<Row> rows;
  m_version = read[0].m_version;
  for (const PartitionRows& partition : read) {
    RecordStoreStatus(partition.m_status);
    if (partition.m_status != RowStatus::kOk) {
      return false;
    }
    // The feed continues from the lowest version of the reads.
    m_version = std::min(m_version, partition.m_version);
    rows.insert(rows.end(), partition.m_rows.begin(), partition.m_rows.end());
  }
  if (!m_stopping) {
    m_onRows(rows, true);
  }
  return true;
}

TableWatch::PartitionRows TableWatch::ReadPartition(
  const std::string& aPartition) const
{
  PartitionRows read;
  RowRange range;
  range.m_table = m_table;
  range.m_partition = aPartition;
  PageSize size;
  RowAnswer answer;
  do {
    range.m_limit = size.Rows();
    const TimePoint sent = BootClockNow();
    answer = m_store.Read(range, kCallTimeout);
    read.m_status = answer.m_status;
    if (m_stopping) {
      return read;
    }
    if (answer.m_status == RowStatus::kUnknown && size.OnFailure()) {
      answer.m_more = true;
      continue;
    }
    if (answer.m_status != RowStatus::kOk) {
      return read;
    }
    size.OnAnswer(BootClockNow() - sent);
    if (read.m_rows.empty()) {
      read.m_version = answer.m_version;
    }
    if (!answer.m_rows.empty()) {
      range.m_first = answer.m_rows.back().m_key.m_key + '\x01';
    }
    read.m_rows.insert(
      read.m_rows.end(), answer.m_rows.begin(), answer.m_rows.end());
  } while (answer.m_more);
  return read;
}

void TableWatch::Follow()
{
  while (!m_stopping) {
    const RowAnswer answer =
      m_store.Feed(m_table, m_version, kFeedWait, kCallTimeout);
    RecordStoreStatus(answer.m_status);
    if (answer.m_status == RowStatus::kHistoryLost) {
      m_log.Write("feed-history-lost", "table=" + m_table);
      return;
    }
    if (answer.m_status != RowStatus::kOk) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    m_version = std::max(m_version, answer.m_version);
    if (!answer.m_rows.empty() && !m_stopping) {
      m_onRows(answer.m_rows, false);
      std::this_thread::sleep_for(m_batchDelay);
    }
  }
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
    m_log.Write(reachable ? "store-regained" : "store-lost",
                "watch=" + m_table);
  }
}

} // namespace lycheestep
