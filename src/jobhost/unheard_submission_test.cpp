// Guards against a job that waits beside free capacity because the leader's
// feed of jobs gets no answers, however many calls that concerns.
#include <chrono>
#include <thread>

#include <gtest/gtest.h>

#include "feeding_store.h"
#include "free_port.h"
#include "job_host.h"
#include "job_rows.h"
#include "one_queue_documents.h"
#include "one_task_target.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobSpec MakeSpec()
{
  JobSpec spec;
  spec.m_payload = "plan";
  spec.m_steps.resize(1);
  spec.m_steps[0].m_count = 1;
  spec.m_steps[0].m_demand = Resources(1000, 100, 0, 0, 0);
  spec.m_steps[0].m_estimate = seconds(60);
  return spec;
}

JobHostSettings MakeSettings()
{
  JobHostSettings settings;
  settings.m_host = "edge-1";
  settings.m_dataCentre = "hcm-a";
  settings.m_peers = HostAddress{ "127.0.0.1", FreePort() };
  return settings;
}

// Returns whether the job starts within a time that any machine keeps.
bool WaitForStart(const OneTaskTarget& aTarget, const JobId& aJob)
{
  for (int i = 0; i < 2000 && !aTarget.HasStarted(aJob); ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return aTarget.HasStarted(aJob);
}

} // namespace

TEST(UnheardSubmission, LeaderStartsAJobThatItsFeedDoesNotTell)
{
  const JobId first("5c0e7a21d94b36f8");
  const JobId second("6c0e7a21d94b36f8");
  FeedingStore store;
  OneTaskTarget target;
  const OneQueueDocuments documents;
  RowTransaction platform;
  platform.m_writes = {
    RowWrite{ RowKey{ documents.ConfigTable(), "", "config" }, "" },
    RowWrite{ RowKey{ documents.TargetTable(), "", "t1" }, "" }
  };
  store.Transact(platform, seconds(1));
  JobHost host(MakeSettings(),
               HostDependencies{ store, target, nullptr, documents });
  ASSERT_TRUE(host.Start());
  const QueueConfig queue = OneQueueDocuments::Queue();
  host.RequestHandler().Submit(first, queue, MakeSpec());
  ASSERT_TRUE(WaitForStart(target, first));
  store.SetCut(kJobTable);
  target.EndAll();
  host.RequestHandler().Submit(second, queue, MakeSpec());
  EXPECT_TRUE(WaitForStart(target, second));
}

} // namespace lycheestep
