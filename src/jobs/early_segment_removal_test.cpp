// Tests that the segments of a job are not removed before the store says that
// the job is over.
#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <gmock/gmock.h>

#include "job_rows.h"
#include "job_scheduler.h"
#include "mock_job_effects.h"
#include "model_address.h"
#include "progress_rows.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::NiceMock;

const JobId kJob("a");

JobSchedulerSettings ShortRows()
{
  JobSchedulerSettings settings;
  settings.m_valueBytes = 40;
  return settings;
}

class EarlySegmentRemovalTest : public testing::Test
{
protected:
  EarlySegmentRemovalTest()
    : m_scheduler(ShortRows(), m_effects)
  {
    ON_CALL(m_effects, Hold(_, HoldPath::kOrders))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_take = aOrder; });
    ON_CALL(m_effects, Hold(_, HoldPath::kWatch))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_watch = aOrder; });
    ON_CALL(m_effects, Start(_))
      .WillByDefault([this](const StartOrder& aOrder) {
        m_started.push_back(aOrder.m_run);
      });
    ON_CALL(m_effects, Commit(_, _))
      .WillByDefault([this](const std::vector<RowWrite>& aWrites,
                            const std::vector<RowKey>& aRemovals) {
        m_writes = aWrites;
        m_removals = aRemovals;
        m_inFlight = true;
      });
    m_scheduler.OnCommitted(1, seconds(5000), m_now);
    TargetRecord record;
    record.m_target = TargetId(std::string(60, 't'));
    record.m_address = ModelAddress(1);
    record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    m_scheduler.OnTargetRecord(record, m_now);
    Pass();
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = TargetTime(100);
    m_scheduler.OnHoldAnswer(m_take, HoldPath::kOrders, answer, m_now);
    AddJob(kJob, 2);
    for (int i = 0; i < 20 && m_started.size() < 2; ++i) {
      Pass();
      Settle();
    }
  }

  void AddJob(const JobId& aJob, std::uint32_t aTasks)
  {
    StoredJob job;
    job.m_spec.m_steps.resize(1);
    job.m_spec.m_steps[0].m_count = aTasks;
    job.m_spec.m_steps[0].m_demand = Resources(100, 100, 0, 0, 0);
    job.m_spec.m_steps[0].m_estimate = seconds(1);
    m_scheduler.OnJob(aJob, job, 0, m_now);
  }

  void Pass()
  {
    m_now += milliseconds(100);
    m_scheduler.SetTime(m_now, WallTime(0));
    m_scheduler.Tick(m_now);
  }

  void Settle()
  {
    if (m_inFlight) {
      m_inFlight = false;
      for (const RowWrite& write : m_writes) {
        m_stored[write.m_key.m_key + " " + write.m_key.m_table] = write;
      }
      for (const RowKey& key : m_removals) {
        m_stored.erase(key.m_key + " " + key.m_table);
      }
      m_scheduler.OnCommitted(++m_fence, seconds(5001), m_now);
    }
  }

  void TellEnd(std::uint64_t aNumber,
               const RunName& aRun,
               RunEnd aEnd,
               const std::vector<RunName>& aRunning)
  {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = TargetTime(2000 + 100 * aNumber);
    answer.m_ended = { EndedTask{ aNumber, aRun, aEnd, "" } };
    for (const RunName& run : aRunning) {
      RunningTask task;
      task.m_run = run;
      answer.m_running.push_back(task);
    }
    m_scheduler.OnHoldAnswer(m_watch, HoldPath::kWatch, answer, m_now);
  }

  // Lets a few commits be done, so that nothing is left to store.
  void StoreAll()
  {
    for (int i = 0; i < 3; ++i) {
      Settle();
      Pass();
    }
    Settle();
  }

  // While callers cancel many other jobs, the second task fails.
  void FailWhileManyJobsChange()
  {
    constexpr int kOtherJobs = 120;
    for (int i = 0; i < kOtherJobs; ++i) {
      const JobId other("other" + std::to_string(i));
      AddJob(other, 1);
      m_scheduler.OnCancel(other, m_now);
    }
    TellEnd(2, m_started[1], RunEnd::kFailed, {});
    ASSERT_EQ(m_scheduler.Find(kJob)->m_state, JobState::kFailed);
  }

  // Returns true if the commit on its way has the job's progress row.
  bool CommitHasProgress() const
  {
    return std::any_of(
      m_writes.begin(), m_writes.end(), [](const RowWrite& aWrite) {
        return aWrite.m_key.m_table == kProgressTable &&
               aWrite.m_key.m_key == kJob.Text();
      });
  }

  // Returns what a new leader reads of the job.
  StoredProgress ReadStored() const
  {
    std::vector<Row> rows;
    for (const auto& [name, write] : m_stored) {
      if (write.m_key.m_table == kProgressTable) {
        Row row;
        row.m_key = write.m_key;
        row.m_value = write.m_value;
        rows.push_back(row);
      }
    }
    return ReadProgressRows(std::move(rows)).m_jobs.at(kJob);
  }

  TimePoint m_now{ seconds(1000) };
  NiceMock<MockJobEffects> m_effects;
  JobScheduler m_scheduler;
  HoldOrder m_take;
  HoldOrder m_watch;
  FencingToken m_fence = 1;
  bool m_inFlight = false;
  std::vector<RunName> m_started;
  std::map<std::string, RowWrite> m_stored;
  std::vector<RowWrite> m_writes;
  std::vector<RowKey> m_removals;
};

} // namespace

// Guards against a failed job that the next leader finds running and without
// the ends of its tasks.
TEST_F(EarlySegmentRemovalTest, SegmentsStayUntilTheEndOfTheJobIsStored)
{
  ASSERT_EQ(m_started.size(), 2U);
  StoreAll();
  // The commit that says that the first task is done is on its way.
  TellEnd(1, m_started[0], RunEnd::kDone, { m_started[1] });
  Pass();
  ASSERT_TRUE(m_inFlight);
  ASSERT_TRUE(CommitHasProgress());
  ASSERT_NO_FATAL_FAILURE(FailWhileManyJobsChange());
  Settle();
  Pass();
  int commits = 0;
  for (; !CommitHasProgress() && commits < 10; ++commits) {
    EXPECT_THAT(m_removals, testing::IsEmpty()) << "commit " << commits;
    Settle();
    Pass();
  }
  EXPECT_GT(commits, 0);
  EXPECT_TRUE(CommitHasProgress());
}

// Guards against a done task that the next leader starts again, because the
// segments went before the state.
TEST_F(EarlySegmentRemovalTest, NextLeaderKnowsThatTheFirstTaskIsDone)
{
  ASSERT_EQ(m_started.size(), 2U);
  StoreAll();
  TellEnd(1, m_started[0], RunEnd::kDone, { m_started[1] });
  Pass();
  ASSERT_NO_FATAL_FAILURE(FailWhileManyJobsChange());
  Settle();
  Pass();
  Settle(); // and here the leader is lost
  const StoredProgress progress = ReadStored();
  const bool isOver = progress.m_state == JobState::kFailed;
  const bool knowsDone = std::any_of(
    progress.m_tasks.begin(), progress.m_tasks.end(), [](const auto& aTask) {
      return aTask.m_task.m_state == TaskState::kDone;
    });
  EXPECT_TRUE(isOver || knowsDone)
    << "state " << static_cast<int>(progress.m_state) << ", "
    << progress.m_tasks.size() << " tasks";
}

} // namespace lycheestep
