// Tests that a row of a cancellation which was read by itself cancels its own
// job and no later one with the same id.
#include <chrono>

#include <gtest/gtest.h>

#include "job_scheduler.h"
#include "mock_job_effects.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;
using testing::NiceMock;

constexpr std::uint64_t kJobVersion = 10;
const JobId kJob("5c0e7a21d94b36f8");

class CancellationRowVersionTest : public testing::Test
{
protected:
  CancellationRowVersionTest()
    : m_scheduler(JobSchedulerSettings(), m_effects)
  {
  }

  void AddJob()
  {
    StoredJob stored;
    stored.m_version = kJobVersion;
    stored.m_spec.m_payload = "plan";
    stored.m_spec.m_steps.resize(1);
    stored.m_spec.m_steps[0].m_count = 1;
    m_scheduler.OnJob(kJob, stored, 0, m_now);
  }

  NiceMock<MockJobEffects> m_effects;
  JobScheduler m_scheduler;
  const TimePoint m_now{ seconds(1000) };
};

} // namespace

TEST_F(CancellationRowVersionTest, RowOfTheJobCancelsIt)
{
  AddJob();
  EXPECT_TRUE(m_scheduler.OnCancelRow(kJob, kJobVersion + 1, m_now));
  EXPECT_TRUE(m_scheduler.IsOver(kJob));
  EXPECT_FALSE(m_scheduler.OnCancelRow(kJob, kJobVersion + 1, m_now));
}

// Guards against a job that starts because its cancellation was read before it.
TEST_F(CancellationRowVersionTest, RowThatComesBeforeItsJobCancelsIt)
{
  EXPECT_FALSE(m_scheduler.OnCancelRow(kJob, kJobVersion + 1, m_now));
  EXPECT_FALSE(m_scheduler.OnCancelRow(kJob, kJobVersion - 1, m_now));
  AddJob();
  EXPECT_TRUE(m_scheduler.IsOver(kJob));
}

// Guards against a new job that ends because the row of a former job with its
// id was read late.
TEST_F(CancellationRowVersionTest, RowOfAFormerJobCancelsNothing)
{
  AddJob();
  EXPECT_FALSE(m_scheduler.OnCancelRow(kJob, kJobVersion - 1, m_now));
  EXPECT_FALSE(m_scheduler.IsOver(kJob));
}

// Guards against a new job that ends because the row of a former job with its
// id came first.
TEST_F(CancellationRowVersionTest, EarlierRowOfAFormerJobCancelsNothing)
{
  EXPECT_FALSE(m_scheduler.OnCancelRow(kJob, kJobVersion - 1, m_now));
  AddJob();
  EXPECT_FALSE(m_scheduler.IsOver(kJob));
}

} // namespace lycheestep
