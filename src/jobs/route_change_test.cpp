// Tests of what becomes of dispatches when the configuration moves their queue
// to another service, or when no starts are allowed, before they are stored.
#include "job_scheduler.h"

#include <chrono>
#include <optional>
#include <vector>

#include <gmock/gmock.h>

#include "ignored_metrics.h"
#include "mock_job_effects.h"
#include "model_address.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::Field;
using testing::NiceMock;
using testing::ReturnRef;

// A queue that is routed to the service "old", with one target of this service
// and one of the service "new".
class RouteChangeTest : public testing::Test
{
protected:
  RouteChangeTest()
    : m_scheduler(JobSchedulerSettings(), m_effects)
  {
    ON_CALL(m_effects, Metrics()).WillByDefault(ReturnRef(m_metrics));
    ON_CALL(m_effects, Commit(_, _))
      .WillByDefault(
        [this](const std::vector<RowWrite>&, const std::vector<RowKey>&) {
          m_committing = true;
        });
    ON_CALL(m_effects, Start(_))
      .WillByDefault(
        [this](const StartOrder& aOrder) { m_starts.push_back(aOrder); });
    ON_CALL(m_effects, Hold(_, HoldPath::kOrders))
      .WillByDefault([this](const HoldOrder& aOrder, HoldPath) {
        m_takes.push_back(aOrder);
      });
    m_scheduler.OnCommitted(1, Duration::zero(), m_now);
    Route("old");
    m_scheduler.OnTargetRecord(RecordOf("old"), m_now);
    m_scheduler.OnTargetRecord(RecordOf("new"), m_now);
    Pass();
    for (const HoldOrder& take : m_takes) {
      HoldAnswer taken;
      taken.m_status = OrderStatus::kDone;
      taken.m_targetClock = TargetTime(100);
      taken.m_started = WallTime(1000);
      m_scheduler.OnHoldAnswer(take, HoldPath::kOrders, taken, m_now);
    }
  }

  // Returns the record of the target that has the name of its service.
  static TargetRecord RecordOf(const char* aService)
  {
    TargetRecord record;
    record.m_target = TargetId(aService);
    record.m_service = ServiceName(aService);
    record.m_address = ModelAddress(1);
    record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    record.m_started = WallTime(1000);
    return record;
  }

  void Route(const char* aService)
  {
    ClusterConfig config;
    config.m_version = ++m_configVersion;
    config.m_queues.resize(1);
    config.m_queues[0].m_name = QueueName("plans");
    config.m_queues[0].m_service = ServiceName(aService);
    m_scheduler.SetConfig(config);
  }

  // Adds a job, whose tasks are placed but not stored when this returns.
  void PlaceJob(std::uint32_t aTasks, bool aGang)
  {
    StoredJob job;
    job.m_terms.m_name = QueueName("plans");
    job.m_spec.m_steps.resize(1);
    job.m_spec.m_steps[0].m_count = aTasks;
    job.m_spec.m_steps[0].m_gang = aGang;
    job.m_spec.m_steps[0].m_demand = Resources(100, 100, 0, 0, 0);
    job.m_spec.m_steps[0].m_estimate = seconds(1);
    m_scheduler.OnJob(JobId("a"), job, 0, m_now);
    Pass();
  }

  void Pass()
  {
    m_now += milliseconds(100);
    m_scheduler.SetTime(m_now, WallTime(0));
    m_scheduler.Tick(m_now);
  }

  void CompleteCommit()
  {
    ASSERT_TRUE(m_committing);
    m_committing = false;
    m_scheduler.OnCommitted(++m_fence, Duration::zero(), m_now);
  }

  void AnswerStart(const StartOrder& aOrder, OrderStatus aStatus)
  {
    OrderAnswer answer;
    answer.m_status = aStatus;
    m_scheduler.OnStartAnswer(aOrder, answer, m_now);
  }

  // Expects that the next starts are aCount, all on the target of the new
  // service.
  void ExpectStartsOnNewService(std::size_t aCount)
  {
    m_starts.clear();
    Pass();
    CompleteCommit();
    EXPECT_EQ(m_starts.size(), aCount);
    for (const StartOrder& start : m_starts) {
      EXPECT_EQ(start.m_to.m_target.Text(), "new");
    }
  }

  TimePoint m_now{ seconds(1000) };
  IgnoredMetrics m_metrics;
  NiceMock<MockJobEffects> m_effects;
  JobScheduler m_scheduler;
  std::uint64_t m_configVersion = 0;
  FencingToken m_fence = 1;
  bool m_committing = false;
  std::vector<StartOrder> m_starts;
  std::vector<HoldOrder> m_takes;
};

} // namespace

TEST_F(RouteChangeTest, DispatchThatIsNotStoredIsNotSentToTheFormerService)
{
  PlaceJob(2, false);
  Route("new");
  CompleteCommit();
  EXPECT_TRUE(m_starts.empty());
  ExpectStartsOnNewService(2);
}

TEST_F(RouteChangeTest, GangThatIsNotStoredIsNotSentToTheFormerService)
{
  PlaceJob(3, true);
  Route("new");
  CompleteCommit();
  EXPECT_TRUE(m_starts.empty());
  ExpectStartsOnNewService(3);
}

// Guards against starts of jobs whose cancellation can't be known, because the
// dispatch was placed before the cancellations became unknown.
TEST_F(RouteChangeTest, DispatchThatIsStoredWhileNothingMayStartIsNotSent)
{
  PlaceJob(2, false);
  m_scheduler.SetMayStart(false);
  CompleteCommit();
  EXPECT_TRUE(m_starts.empty());
  m_scheduler.SetMayStart(true);
  Route("new");
  ExpectStartsOnNewService(2);
}

TEST_F(RouteChangeTest, GangThatIsStoredWhileNothingMayStartIsNotSent)
{
  PlaceJob(3, true);
  m_scheduler.SetMayStart(false);
  CompleteCommit();
  EXPECT_TRUE(m_starts.empty());
  m_scheduler.SetMayStart(true);
  Route("new");
  ExpectStartsOnNewService(3);
}

TEST_F(RouteChangeTest, StartThatWaitsForTheFormerServiceIsWithdrawn)
{
  PlaceJob(2, false);
  CompleteCommit();
  ASSERT_EQ(m_starts.size(), 2U);
  const std::vector<StartOrder> sent = m_starts;
  AnswerStart(sent[0], OrderStatus::kDone);
  EXPECT_CALL(m_effects,
              Withdraw(Field(&WithdrawOrder::m_run,
                             std::optional<RunName>(sent[1].m_run))))
    .Times(1);
  Route("new");
  AnswerStart(sent[1], OrderStatus::kWithdrawn);
  ExpectStartsOnNewService(1);
}

TEST_F(RouteChangeTest, ChangeThatKeepsTheServiceWithdrawsNothing)
{
  PlaceJob(2, false);
  CompleteCommit();
  EXPECT_CALL(m_effects, Withdraw(_)).Times(0);
  Route("old");
}

TEST_F(RouteChangeTest, TargetThatLeavesTheServiceGetsNoStoredDispatch)
{
  PlaceJob(2, false);
  TargetRecord moved = RecordOf("old");
  moved.m_service = ServiceName("new");
  m_scheduler.OnTargetRecord(moved, m_now);
  CompleteCommit();
  EXPECT_TRUE(m_starts.empty());
}

} // namespace lycheestep
