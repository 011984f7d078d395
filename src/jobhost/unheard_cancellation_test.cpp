// Guards against runs that go on because the leader's feed of cancellations
// gets no answers, however many calls that concerns.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "event_log.h"
#include "feeding_store.h"
#include "free_port.h"
#include "job_host.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "one_queue_documents.h"
#include "one_task_target.h"
#include "peer_messenger.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const JobId kJob("5c0e7a21d94b36f8");

JobHostSettings MakeSettings(const std::string& aHost)
{
  JobHostSettings settings;
  settings.m_host = aHost;
  settings.m_dataCentre = "hcm-a";
  settings.m_peers = HostAddress{ "127.0.0.1", FreePort() };
  return settings;
}

// A leader and another host, and one target on which a job runs.
class UnheardCancellationTest : public testing::Test
{
protected:
  UnheardCancellationTest()
  {
    RowTransaction platform;
    platform.m_writes = {
      RowWrite{ RowKey{ m_documents.ConfigTable(), "", "config" }, "" },
      RowWrite{ RowKey{ m_documents.TargetTable(), "", "t1" }, "" }
    };
    m_store.Transact(platform, seconds(1));
    m_leader = StartHost("edge-1");
    StartJob();
    m_other = StartHost("edge-2");
  }

  std::unique_ptr<JobHost> StartHost(const std::string& aName)
  {
    const JobHostSettings settings = MakeSettings(aName);
    m_addresses.push_back(settings.m_peers.Text());
    auto host = std::make_unique<JobHost>(
      settings, HostDependencies{ m_store, m_orders, nullptr, m_documents });
    EXPECT_TRUE(host->Start());
    return host;
  }

  void StartJob()
  {
    JobSpec spec;
    spec.m_payload = "plan";
    spec.m_steps.resize(1);
    spec.m_steps[0].m_count = 1;
    spec.m_steps[0].m_demand = Resources(1000, 100, 0, 0, 0);
    spec.m_steps[0].m_estimate = seconds(60);
    EXPECT_EQ(
      m_leader->RequestHandler().Submit(kJob, OneQueueDocuments::Queue(), spec),
      JobRequestStatus::kOk);
    EXPECT_TRUE(WaitFor([this] { return m_orders.HasStarted(kJob); }));
  }

  // Returns whether aCondition holds within a time that any machine keeps.
  template<typename Condition>
  static bool WaitFor(const Condition& aCondition)
  {
    for (int i = 0; i < 2000 && !aCondition(); ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return aCondition();
  }

  // Returns whether the leader ends the job as cancelled, and stops its run.
  bool WaitForEndOfJob()
  {
    const bool ended = WaitFor([this] {
      return m_leader->RequestHandler().State(kJob).m_state ==
             JobState::kCancelled;
    });
    return ended && WaitFor([this] { return m_orders.WasStopped(kJob); });
  }

  // Of the hosts for other hosts.
  std::vector<std::string> m_addresses;
  FeedingStore m_store;
  OneTaskTarget m_orders;
  OneQueueDocuments m_documents;
  std::unique_ptr<JobHost> m_leader;
  std::unique_ptr<JobHost> m_other;
};

} // namespace

TEST_F(UnheardCancellationTest, LeaderStopsWhatItCancelledItself)
{
  m_store.SetCut(kCancelTable);
  EXPECT_EQ(m_leader->RequestHandler().Cancel(kJob), JobRequestStatus::kOk);
  EXPECT_TRUE(WaitForEndOfJob());
}

TEST_F(UnheardCancellationTest, LeaderStopsWhatAnotherHostCancelled)
{
  m_store.SetCut(kCancelTable);
  EXPECT_EQ(m_other->RequestHandler().Cancel(kJob), JobRequestStatus::kOk);
  EXPECT_TRUE(WaitForEndOfJob());
}

// Guards against a job that is cancelled because a host says so, without a row.
TEST_F(UnheardCancellationTest, NoticeWithoutARowCancelsNothing)
{
  MetricsRegistry metrics;
  EventLog log("edge-3", metrics);
  int replies = 0;
  const std::string address = "127.0.0.1:" + std::to_string(FreePort());
  PeerMessenger peers("edge-3",
                      1,
                      address,
                      "",
                      log,
                      [&replies](const proto::JobPeerMessage& aMessage) {
                        replies +=
                          aMessage.has_cancellation_confirmation() ? 1 : 0;
                      });
  EXPECT_TRUE(peers.Start());
  proto::JobPeerMessage notice;
  notice.mutable_cancellation_notice()->add_job(kJob.Text());
  for (int i = 0; i < 10; ++i) {
    for (const std::string& host : m_addresses) {
      peers.Send(host, notice);
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  EXPECT_EQ(m_leader->RequestHandler().State(kJob).m_status,
            JobRequestStatus::kOk);
  EXPECT_NE(m_leader->RequestHandler().State(kJob).m_state,
            JobState::kCancelled);
  EXPECT_EQ(replies, 0);
}

} // namespace lycheestep
