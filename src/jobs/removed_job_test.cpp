// Tests that a job whose rows are removed does not come back from a row that
// was read before.
#include <algorithm>

#include <gmock/gmock.h>
#include <rapidcheck.h>

#include "ignored_metrics.h"
#include "job_scheduler.h"
#include "mock_job_effects.h"
#include "removed_jobs.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::IsEmpty;
using testing::NiceMock;
using testing::ReturnRef;

const JobId kJob("5c0e7a21d94b36f8");

StoredJob MakeStored(std::uint64_t aVersion)
{
  StoredJob stored;
  stored.m_version = aVersion;
  stored.m_spec.m_payload = "plan";
  stored.m_spec.m_steps.resize(1);
  stored.m_spec.m_steps[0].m_count = 1;
  return stored;
}

JobSchedulerSettings ShortRetention()
{
  JobSchedulerSettings settings;
  settings.m_retention = seconds(1);
  return settings;
}

// A job that was read at version 10 and cancelled. Its removal is handed to the
// store, which has not answered.
class RemovedJobTest : public testing::Test
{
protected:
  RemovedJobTest()
    : m_scheduler(ShortRetention(), m_effects)
  {
    ON_CALL(m_effects, Metrics()).WillByDefault(ReturnRef(m_metrics));
    ON_CALL(m_effects, Commit(_, _))
      .WillByDefault([this](const std::vector<RowWrite>& /*aWrites*/,
                            const std::vector<RowKey>& aRemovals) {
        m_removals = aRemovals.size();
        m_committing = true;
      });
    m_scheduler.OnCommitted(1, seconds(1), m_now);
    Read(10);
    m_scheduler.OnCancel(kJob, m_now);
    for (int i = 0; i < 30 && m_removals == 0; ++i) {
      if (m_committing) {
        OnCommitted(11);
      }
      m_now += milliseconds(100);
      m_scheduler.SetTime(m_now, WallTime(0));
      m_scheduler.Tick(m_now);
    }
    EXPECT_GT(m_removals, 0U);
    EXPECT_FALSE(IsKnown());
  }

  void Read(std::uint64_t aVersion)
  {
    m_scheduler.OnJob(kJob, MakeStored(aVersion), 0, m_now);
  }

  void OnCommitted(std::uint64_t aVersion)
  {
    m_committing = false;
    m_scheduler.OnCommitted(aVersion, seconds(1), m_now);
  }

  bool IsKnown() const { return m_scheduler.Find(kJob) != nullptr; }

  IgnoredMetrics m_metrics;
  NiceMock<MockJobEffects> m_effects;
  JobScheduler m_scheduler;
  TimePoint m_now{ seconds(1000) };
  bool m_committing = false;
  std::size_t m_removals = 0;
};

} // namespace

// Guards against a cancelled job that is started again, because its row is read
// while it is on its way to be removed.
TEST_F(RemovedJobTest, RowThatIsReadDuringTheRemovalIsNoNewJob)
{
  Read(10);
  EXPECT_FALSE(IsKnown());
  OnCommitted(50);
  EXPECT_FALSE(IsKnown());
}

TEST_F(RemovedJobTest, RowThatIsReadAfterTheRemovalIsNoNewJob)
{
  OnCommitted(50);
  Read(10);
  EXPECT_FALSE(IsKnown());
  // The leader may have written the row since it was read first.
  Read(20);
  EXPECT_FALSE(IsKnown());
}

TEST_F(RemovedJobTest, JobThatIsSubmittedAgainIsNew)
{
  OnCommitted(50);
  Read(60);
  EXPECT_TRUE(IsKnown());
}

TEST_F(RemovedJobTest, JobThatIsSubmittedBeforeTheRemovalIsAnsweredIsNew)
{
  Read(60);
  EXPECT_FALSE(IsKnown());
  OnCommitted(50);
  EXPECT_TRUE(IsKnown());
}

TEST_F(RemovedJobTest, JobThatIsSubmittedAfterTheRemovalWasReadIsNew)
{
  m_scheduler.OnJobRemoved(kJob);
  Read(60);
  EXPECT_TRUE(IsKnown());
}

// Guards against memory that grows with each job.
TEST(RemovedJobs, RemovalThatWasReadIsForgotten)
{
  RemovedJobs removed;
  removed.Add(kJob);
  EXPECT_EQ(removed.Size(), 1U);
  EXPECT_THAT(removed.OnStored({ JobKey(kJob) }, 50), IsEmpty());
  removed.OnRead(kJob);
  EXPECT_EQ(removed.Size(), 0U);
}

// Whatever is read and answered in which order, a row is taken as a new job if
// and only if it was stored after the removal.
TEST(RemovedJobs, OnlyRowsAfterTheRemovalAreNewJobs)
{
  const bool held = rc::check("only rows after the removal are new", [] {
    const auto removal = *rc::gen::inRange<std::uint64_t>(2, 20);
    const auto answeredAfter = *rc::gen::inRange<std::size_t>(0, 6);
    auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
      5, rc::gen::inRange<std::uint64_t>(1, 24));
    std::sort(versions.begin(), versions.end());
    RemovedJobs removed;
    removed.Add(kJob);
    std::vector<std::uint64_t> added;
    for (std::size_t i = 0; i <= versions.size(); ++i) {
      if (i == answeredAfter) {
        for (const ReadJob& job : removed.OnStored({ JobKey(kJob) }, removal)) {
          added.push_back(job.m_stored.m_version);
        }
      }
      if (i < versions.size() &&
          removed.IsNewJob(ReadJob{ kJob, MakeStored(versions[i]), 0 })) {
        added.push_back(versions[i]);
      }
    }
    const bool anyNew =
      answeredAfter <= versions.size() && versions.back() > removal;
    RC_ASSERT(added.empty() == !anyNew);
    for (const std::uint64_t version : added) {
      RC_ASSERT(version > removal);
    }
  });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
