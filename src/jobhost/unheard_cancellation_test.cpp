// Guards against runs that go on because the leader's feed of cancellations
// gets no answers, however many calls that concerns.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <memory>
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

const JobId kJob("5c0e7a21d94b36f8");

// Returns a port of the loopback interface that nobody listens on.
std::uint16_t FreePort()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  EXPECT_EQ(bind(socket, generic, size), 0);
  EXPECT_EQ(getsockname(socket, generic, &size), 0);
  close(socket);
  return ntohs(address.sin_port);
}

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
    auto host = std::make_unique<JobHost>(
      MakeSettings(aName),
      HostDependencies{ m_store, m_orders, nullptr, m_documents });
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

} // namespace lycheestep
