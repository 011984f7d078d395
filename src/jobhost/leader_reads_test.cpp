// Tests what a leader does while the store answers its writes, but its reads
// and feeds late or not at all.
#include <chrono>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "feeding_store.h"
#include "job_host.h"
#include "job_rows.h"
#include "one_queue_documents.h"
#include "one_task_target.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTarget = "t1";

// Longer than a cancelled job may be started.
constexpr Duration kCutTime = milliseconds(3500);

// A target that drains may be given work for so long after it wrote that.
constexpr Duration kDrainTime = seconds(2);

const JobId kFirst("5c0e7a21d94b36f8");
const JobId kSecond("6c0e7a21d94b36f8");

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
    platform.m_writes = {
      RowWrite{ RowKey{ m_documents.ConfigTable(), "", "config" }, "" },
      RowWrite{ RowKey{ m_documents.TargetTable(), "", kTarget }, "" }
    };
    m_store.Transact(platform, seconds(1));
    EXPECT_TRUE(m_host.Start());
    Submit(kFirst);
    EXPECT_TRUE(WaitForStart(kFirst));
    Submit(kSecond);
  }

  void WriteTarget(const std::string& aState)
  {
    RowTransaction row;
    row.m_writes = { RowWrite{ RowKey{ m_documents.TargetTable(), "", kTarget },
                               aState } };
    m_store.Transact(row, seconds(1));
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
  m_store.SetReadCut(kCancelTable);
  EXPECT_EQ(m_host.RequestHandler().Cancel(kSecond), JobRequestStatus::kOk);
  std::this_thread::sleep_for(kCutTime);
  m_orders.EndAll();
  std::this_thread::sleep_for(seconds(2));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
  m_store.SetCut("");
  m_store.SetReadCut("");
  Submit(JobId("7c0e7a21d94b36f8"));
  EXPECT_TRUE(WaitForStart(JobId("7c0e7a21d94b36f8")));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
}

// Guards against a job that is started long after its cancellation, because the
// commit of its dispatch took long while the leader's feed was cut.
TEST_F(LeaderReadsTest, NoJobStartsAfterALongCommitWhileCancellationsAreUnknown)
{
  m_store.SetCut(kCancelTable);
  m_store.SetReadCut(kCancelTable);
  m_store.SetWriteCut(kProgressTable);
  EXPECT_EQ(m_host.RequestHandler().Cancel(kSecond), JobRequestStatus::kOk);
  m_orders.EndAll();
  std::this_thread::sleep_for(kCutTime);
  m_store.SetWriteCut("");
  std::this_thread::sleep_for(seconds(2));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
  m_store.SetCut("");
  m_store.SetReadCut("");
  Submit(JobId("7c0e7a21d94b36f8"));
  EXPECT_TRUE(WaitForStart(JobId("7c0e7a21d94b36f8")));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
}

// Guards against work for a target that drains, because the leader's feed of
// the list of targets is cut.
TEST_F(LeaderReadsTest, NoJobStartsWhileTheListOfTargetsIsUnknown)
{
  m_store.SetCut(m_documents.TargetTable());
  WriteTarget("draining");
  std::this_thread::sleep_for(kDrainTime);
  m_orders.EndAll();
  std::this_thread::sleep_for(seconds(1));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
  m_store.SetCut("");
  std::this_thread::sleep_for(seconds(1));
  EXPECT_FALSE(m_orders.HasStarted(kSecond));
  WriteTarget("ready");
  EXPECT_TRUE(WaitForStart(kSecond));
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
