// Tests that rows which belong to no job are removed in the end.
#include <algorithm>

#include <gmock/gmock.h>

#include "ignored_metrics.h"
#include "job_scheduler.h"
#include "mock_job_effects.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;
using testing::_;
using testing::NiceMock;
using testing::ReturnRef;

class RowsWithoutJobTest : public testing::Test
{
protected:
  RowsWithoutJobTest()
    : m_scheduler(JobSchedulerSettings(), m_effects)
  {
    ON_CALL(m_effects, Metrics()).WillByDefault(ReturnRef(m_metrics));
    ON_CALL(m_effects, Commit(_, _))
      .WillByDefault([this](const std::vector<RowWrite>& /*aWrites*/,
                            const std::vector<RowKey>& aRemovals) {
        for (const RowKey& key : aRemovals) {
          m_removed.push_back(key.m_table + "/" + key.m_key);
        }
        m_committing = true;
      });
    m_scheduler.OnCommitted(1, m_storeClock, m_now);
  }

  void Pass(Duration aTime)
  {
    m_now += aTime;
    m_storeClock += aTime;
    for (int i = 0; i < 3; ++i) {
      m_now += seconds(1);
      m_storeClock += seconds(1);
      m_scheduler.SetTime(m_now, WallTime(0));
      m_scheduler.Tick(m_now);
      if (m_committing) {
        m_committing = false;
        m_scheduler.OnCommitted(2, m_storeClock, m_now);
      }
    }
  }

  bool IsRemoved(const std::string& aRow) const
  {
    return std::count(m_removed.begin(), m_removed.end(), aRow) > 0;
  }

  IgnoredMetrics m_metrics;
  NiceMock<MockJobEffects> m_effects;
  JobScheduler m_scheduler;
  TimePoint m_now{ seconds(1000) };
  Duration m_storeClock = seconds(5000);
  bool m_committing = false;
  std::vector<std::string> m_removed;
};

} // namespace

// Guards against rows that pile up if callers cancel jobs that never were.
TEST_F(RowsWithoutJobTest, WithdrawalIsRemovedWhenNoWriteCanBeLate)
{
  m_scheduler.OnWithdrawn(JobId("a"), m_storeClock, m_now);
  Pass(seconds(100));
  EXPECT_FALSE(IsRemoved("jobs/a"));
  Pass(seconds(100));
  EXPECT_TRUE(IsRemoved("jobs/a"));
}

TEST_F(RowsWithoutJobTest, AgeOfAWithdrawalOutlivesItsLeader)
{
  m_scheduler.OnWithdrawn(JobId("a"), m_storeClock - seconds(150), m_now);
  Pass(seconds(40));
  EXPECT_TRUE(IsRemoved("jobs/a"));
}

// Guards against a new job that is cancelled without cause, or whose
// cancellation is removed, because that of a removed job with its id was read
// late.
TEST_F(RowsWithoutJobTest, RemovedCancellationIsForgotten)
{
  m_scheduler.OnCancel(JobId("a"), m_now);
  m_scheduler.OnCancelRemoved(JobId("a"));
  StoredJob stored;
  stored.m_spec.m_steps.resize(1);
  stored.m_spec.m_steps[0].m_count = 1;
  m_scheduler.OnJob(JobId("a"), stored, 0, m_now);
  EXPECT_FALSE(m_scheduler.Find(JobId("a"))->IsOver());
  Pass(seconds(200));
  EXPECT_FALSE(IsRemoved("cancels/a"));
}

TEST_F(RowsWithoutJobTest, CancellationWithoutItsJobIsRemoved)
{
  m_scheduler.OnCancel(JobId("a"), m_now);
  m_scheduler.OnCancel(JobId("unreadable"), m_now);
  m_scheduler.OnUnreadableJob(JobId("unreadable"));
  Pass(seconds(200));
  EXPECT_TRUE(IsRemoved("cancels/a"));
  EXPECT_FALSE(IsRemoved("cancels/unreadable"));
}

} // namespace lycheestep
