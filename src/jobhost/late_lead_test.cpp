// Tests of a leader whose writes get no answer, are done late, or are answered
// with a version that is newer than its row's.
#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include "boot_clock.h"
#include "commit_writer.h"
#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "row_store_model.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What becomes of a write.
enum class Fate
{
  kAnswered,
  // Done, or refused, without an answer.
  kUnanswered,
  // Not answered, and not done, until LetGo.
  kHeld,
  // Not answered, and done with kAfterLateWrites of a later write.
  kLate,
  // Not answered, and done after all late writes.
  kAfterLateWrites,
  // Answered after a write of another table was done.
  kAnsweredWithNewerVersion,
};

// A store whose next writes have the given fates; later ones are answered.
class FatefulStore : public RowStore
{
public:
  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration aTimeout) override
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    const Fate fate = TakeFate();
    if (fate == Fate::kHeld) {
      m_letGo.wait(lock, [this] { return m_holdsNone; });
      return RowAnswer();
    }
    if (fate == Fate::kLate) {
      m_model.DelayWrites(1);
    }
    if (fate == Fate::kAfterLateWrites) {
      m_model.DoLateWrites();
    }
    RowAnswer answer = m_model.Transact(aTransaction, aTimeout);
    if (fate == Fate::kAnsweredWithNewerVersion) {
      RowTransaction other;
      other.m_writes.push_back(RowWrite{ HostKey("other"), "" });
      answer.m_version = m_model.Transact(other, aTimeout).m_version;
    }
    const bool answered =
      fate == Fate::kAnswered || fate == Fate::kAnsweredWithNewerVersion;
    return answered ? answer : RowAnswer();
  }

  RowAnswer Read(const RowRange& aRange, Duration aTimeout) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_model.Read(aRange, aTimeout);
  }

  RowAnswer Feed(const std::string& /*aTable*/,
                 std::uint64_t /*aVersion*/,
                 Duration /*aWait*/,
                 Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  void SetFates(std::deque<Fate> aFates)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fates = std::move(aFates);
  }

  void LetGo()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_holdsNone = true;
    m_letGo.notify_all();
  }

  Row LeaderRowNow()
  {
    RowRange range;
    range.m_table = LeaderKey().m_table;
    range.m_first = LeaderKey().m_key;
    range.m_limit = 1;
    const RowAnswer answer = Read(range, Duration::zero());
    return answer.m_rows.empty() ? Row() : answer.m_rows.front();
  }

  bool Has(const RowKey& aKey)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_model.Has(aKey);
  }

private:
  Fate TakeFate()
  {
    if (m_fates.empty()) {
      return Fate::kAnswered;
    }
    const Fate fate = m_fates.front();
    m_fates.pop_front();
    return fate;
  }

  std::mutex m_mutex;
  RowStoreModel m_model;
  std::deque<Fate> m_fates;
  std::condition_variable m_letGo;
  bool m_holdsNone = false;
};

class LateLeadTest : public testing::Test
{
protected:
  LateLeadTest()
    : m_log("test", m_metrics)
    , m_begun(BootClockNow())
    , m_writer(
        LeaderIdentity{ "a", 11, seconds(8), seconds(4) },
        m_store,
        m_log,
        m_metrics,
        [this](std::uint64_t aTerm,
               std::uint64_t /*aVersion*/,
               Duration /*aStoreClock*/) {
          const std::lock_guard<std::mutex> lock(m_reportMutex);
          m_reportedTerms.push_back(aTerm);
          m_committed.set_value();
          m_committed = std::promise<void>();
        },
        [](std::uint64_t /*aTerm*/) {},
        [](std::uint64_t /*aTerm*/) {})
  {
  }

  ~LateLeadTest() override { m_store.LetGo(); }

  // Tries to take the lead over the row that the store has now.
  bool TakeLead()
  {
    LeadClaim claim;
    claim.m_version = m_store.LeaderRowNow().m_version;
    claim.m_clockAt = BootClockNow();
    claim.m_storeClock = kStoreStart + (claim.m_clockAt - m_begun);
    return m_writer.AcquireLeadership(claim);
  }

  proto::LeaderRow LeaderRow()
  {
    proto::LeaderRow row;
    row.ParseFromString(m_store.LeaderRowNow().m_value);
    return row;
  }

  // Tries until it succeeds, five times at most.
  bool TakeLeadInTheEnd()
  {
    bool leads = TakeLead();
    for (int i = 1; i < 5 && !leads; ++i) {
      leads = TakeLead();
    }
    return leads;
  }

  // Returns by how much the leader counts its renewal as later than the row in
  // the store does.
  Duration RenewalAheadOfRow()
  {
    const Duration renewed =
      m_writer.OrdersValidUntil() - m_writer.OrderValidity() - m_begun;
    return kStoreStart + renewed - milliseconds(LeaderRow().renewed_ms());
  }

  static constexpr Duration kStoreStart = seconds(100);

  MetricsRegistry m_metrics;
  EventLog m_log;
  FatefulStore m_store;
  const TimePoint m_begun;
  // Guards what reports change. They come on two threads.
  std::mutex m_reportMutex;
  std::promise<void> m_committed;
  std::vector<std::uint64_t> m_reportedTerms;
  CommitWriter m_writer;
};

} // namespace

// Guards against a leader that sends orders for longer than its row says, so
// that the next one takes its leases to be over too early.
TEST_F(LateLeadTest, RowOfAnEarlierAttemptIsNoProofOfTheLead)
{
  m_store.SetFates({ Fate::kLate, Fate::kLate, Fate::kAfterLateWrites });
  EXPECT_FALSE(TakeLead());
  std::this_thread::sleep_for(milliseconds(300));
  ASSERT_TRUE(TakeLeadInTheEnd());
  EXPECT_LT(RenewalAheadOfRow(), milliseconds(100));
}

// Guards against a leader whose row says that it has given up the lead.
TEST_F(LateLeadTest, LateReleaseIsNoProofOfTheLead)
{
  ASSERT_TRUE(TakeLead());
  m_store.SetFates({ Fate::kLate, Fate::kAfterLateWrites });
  m_writer.ReleaseLeadership(milliseconds(30));
  ASSERT_TRUE(TakeLeadInTheEnd());
  EXPECT_FALSE(LeaderRow().released());
}

// Guards against a start whose commit was never stored, as its refusal was lost
// and the row was taken for one that the commit had written.
TEST_F(LateLeadTest, CommitUnderANewerVersionIsStoredBeforeItIsReported)
{
  m_store.SetFates({ Fate::kAnsweredWithNewerVersion, Fate::kUnanswered });
  ASSERT_TRUE(TakeLead());
  std::future<void> committed = m_committed.get_future();
  const RowKey key = ProgressKey(JobId("job"));
  m_writer.Commit({ RowWrite{ key, "half" } }, {});
  ASSERT_EQ(committed.wait_for(seconds(5)), std::future_status::ready);
  EXPECT_TRUE(m_store.Has(key));
}

// Guards against a leader that never renews, since the last write of its former
// term ended the present one.
TEST_F(LateLeadTest, WriteOfAFormerTermDoesNotEndThisOne)
{
  ASSERT_TRUE(TakeLead());
  m_store.SetFates({ Fate::kHeld });
  m_writer.ReleaseLeadership(milliseconds(100));
  ASSERT_TRUE(TakeLead());
  const std::uint64_t version = m_store.LeaderRowNow().m_version;
  m_store.LetGo();
  std::this_thread::sleep_for(seconds(1));
  EXPECT_GT(m_store.LeaderRowNow().m_version, version);
}

// Guards against a report of a former term that is taken for one of this term,
// so that starts leave which are not stored.
TEST_F(LateLeadTest, ReportsNameTheTermThatTheyAreOf)
{
  ASSERT_TRUE(TakeLead());
  std::future<void> committed = m_committed.get_future();
  m_writer.Commit({ RowWrite{ ProgressKey(JobId("job")), "half" } }, {});
  ASSERT_EQ(committed.wait_for(seconds(5)), std::future_status::ready);
  m_writer.StopWithoutRelease();
  ASSERT_TRUE(TakeLead());
  const std::lock_guard<std::mutex> lock(m_reportMutex);
  EXPECT_EQ(m_reportedTerms, (std::vector<std::uint64_t>{ 1, 1, 2 }));
  EXPECT_EQ(m_writer.Term(), 2U);
}

// Guards against rows that a leader decided on before others led.
TEST_F(LateLeadTest, CommitOfAFormerTermIsNotWrittenInThisOne)
{
  ASSERT_TRUE(TakeLead());
  m_store.SetFates({ Fate::kHeld });
  const RowKey key = ProgressKey(JobId("job"));
  m_writer.Commit({ RowWrite{ key, "half" } }, {});
  std::this_thread::sleep_for(milliseconds(100));
  m_store.LetGo();
  std::this_thread::sleep_for(milliseconds(20));
  m_writer.StopWithoutRelease();
  ASSERT_TRUE(TakeLead());
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_FALSE(m_store.Has(key));
}

} // namespace lycheestep
