// Tests what a leader does while the store answers its writes, but its reads
// and feeds late or not at all.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "boot_clock.h"
#include "job_host.h"
#include "job_rows.h"
#include "lycheestep/target_orders.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfigTable = "op";
constexpr const char* kTargetTable = "servers";
constexpr const char* kTarget = "t1";

// Longer than a cancelled job may be started.
constexpr Duration kCutTime = milliseconds(3500);

const JobId kFirst("5c0e7a21d94b36f8");
const JobId kSecond("6c0e7a21d94b36f8");

// A store in memory with a feed, which can be cut for one table. It may drop
// its history, and answer reads late with what it read before.
class FeedingStore : public RowStore
{
public:
  void SetCut(const std::string& aTable)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cut = aTable;
  }

  void DropHistory()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_forgotten = m_version;
    m_history.clear();
  }

  void SetReadDelay(Duration aDelay)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_readDelay = aDelay;
  }

  // Returns how long an unanswered feed call of the table lasted at most.
  Duration LongestFeedWait(const std::string& aTable)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_longestFeedWaits[aTable];
  }

  // Answers no write of a table until it is set to another one.
  void SetWriteCut(const std::string& aTable)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_writeCut = aTable;
    m_changed.notify_all();
  }

  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration aTimeout) override
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    const bool writable = m_changed.wait_for(
      lock, aTimeout, [&] { return !IsWriteCut(aTransaction); });
    if (!writable) {
      return RowAnswer();
    }
    RowAnswer answer = MakeAnswer();
    for (const RowCondition& condition : aTransaction.m_conditions) {
      const auto found = m_rows.find(condition.m_key);
      Row row = found != m_rows.end() ? found->second : Row();
      row.m_key = condition.m_key;
      if (row.m_version != condition.m_version) {
        answer.m_status = RowStatus::kConflict;
      }
      answer.m_rows.push_back(row);
    }
    if (answer.m_status == RowStatus::kConflict) {
      return answer;
    }
    answer.m_rows.clear();
    answer.m_version = ++m_version;
    for (const RowWrite& write : aTransaction.m_writes) {
      m_rows[write.m_key] = Row{ write.m_key, write.m_value, m_version, false };
      m_history.push_back(m_rows[write.m_key]);
    }
    for (const RowKey& key : aTransaction.m_removals) {
      if (m_rows.erase(key) > 0) {
        m_history.push_back(Row{ key, "", m_version, true });
      }
    }
    m_changed.notify_all();
    return answer;
  }

  RowAnswer Read(const RowRange& aRange, Duration /*aTimeout*/) override
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    RowAnswer answer = MakeAnswer();
    for (const auto& [key, row] : m_rows) {
      const bool inRange = key.m_table == aRange.m_table &&
                           key.m_partition == aRange.m_partition &&
                           !(key.m_key < aRange.m_first);
      if (inRange) {
        answer.m_rows.push_back(row);
      }
    }
    const Duration delay = m_readDelay;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    return answer;
  }

  RowAnswer Feed(const std::string& aTable,
                 std::uint64_t aVersion,
                 Duration aWait,
                 Duration aTimeout) override
  {
    const TimePoint begun = BootClockNow();
    std::unique_lock<std::mutex> lock(m_mutex);
    Duration& longest = m_longestFeedWaits[aTable];
    longest = std::max(longest, aWait + aTimeout);
    std::vector<Row> rows;
    m_changed.wait_for(lock, aWait, [&] {
      rows = ChangesAfter(aTable, aVersion);
      return m_cut != aTable && (!rows.empty() || aVersion < m_forgotten);
    });
    if (m_cut == aTable) {
      lock.unlock();
      std::this_thread::sleep_for(begun + aWait + aTimeout - BootClockNow());
      return RowAnswer();
    }
    RowAnswer answer = MakeAnswer();
    if (aVersion < m_forgotten) {
      answer.m_status = RowStatus::kHistoryLost;
      return answer;
    }
    answer.m_rows = std::move(rows);
    return answer;
  }

private:
  bool IsWriteCut(const RowTransaction& aTransaction) const
  {
    return std::any_of(aTransaction.m_writes.begin(),
                       aTransaction.m_writes.end(),
                       [this](const RowWrite& aWrite) {
                         return aWrite.m_key.m_table == m_writeCut;
                       });
  }

  RowAnswer MakeAnswer() const
  {
    RowAnswer answer;
    answer.m_status = RowStatus::kOk;
    answer.m_version = m_version;
    answer.m_storeClock = BootClockNow().time_since_epoch();
    return answer;
  }

  std::vector<Row> ChangesAfter(const std::string& aTable,
                                std::uint64_t aVersion) const
  {
    std::vector<Row> rows;
    for (const Row& row : m_history) {
      if (row.m_key.m_table == aTable && row.m_version > aVersion) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<RowKey, Row> m_rows;
  std::vector<Row> m_history;
  std::uint64_t m_version = 0;
  std::uint64_t m_forgotten = 0;
  Duration m_readDelay = Duration::zero();
  std::string m_cut;
  std::string m_writeCut;
  std::map<std::string, Duration> m_longestFeedWaits;
};

// A target with room for one task, which runs until EndAll.
class OneTaskTarget : public TargetOrders
{
public:
  bool HasStarted(const JobId& aJob) const { return StartsOf(aJob) > 0; }

  std::size_t StartsOf(const JobId& aJob) const
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::size_t>(
      std::count(m_started.begin(), m_started.end(), aJob));
  }

  void EndAll()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const RunningTask& task : m_running) {
      m_ended.push_back(
        EndedTask{ m_ended.size() + 1, task.m_run, RunEnd::kDone, "" });
    }
    m_running.clear();
  }

  OrderAnswer Start(const StartOrder& aOrder, Duration /*aTimeout*/) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_started.push_back(aOrder.m_run.m_task.m_step.m_job);
    RunningTask task;
    task.m_run = aOrder.m_run;
    m_running.push_back(task);
    return MakeAnswer();
  }

  OrderAnswer Stop(const StopOrder& /*aOrder*/, Duration /*aTimeout*/) override
  {
    return MakeAnswer();
  }

  OrderAnswer Pace(const PaceOrder& /*aOrder*/, Duration /*aTimeout*/) override
  {
    return MakeAnswer();
  }

  HoldAnswer Hold(const HoldOrder& aOrder, Duration /*aTimeout*/) override
  {
    std::this_thread::sleep_for(
      std::min<Duration>(aOrder.m_wait, milliseconds(50)));
    const std::lock_guard<std::mutex> lock(m_mutex);
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = Clock();
    answer.m_started = WallTime(1);
    answer.m_running = m_running;
    for (const EndedTask& end : m_ended) {
      if (end.m_number > aOrder.m_forgetEnds) {
        answer.m_ended.push_back(end);
      }
    }
    return answer;
  }

private:
  static TargetTime Clock()
  {
    return std::chrono::duration_cast<TargetTime>(
      BootClockNow().time_since_epoch());
  }

  static OrderAnswer MakeAnswer()
  {
    OrderAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = Clock();
    return answer;
  }

  mutable std::mutex m_mutex;
  std::vector<JobId> m_started;
  std::vector<RunningTask> m_running;
  std::vector<EndedTask> m_ended;
};

// Each row of the configuration stands for one queue, each row of the targets
// for one target with one core.
class OneQueueDocuments : public PlatformDocuments
{
public:
  static QueueConfig Queue()
  {
    QueueConfig queue;
    queue.m_name = QueueName("queue");
    queue.m_service = ServiceName("desk");
    return queue;
  }

  std::string ConfigTable() const override { return kConfigTable; }

  std::optional<ClusterConfig> ReadConfig(const Row& /*aRow*/) const override
  {
    ClusterConfig config;
    config.m_version = 1;
    config.m_queues.push_back(Queue());
    config.m_services.resize(1);
    config.m_services[0].m_name = Queue().m_service;
    return config;
  }

  std::string TargetTable() const override { return kTargetTable; }

  std::optional<TargetRecord> ReadTarget(const Row& aRow) const override
  {
    TargetRecord record;
    record.m_target = TargetId(aRow.m_key.m_key);
    record.m_service = Queue().m_service;
    record.m_address = NetworkAddress::ParseOrNone("10.0.0.1:1");
    record.m_capacity = Resources(1000, 1000, 0, 0, 0);
    return record;
  }
};

JobHostSettings MakeSettings()
{
  JobHostSettings settings;
  settings.m_host = "edge-1";
  settings.m_dataCentre = "hcm-a";
  settings.m_jobRetention = seconds(1);
  settings.m_peers = HostAddress{ "127.0.0.1", 0 };
  return settings;
}

// A leader with one target, a job that runs there and a job that waits.
class LeaderReadsTest : public testing::Test
{
protected:
  LeaderReadsTest()
    : m_host(MakeSettings(),
             HostDependencies{ m_store, m_orders, nullptr, m_documents })
  {
    RowTransaction platform;
    platform.m_writes = { RowWrite{ RowKey{ kConfigTable, "", "config" }, "" },
                          RowWrite{ RowKey{ kTargetTable, "", kTarget }, "" } };
    m_store.Transact(platform, seconds(1));
    EXPECT_TRUE(m_host.Start());
    Submit(kFirst);
    EXPECT_TRUE(WaitForStart(kFirst));
    Submit(kSecond);
  }

  void Submit(const JobId& aJob)
  {
    JobSpec spec;
    spec.m_payload = "plan";
    spec.m_steps.resize(1);
    spec.m_steps[0].m_count = 1;
    spec.m_steps[0].m_demand = Resources(1000, 100, 0, 0, 0);
    spec.m_steps[0].m_estimate = seconds(60);
    EXPECT_EQ(
      m_host.RequestHandler().Submit(aJob, OneQueueDocuments::Queue(), spec),
      JobRequestStatus::kOk);
  }

  bool WaitForStart(const JobId& aJob) const
  {
    for (int i = 0; i < 2000 && !m_orders.HasStarted(aJob); ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return m_orders.HasStarted(aJob);
  }

  bool WaitForState(const JobId& aJob, JobState aState)
  {
    for (int i = 0; i < 2000; ++i) {
      if (m_host.RequestHandler().State(aJob).m_state == aState) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  FeedingStore m_store;
  OneTaskTarget m_orders;
  OneQueueDocuments m_documents;
  JobHost m_host;
};

} // namespace

// Guards against a job that is started long after its cancellation, because the
// leader's feed is cut while its commits are stored.
TEST_F(LeaderReadsTest, NoJobStartsWhileCancellationsAreUnknown)
{
  m_store.SetCut(kCancelTable);
  EXPECT_EQ(m_host.RequestHandler().Cancel(kSecond), JobRequestStatus::kOk);
  std::this_thread::sleep_for(kCutTime);
  m_orders.EndAll();
  std::this_thread::sleep_for(seconds(2));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
  m_store.SetCut("");
  Submit(JobId("7c0e7a21d94b36f8"));
  EXPECT_TRUE(WaitForStart(JobId("7c0e7a21d94b36f8")));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
}

// Guards against a job that is started long after its cancellation, because the
// commit of its dispatch took long while the leader's feed was cut.
TEST_F(LeaderReadsTest, NoJobStartsAfterALongCommitWhileCancellationsAreUnknown)
{
  m_store.SetCut(kCancelTable);
  m_store.SetWriteCut(kProgressTable);
  EXPECT_EQ(m_host.RequestHandler().Cancel(kSecond), JobRequestStatus::kOk);
  m_orders.EndAll();
  std::this_thread::sleep_for(kCutTime);
  m_store.SetWriteCut("");
  std::this_thread::sleep_for(seconds(2));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
  m_store.SetCut("");
  Submit(JobId("7c0e7a21d94b36f8"));
  EXPECT_TRUE(WaitForStart(JobId("7c0e7a21d94b36f8")));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
}

// Guards against a cancelled run that goes on while the leader waits for the
// answer to a feed call that was lost: two such calls and the stop have to fit
// into 3.9 s.
TEST_F(LeaderReadsTest, TwoLostFeedCallsLeaveTimeForTheStop)
{
  constexpr Duration kStopTime = milliseconds(900);
  constexpr Duration kRetryDelay = milliseconds(100);
  const Duration call = m_store.LongestFeedWait(kCancelTable);
  EXPECT_GT(call, Duration::zero());
  EXPECT_LE(2 * (call + kRetryDelay) + kStopTime, milliseconds(3900));
}

// Guards against jobs that are started again after their rows were removed,
// because a read of the whole table shows them when they are forgotten.
TEST_F(LeaderReadsTest, RemovedJobsDoNotComeBackFromLateReads)
{
  EXPECT_EQ(m_host.RequestHandler().Cancel(kSecond), JobRequestStatus::kOk);
  EXPECT_TRUE(WaitForState(kSecond, JobState::kCancelled));
  m_store.SetReadDelay(milliseconds(300));
  m_orders.EndAll();
  for (int i = 0; i < 50; ++i) {
    m_store.DropHistory();
    std::this_thread::sleep_for(milliseconds(100));
  }
  EXPECT_EQ(m_orders.StartsOf(kFirst), 1U);
  EXPECT_EQ(m_orders.StartsOf(kSecond), 0U);
}

} // namespace lycheestep
