#include "commit_writer.h"

#include "boot_clock.h"

#include <algorithm>
#include <future>
#include <optional>

#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "mock_row_store.h"
#include "pending_rows.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store that holds the leader row only and checks the condition on its
// version.
class LeaderRowStore : public RowStore
{
public:
  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration /*aTimeout*/) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    RowAnswer answer;
    if (m_losesNext) {
      // The write takes effect, and the reply is lost.
      m_losesNext = false;
      Apply(aTransaction);
      return answer;
    }
    if (m_invalidKey && Contains(aTransaction, *m_invalidKey)) {
      answer.m_status = RowStatus::kInvalid;
      return answer;
    }
    if (aTransaction.m_conditions.front().m_version != m_version) {
      answer.m_status = RowStatus::kConflict;
      Row row;
      row.m_key = LeaderKey();
      row.m_value = m_row;
      row.m_version = m_version;
      answer.m_rows.push_back(row);
      return answer;
    }
    Apply(aTransaction);
    answer.m_status = RowStatus::kOk;
    answer.m_version = m_version;
    return answer;
  }

  RowAnswer Read(const RowRange& /*aRange*/, Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  RowAnswer Feed(const std::string& /*aTable*/,
                 std::uint64_t /*aVersion*/,
                 Duration /*aWait*/,
                 Duration /*aTimeout*/) override
  {
    return RowAnswer();
  }

  void LoseNextAnswer()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_losesNext = true;
  }

  // Takes no transaction that writes the key.
  void RefuseForGood(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_invalidKey = aKey;
  }

  std::uint64_t Version()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_version;
  }

  // Overwrites the leader row as another host would.
  void WriteAsOtherHost()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    proto::LeaderRow row;
    row.set_host("other");
    m_row = row.SerializeAsString();
    ++m_version;
  }

  proto::LeaderRow LeaderRow()
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    proto::LeaderRow row;
    row.ParseFromString(m_row);
    return row;
  }

  std::size_t WritesOf(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_writes[aKey];
  }

  std::size_t RemovalsOf(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_removals[aKey];
  }

private:
  static bool Contains(const RowTransaction& aTransaction,
                       const std::string& aKey)
  {
    return std::any_of(
      aTransaction.m_writes.begin(),
      aTransaction.m_writes.end(),
      [&](const RowWrite& aWrite) { return aWrite.m_key.m_key == aKey; });
  }

  void Apply(const RowTransaction& aTransaction)
  {
    ++m_version;
    for (const RowWrite& write : aTransaction.m_writes) {
      ++m_writes[write.m_key.m_key];
      if (write.m_key.m_key == LeaderKey().m_key) {
        m_row = write.m_value;
      }
    }
    for (const RowKey& key : aTransaction.m_removals) {
      ++m_removals[key.m_key];
    }
  }

  std::mutex m_mutex;
  std::uint64_t m_version = 0;
  std::string m_row;
  bool m_losesNext = false;
  std::optional<std::string> m_invalidKey;
  std::map<std::string, std::size_t> m_writes;
  std::map<std::string, std::size_t> m_removals;
};

class CommitWriterTest : public testing::Test
{
protected:
  CommitWriterTest()
    : m_log("test", m_metrics)
    , m_writer(
        LeaderIdentity{ "a", 11, seconds(8), seconds(4) },
        m_store,
        m_log,
        m_metrics,
        [this](std::uint64_t /*aTerm*/,
               std::uint64_t /*aVersion*/,
               Duration /*aStoreClock*/) {
          ++m_commits;
          m_committed.set_value();
          m_committed = std::promise<void>();
        },
        [this](std::uint64_t /*aTerm*/) { m_lost.set_value(); },
        [this](std::uint64_t /*aTerm*/) { m_rejected.set_value(); })
  {
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  LeaderRowStore m_store;
  std::atomic<int> m_commits{ 0 };
  std::promise<void> m_committed;
  std::promise<void> m_lost;
  std::promise<void> m_rejected;
  CommitWriter m_writer;
};

LeadClaim FirstClaim()
{
  LeadClaim claim;
  claim.m_clockAt = BootClockNow();
  return claim;
}

std::vector<RowWrite> OneWrite()
{
  return { RowWrite{ ProgressKey(JobId("job")), "half" } };
}

} // namespace

TEST_F(CommitWriterTest, CommitWhoseAnswerIsLostIsReported)
{
  ASSERT_TRUE(m_writer.AcquireLeadership(FirstClaim()));
  std::future<void> committed = m_committed.get_future();
  m_store.LoseNextAnswer();
  m_writer.Commit(OneWrite(), {});
  committed.wait();
  EXPECT_EQ(m_commits, 2);
  // The first write took effect although its reply was lost. The retry is
  // refused or writes the same rows again.
  EXPECT_GE(m_store.WritesOf("job"), 1U);
}

// Guards against a removal that removes a job, or the cancellation of one, that
// was stored under the id since the removal took effect.
TEST_F(CommitWriterTest, CommitThatTookEffectIsNotWrittenAgain)
{
  ASSERT_TRUE(m_writer.AcquireLeadership(FirstClaim()));
  std::future<void> committed = m_committed.get_future();
  m_store.LoseNextAnswer();
  m_writer.Commit(OneWrite(), { JobKey(JobId("job")) });
  ASSERT_EQ(committed.wait_for(seconds(5)), std::future_status::ready);
  EXPECT_EQ(m_store.RemovalsOf("job"), 1U);
}

TEST_F(CommitWriterTest, WriteOfAFormerLeaderHasNoEffect)
{
  ASSERT_TRUE(m_writer.AcquireLeadership(FirstClaim()));
  std::future<void> lost = m_lost.get_future();
  m_store.WriteAsOtherHost();
  m_writer.Commit(OneWrite(), {});
  lost.wait();
  EXPECT_EQ(m_store.WritesOf("job"), 0U);
  EXPECT_EQ(m_store.LeaderRow().host(), "other");
}

TEST_F(CommitWriterTest, LeadFailsWhenAnotherHostWasFaster)
{
  m_store.WriteAsOtherHost();
  EXPECT_FALSE(m_writer.AcquireLeadership(FirstClaim()));
}

// Guards against a release that is requested during a write in flight and then
// never written, so that no row marks the leadership as released.
TEST_F(CommitWriterTest, ReleaseIsAlwaysWritten)
{
  ASSERT_TRUE(m_writer.AcquireLeadership(FirstClaim()));
  m_writer.Commit(OneWrite(), {});
  m_writer.ReleaseLeadership(seconds(5));
  EXPECT_TRUE(m_store.LeaderRow().released());
  EXPECT_EQ(m_store.WritesOf("job"), 1U);
}

// Guards against a commit that the store never takes and that is repeated
// without end, so that the leadership is not renewed.
TEST_F(CommitWriterTest, CommitThatIsNeverTakenEndsNoLeadership)
{
  ASSERT_TRUE(m_writer.AcquireLeadership(FirstClaim()));
  std::future<void> rejected = m_rejected.get_future();
  m_store.RefuseForGood("job");
  m_writer.Commit(OneWrite(), {});
  rejected.wait();
  const std::uint64_t version = m_store.Version();
  m_writer.Commit({ RowWrite{ ProgressKey(JobId("other")), "half" } }, {});
  m_writer.ReleaseLeadership(seconds(5));
  EXPECT_GT(m_store.Version(), version);
  EXPECT_EQ(m_store.WritesOf("other"), 1U);
  EXPECT_EQ(m_store.WritesOf("job"), 0U);
}

// Guards against a leader row that is too long for the store because many
// queues have waiting jobs.
TEST_F(CommitWriterTest, ManyCountsAreStoredInRowsOfTheirOwn)
{
  PendingCounts counts;
  for (std::uint32_t i = 0; i < 5000; ++i) {
    counts[QueueName("a queue with a long name " + std::to_string(i))] = i;
  }
  ASSERT_TRUE(m_writer.AcquireLeadership(FirstClaim()));
  m_writer.SetPending(counts);
  m_writer.ReleaseLeadership(seconds(5));
  const proto::LeaderRow row = m_store.LeaderRow();
  EXPECT_LT(row.ByteSizeLong(), 1000U);
  EXPECT_FALSE(row.pending_known());
  ASSERT_GT(row.pending_row_count(), 1U);
  EXPECT_GE(m_store.WritesOf(PendingRowKey(0).m_key), 1U);
}

TEST_F(CommitWriterTest, CountsAreUnknownUntilTheyAreSet)
{
  ASSERT_TRUE(m_writer.AcquireLeadership(FirstClaim()));
  EXPECT_FALSE(m_store.LeaderRow().pending_known());
  m_writer.SetPending({ { QueueName("plans"), 3 } });
  m_writer.ReleaseLeadership(seconds(5));
  EXPECT_TRUE(m_store.LeaderRow().pending_known());
  EXPECT_EQ(m_store.LeaderRow().pending(0).pending(), 3U);
}

// Guards against a leader that leads for a moment, and whose successor does not
// know of the leases that the leaders before it have given.
TEST_F(CommitWriterTest, LeasesOfFormerLeadersAreHandedOn)
{
  LeadClaim claim = FirstClaim();
  claim.m_formerLeaseExpiry = BootClockNow() + seconds(12);
  ASSERT_TRUE(m_writer.AcquireLeadership(claim));
  const Duration handedOn =
    milliseconds(m_store.LeaderRow().former_leases_ms());
  EXPECT_GT(handedOn, seconds(11));
  EXPECT_LE(handedOn, seconds(12));
  m_writer.ReleaseLeadership(seconds(5));
  EXPECT_LE(milliseconds(m_store.LeaderRow().former_leases_ms()), handedOn);
  EXPECT_GT(milliseconds(m_store.LeaderRow().former_leases_ms()), seconds(5));
}

// Guards against a row that seems older than it is, so that the next leader
// takes leases to be over while they last.
TEST_F(CommitWriterTest, FirstRowCountsTheTimeSinceTheStoresClockWasRead)
{
  LeadClaim claim = FirstClaim();
  claim.m_storeClock = seconds(100);
  claim.m_clockAt -= seconds(2);
  ASSERT_TRUE(m_writer.AcquireLeadership(claim));
  EXPECT_GE(m_store.LeaderRow().renewed_ms(), 102000U);
}

// Guards against an answer without the store's clock, after which the row seems
// as old as the store, so that others take the lead and all leases for over.
TEST_F(CommitWriterTest, AnswerWithoutTheStoresClockLeavesItAsItIs)
{
  LeadClaim claim = FirstClaim();
  claim.m_storeClock = seconds(100);
  ASSERT_TRUE(m_writer.AcquireLeadership(claim));
  m_writer.ReleaseLeadership(seconds(5));
  EXPECT_TRUE(m_store.LeaderRow().released());
  EXPECT_GE(m_store.LeaderRow().renewed_ms(), 100000U);
}

} // namespace lycheestep
