#ifndef LYCHEESTEP_SEGMENTED_JOB_FIXTURE_H
#define LYCHEESTEP_SEGMENTED_JOB_FIXTURE_H

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gmock/gmock.h>

#include "job_rows.h"
#include "job_scheduler.h"
#include "mock_job_effects.h"
#include "model_address.h"
#include "progress_rows.h"

namespace lycheestep {

// A scheduler with one target and one job that all runs on it. Rows are so
// short that the job takes segments. The test decides when a commit is done,
// and reads what a new leader would.
class SegmentedJobFixture : public testing::Test
{
protected:
  // The job has aTasks tasks in each of aOccurrences occurrences, which are all
  // due, and values of rows are at most aValueBytes long.
  SegmentedJobFixture(std::uint32_t aTasks,
                      std::size_t aValueBytes,
                      std::uint32_t aOccurrences = 1)
    : m_scheduler(WithValueBytes(aValueBytes), m_effects)
  {
    ON_CALL(m_effects, Hold(testing::_, HoldPath::kOrders))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_take = aOrder; });
    ON_CALL(m_effects, Hold(testing::_, HoldPath::kWatch))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_watch = aOrder; });
    ON_CALL(m_effects, Start(testing::_))
      .WillByDefault([this](const StartOrder& aOrder) {
        m_started.push_back(aOrder.m_run);
      });
    ON_CALL(m_effects, Commit(testing::_, testing::_))
      .WillByDefault([this](const std::vector<RowWrite>& aWrites,
                            const std::vector<RowKey>& aRemovals) {
        m_writes = aWrites;
        m_removals = aRemovals;
        m_inFlight = true;
      });
    m_scheduler.OnCommitted(1, std::chrono::seconds(5000), m_now);
    TargetRecord record;
    record.m_target = TargetId(std::string(60, 't'));
    record.m_address = ModelAddress(1);
    record.m_started = WallTime(1000);
    record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    m_scheduler.OnTargetRecord(record, m_now);
    Pass();
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = TargetTime(100);
    m_scheduler.OnHoldAnswer(m_take, HoldPath::kOrders, answer, m_now);
    AddJob(m_job, aTasks, aOccurrences);
    for (int i = 0; i < 20 && m_started.size() < aTasks * aOccurrences; ++i) {
      Pass();
      Settle();
    }
  }

  static JobSchedulerSettings WithValueBytes(std::size_t aBytes)
  {
    JobSchedulerSettings settings;
    settings.m_valueBytes = aBytes;
    return settings;
  }

  void AddJob(const JobId& aJob,
              std::uint32_t aTasks,
              std::uint32_t aOccurrences = 1)
  {
    StoredJob job;
    job.m_spec.m_steps.resize(1);
    job.m_spec.m_steps[0].m_count = aTasks;
    job.m_spec.m_steps[0].m_demand = Resources(100, 100, 0, 0, 0);
    job.m_spec.m_steps[0].m_estimate = std::chrono::seconds(1);
    if (aOccurrences > 1) {
      job.m_spec.m_occurrences = aOccurrences;
      job.m_spec.m_interval = WallTime(1);
    }
    m_scheduler.OnJob(aJob, job, 0, m_now);
  }

  void Pass()
  {
    m_now += std::chrono::milliseconds(100);
    m_scheduler.SetTime(m_now, WallTime(1000));
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
      m_scheduler.OnCommitted(++m_fence, std::chrono::seconds(5001), m_now);
    }
  }

  // The target reports these ends, and which runs are at work.
  void TellEnds(const std::vector<EndedTask>& aEnded,
                const std::vector<RunName>& aRunning)
  {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = TargetTime(ToMilliseconds(m_now - TimePoint()));
    answer.m_ended = aEnded;
    for (const RunName& run : aRunning) {
      RunningTask task;
      task.m_run = run;
      answer.m_running.push_back(task);
    }
    m_scheduler.OnHoldAnswer(m_watch, HoldPath::kWatch, answer, m_now);
  }

  void TellEnd(std::uint64_t aNumber,
               const RunName& aRun,
               RunEnd aEnd,
               const std::vector<RunName>& aRunning)
  {
    TellEnds({ EndedTask{ aNumber, aRun, aEnd, "" } }, aRunning);
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

  // Callers submit and cancel so many other jobs that their rows take more than
  // one commit.
  void CancelManyJobs()
  {
    constexpr int kOtherJobs = 120;
    for (int i = 0; i < kOtherJobs; ++i) {
      const JobId other("other" + std::to_string(m_otherJobs));
      ++m_otherJobs;
      AddJob(other, 1);
      m_scheduler.OnCancel(other, m_now);
    }
  }

  // Returns true if the commit on its way has the job's progress row.
  bool CommitHasProgress() const
  {
    return std::any_of(
      m_writes.begin(), m_writes.end(), [this](const RowWrite& aWrite) {
        return aWrite.m_key.m_table == kProgressTable &&
               aWrite.m_key.m_key == m_job.Text();
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
    return ReadProgressRows(std::move(rows)).m_jobs.at(m_job);
  }

  const JobId m_job{ "a" };
  int m_otherJobs = 0;
  TimePoint m_now{ std::chrono::seconds(1000) };
  testing::NiceMock<MockJobEffects> m_effects;
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

} // namespace lycheestep

#endif
