#include <gmock/gmock.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "lycheestep/event_sink.h"
#include "lycheestep/kernel.h"
#include "lycheestep/process_settings.h"
#include "platform_server.h"
#include "platform_service.h"
#include "target_server.h"
#include "targets_service.h"

namespace lycheestep {
namespace {

// Collects events under the name of the control thread.
class Collector
  : public Service
  , public EventSink
{
public:
  std::string Name() const override { return "control"; }
  std::error_code Start(Kernel& /*aKernel*/) override { return {}; }
  void Stop() override {}
  void Post(Event aEvent) override
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_events.push_back(std::move(aEvent));
    m_added.notify_all();
  }
  bool TryPost(Event aEvent) override
  {
    Post(std::move(aEvent));
    return true;
  }

  // Waits for the next event of type T and drops those before it.
  template<class T>
  T Next()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
      const bool came = m_added.wait_for(
        lock, std::chrono::minutes(1), [this] { return !m_events.empty(); });
      if (!came) {
        ADD_FAILURE() << "no event came";
        return T();
      }
      const Event event = std::move(m_events.front());
      m_events.pop_front();
      if (const T* typed = std::get_if<T>(&event)) {
        return *typed;
      }
    }
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_added;
  std::deque<Event> m_events;
};

TargetListing MakeListing()
{
  TargetListing listing;
  listing.m_id = TargetId("t1");
  listing.m_dataCentre = DataCentreName("dc1");
  listing.m_rack = RackName("r1");
  listing.m_capacity = Resources(4000, 1024, 0, 2, 8);
  return listing;
}

class StandinServersTest : public testing::Test
{
protected:
  StandinServersTest()
    : m_target(MakeListing(), m_checkpoints, std::chrono::milliseconds(5))
    , m_platform([this] { return std::vector{ m_target.Listing() }; },
                 Duration::zero())
  {
    EXPECT_FALSE(m_target.Listen("127.0.0.1", 0));
    EXPECT_FALSE(m_platform.Listen("127.0.0.1", 0));
    m_settings.m_scheduler.m_dataCentre = DataCentreName("dc1");
    m_settings.m_platformUrl =
      "http://127.0.0.1:" + std::to_string(m_platform.Port());
    m_settings.m_platformTimeout = std::chrono::seconds(30);
    m_settings.m_targetTimeout = std::chrono::seconds(30);
    m_settings.m_scheduler.m_entry = EntryId("e1");
    m_kernel.Register(std::make_unique<Collector>());
    m_kernel.Register(std::make_unique<PlatformService>(m_settings));
    m_kernel.Register(std::make_unique<TargetsService>(m_settings));
    EXPECT_FALSE(m_kernel.Start());
    m_events = m_kernel.Find<Collector>("control");
    m_table = m_kernel.Find<PlatformClient>("platform");
    m_targets = m_kernel.Find<TargetClient>("targets");
  }

  StartTask MakeStart(const std::string& aAttempt)
  {
    StartTask start;
    start.m_target = TargetId("t1");
    start.m_address = m_target.Listing().m_address;
    start.m_start.m_attempt = AttemptId(aAttempt);
    start.m_start.m_request = RequestId("r-" + aAttempt);
    start.m_start.m_demand = Resources(1000, 10, 0, 1, 1);
    start.m_start.m_body = "câu hỏi";
    start.m_notAfter = TimePoint::max();
    return start;
  }

  TableAnswer Write(const std::string& aValue, std::uint64_t aVersion)
  {
    TransactTable call;
    call.m_transaction.m_conditions.push_back({ "k", aVersion });
    call.m_transaction.m_writes.push_back({ "k", aValue, false });
    m_table->Transact(call);
    return m_events->Next<TableAnswered>().m_answer;
  }

  CheckpointStore m_checkpoints;
  TargetServer m_target;
  PlatformServer m_platform;
  ProcessSettings m_settings;
  Kernel m_kernel;
  Collector* m_events = nullptr;
  PlatformClient* m_table = nullptr;
  TargetClient* m_targets = nullptr;
};

TEST_F(StandinServersTest, WritesReadsAndLosesReplies)
{
  const TableAnswer first = Write("a", 0);
  ASSERT_EQ(first.m_status, TableStatus::kOk);
  EXPECT_EQ(Write("b", 0).m_status, TableStatus::kConflict);

  TableFaults faults;
  faults.m_loseReplies = true;
  m_platform.SetFaults(faults);
  EXPECT_EQ(Write("c", first.m_rows[0].m_version).m_status,
            TableStatus::kUnknown);
  EXPECT_EQ(m_platform.RowAt("k").m_value, "c");

  faults = TableFaults();
  faults.m_down = true;
  m_platform.SetFaults(faults);
  EXPECT_EQ(Write("d", 0).m_status, TableStatus::kNotSent);
  m_table->FetchHosts();
  EXPECT_FALSE(m_events->Next<HostListAnswered>().m_reached);

  m_platform.SetFaults(TableFaults());
  ReadTable read;
  read.m_query.m_prefixes = { "k" };
  m_table->Read(read);
  EXPECT_EQ(m_events->Next<TableAnswered>().m_answer.m_rows[0].m_value, "c");
  m_table->FetchHosts();
  EXPECT_EQ(m_events->Next<HostListAnswered>().m_targets[0].m_id.Text(), "t1");
  m_table->FetchHosts();
  EXPECT_TRUE(m_events->Next<HostListAnswered>().m_unchanged);
}

TEST_F(StandinServersTest, StartsATaskAndTellsOfItsEnd)
{
  m_targets->StartOn(MakeStart("a1"));
  const auto ended = m_events->Next<TaskEnded>();
  EXPECT_EQ(ended.m_target.Text(), "t1");
  EXPECT_TRUE(ended.m_report.m_succeeded);
  EXPECT_EQ(ended.m_report.m_body, "answer to r-a1: câu hỏi");

  // What is past its time is never sent.
  StartTask late = MakeStart("a2");
  late.m_notAfter = Clock::now();
  m_targets->StartOn(late);
  EXPECT_EQ(m_events->Next<StartAnswered>().m_status, StartStatus::kNotSent);
  EXPECT_EQ(m_target.Ledger().m_tasks.size(), 1U);
}

TEST_F(StandinServersTest, TellsRefusedFromLostStarts)
{
  StartTask large = MakeStart("a1");
  large.m_start.m_demand = Resources(9000, 10, 0, 1, 1);
  m_targets->StartOn(large);
  EXPECT_EQ(m_events->Next<StartAnswered>().m_status, StartStatus::kRefused);
  StartTask other = MakeStart("a2");
  other.m_target = TargetId("t2");
  m_targets->StartOn(other);
  EXPECT_EQ(m_events->Next<StartAnswered>().m_status, StartStatus::kRefused);
  m_target.Control("die");
  m_targets->StartOn(MakeStart("a3"));
  EXPECT_EQ(m_events->Next<StartAnswered>().m_status, StartStatus::kLost);
  // Nobody listens at port 1.
  StartTask unreachable = MakeStart("a4");
  unreachable.m_address = "127.0.0.1:1";
  m_targets->StartOn(unreachable);
  EXPECT_EQ(m_events->Next<StartAnswered>().m_status, StartStatus::kNotSent);
  EXPECT_TRUE(m_target.Ledger().m_tasks.empty());
}

TEST_F(StandinServersTest, ReportsAndAnswersQuestions)
{
  StartTask start = MakeStart("a1");
  start.m_start.m_waitForEnd = false;
  start.m_start.m_body = R"({"run_ms":60000})";
  m_targets->StartOn(start);
  EXPECT_EQ(m_events->Next<StartAnswered>().m_status, StartStatus::kStarted);
  RenewLeases renew;
  renew.m_target = start.m_target;
  renew.m_address = start.m_address;
  renew.m_notAfter = TimePoint::max();
  m_targets->Renew(renew);
  EXPECT_EQ(m_events->Next<TargetReported>().m_report.m_tasks.size(), 1U);

  QueryAttempt query;
  query.m_target = start.m_target;
  query.m_address = start.m_address;
  query.m_attempt = AttemptId("never/sent ž");
  m_targets->Query(query);
  const auto answer = m_events->Next<AttemptAnswered>();
  EXPECT_TRUE(answer.m_reached);
  EXPECT_EQ(answer.m_report.m_state, AttemptState::kNeverStarted);
  EXPECT_LT(answer.m_report.m_targetUpFor, Duration::max());
}

} // namespace
} // namespace lycheestep
