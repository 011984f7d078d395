// Guards against a task that is started beside an older run of it, which a
// target lists though its leader gave it up.
#include "job_scheduler.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
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
using testing::IsEmpty;
using testing::NiceMock;
using testing::ReturnRef;
using testing::SizeIs;

// A new leader of two targets. One of them lists run 1 of a task which the
// former leader gave up, so that it waits for a later one.
class OlderRunTest : public testing::Test
{
protected:
  OlderRunTest()
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
    ON_CALL(m_effects, Hold(_, _))
      .WillByDefault([this](const HoldOrder& aOrder, HoldPath aPath) {
        m_holds[aOrder.m_to.m_target.Text()].push_back({ aOrder, aPath });
      });
    m_scheduler.OnCommitted(1, Duration::zero(), m_now);
    Configure();
    for (const char* target : { "first", "second" }) {
      m_scheduler.OnTargetRecord(RecordOf(target), m_now);
    }
  }

  static TargetRecord RecordOf(const char* aTarget)
  {
    TargetRecord record;
    record.m_target = TargetId(aTarget);
    record.m_service = ServiceName("desk");
    record.m_address =
      ModelAddress(record.m_target == TargetId("first") ? 1 : 2);
    record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    record.m_started = WallTime(1000);
    return record;
  }

  void Configure()
  {
    ClusterConfig config;
    config.m_version = 1;
    config.m_queues.resize(1);
    config.m_queues[0].m_name = QueueName("plans");
    config.m_queues[0].m_service = ServiceName("desk");
    m_scheduler.SetConfig(config);
  }

  // Adds a job of aTasks tasks, the first of which the former leader gave up.
  void AddJob(std::uint32_t aTasks, bool aGang)
  {
    StoredJob job;
    job.m_terms.m_name = QueueName("plans");
    job.m_spec.m_steps.resize(1);
    job.m_spec.m_steps[0].m_count = aTasks;
    job.m_spec.m_steps[0].m_gang = aGang;
    job.m_spec.m_steps[0].m_demand = Resources(100, 100, 0, 0, 0);
    job.m_spec.m_steps[0].m_estimate = seconds(1);
    m_scheduler.OnJob(m_run.m_task.m_step.m_job, job, 0, m_now);
    StoredTask stored;
    stored.m_name = m_run.m_task;
    stored.m_task.m_run = m_run.m_run;
    StoredProgress progress;
    progress.m_tasks.push_back(stored);
    m_scheduler.OnProgress(m_run.m_task.m_step.m_job, progress, m_now);
    Pass();
  }

  // Answers all holds to the target, which lists aRunning.
  void AnswerHolds(const char* aTarget, const std::vector<RunName>& aRunning)
  {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = TargetTime(ToMilliseconds(m_now.time_since_epoch()));
    answer.m_started = WallTime(m_restarted == aTarget ? 2000 : 1000);
    for (const RunName& run : aRunning) {
      RunningTask task;
      task.m_run = run;
      answer.m_running.push_back(task);
    }
    const std::vector<SentHold> holds = std::move(m_holds[aTarget]);
    m_holds[aTarget].clear();
    for (const SentHold& hold : holds) {
      m_scheduler.OnHoldAnswer(hold.m_order, hold.m_path, answer, m_now);
    }
  }

  // The first target lists aRunning, the second one nothing.
  void Play(const std::vector<RunName>& aRunning)
  {
    for (int i = 0; i < 10; ++i) {
      AnswerHolds("first", aRunning);
      AnswerHolds("second", {});
      Pass();
      if (std::exchange(m_committing, false)) {
        m_scheduler.OnCommitted(++m_fence, Duration::zero(), m_now);
      }
    }
  }

  void Pass()
  {
    m_now += milliseconds(100);
    m_scheduler.SetTime(m_now, WallTime(0));
    m_scheduler.Tick(m_now);
  }

  struct SentHold
  {
    HoldOrder m_order;
    HoldPath m_path;
  };

  const RunName m_run{ TaskName{ StepName{ JobId("a"), 0, 0 }, 0 }, 1 };
  TimePoint m_now{ seconds(1000) };
  IgnoredMetrics m_metrics;
  NiceMock<MockJobEffects> m_effects;
  JobScheduler m_scheduler;
  FencingToken m_fence = 1;
  bool m_committing = false;
  std::vector<StartOrder> m_starts;
  std::map<std::string, std::vector<SentHold>> m_holds;
  // The target that has a new process; empty for none.
  std::string m_restarted;
};

} // namespace

TEST_F(OlderRunTest, TaskIsNotStartedBesideAnOlderRunThatATargetLists)
{
  AddJob(1, false);
  Play({ m_run });
  EXPECT_THAT(m_starts, IsEmpty());
  Play({});
  ASSERT_THAT(m_starts, SizeIs(1));
  EXPECT_EQ(m_starts.front().m_run.m_run, m_run.m_run + 1);
}

// It is not placed either, which would take a commit each time.
TEST_F(OlderRunTest, GangIsNotPlacedBesideAnOlderRunOfAMember)
{
  AddJob(2, true);
  Play({ m_run });
  EXPECT_THAT(m_starts, IsEmpty());
  Play({});
  ASSERT_THAT(m_starts, SizeIs(2));
  EXPECT_EQ(m_starts.front().m_run.m_run, m_run.m_run + 1);
}

// A run of the same number elsewhere is another one as well.
TEST_F(OlderRunTest, RunOfTheNextNumberElsewhereHoldsTheTaskBackToo)
{
  AddJob(1, false);
  Play({ RunName{ m_run.m_task, m_run.m_run + 1 } });
  EXPECT_THAT(m_starts, IsEmpty());
}

TEST_F(OlderRunTest, RunOfAFormerJobThatIsGivenUpEndsNoRunOfItsNamesake)
{
  AddJob(1, false);
  Play({});
  ASSERT_THAT(m_starts, SizeIs(1));
  const StartOrder own = m_starts.front();
  const char* other = own.m_to.m_target.Text() == "first" ? "second" : "first";
  for (int i = 0; i < 10; ++i) {
    AnswerHolds(own.m_to.m_target.Text().c_str(), { own.m_run });
    AnswerHolds(other, { own.m_run });
    Pass();
  }
  m_restarted = other;
  for (int i = 0; i < 10; ++i) {
    AnswerHolds(own.m_to.m_target.Text().c_str(), { own.m_run });
    AnswerHolds(other, {});
    Pass();
    if (std::exchange(m_committing, false)) {
      m_scheduler.OnCommitted(++m_fence, Duration::zero(), m_now);
    }
  }
  EXPECT_THAT(m_starts, SizeIs(1));
}

} // namespace lycheestep
