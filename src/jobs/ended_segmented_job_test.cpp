// Tests of a cancelled job whose progress no longer fits into one row when its
// end is stored.
#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>

#include <gmock/gmock.h>

#include "job_cell_model.h"
#include "single_step_job.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kTasks = 24;
// Each of two targets has room for half of the tasks.
constexpr std::int64_t kTargetCapacity = 12000;

// A cell whose leader has stored the end of a cancelled job, the runs of which
// are still at work.
class EndedSegmentedJob : public testing::TestWithParam<std::size_t>
{
protected:
  EndedSegmentedJob()
    : m_cell(1, 2, Resources(kTargetCapacity, kTargetCapacity, 0, 0, 0))
  {
    m_cell.SetRowBytes(GetParam());
    m_cell.SetStopTime(milliseconds(900));
    JobSpec spec =
      MakeSingleStepJob(kTasks, Resources(1000, 1000, 0, 0, 0), seconds(60));
    spec.m_steps.front().m_checkpointing = true;
    const JobId job = m_cell.Submit(spec);
    m_cell.Run(seconds(4));
    EXPECT_EQ(RunsOnAll(), kTasks);
    // The stops of this leader have no effect on one of the targets.
    m_cell.Faults().m_refusedStops = 1;
    m_cell.Cancel(job);
    for (int i = 0; i < 50 && m_cell.StateOf(job) != JobState::kCancelled;
         ++i) {
      m_cell.Run(milliseconds(10));
    }
    EXPECT_EQ(m_cell.StateOf(job), JobState::kCancelled);
    EXPECT_EQ(RunsOnAll(), kTasks);
  }

  std::size_t RunsOnAll() const { return m_cell.RunsOn(0) + m_cell.RunsOn(1); }

  JobCellModel m_cell;
};

} // namespace

// Guards against an end of a job that is stored without the names of its runs,
// so that the next leader stops a run only once its target has listed it.
TEST_P(EndedSegmentedJob, NextLeaderKnowsTheRuns)
{
  std::ostringstream trace;
  m_cell.TraceTo(&trace);
  m_cell.ChangeLeader();
  m_cell.TraceTo(nullptr);
  EXPECT_THAT(trace.str(), testing::HasSubstr("ended-job-has-runs"));
  EXPECT_THAT(trace.str(),
              testing::HasSubstr("runs=" + std::to_string(kTasks)));
}

// Guards against a run that goes on as its target takes stops, but answers
// holds too late, so that the next leader never reads its list.
TEST_P(EndedSegmentedJob, NextLeaderStopsTheRunsOfTargetsThatListThemTooLate)
{
  m_cell.Faults().m_refusedStops = 0;
  m_cell.Faults().m_slowHold = seconds(10);
  m_cell.ChangeLeader();
  m_cell.Run(milliseconds(4500));
  EXPECT_EQ(RunsOnAll(), 0U);
}

// Guards against the same where the store takes only shorter rows since the
// runs were stored.
TEST(EndedSegmentedJobShorterRows, NextLeaderKnowsTheRuns)
{
  JobCellModel cell(1, 2, Resources(kTargetCapacity, kTargetCapacity, 0, 0, 0));
  cell.SetStopTime(milliseconds(900));
  const JobId job = cell.Submit(
    MakeSingleStepJob(kTasks, Resources(1000, 1000, 0, 0, 0), seconds(60)));
  cell.Run(seconds(4));
  EXPECT_EQ(cell.RunsOn(0) + cell.RunsOn(1), kTasks);
  cell.SetRowBytes(300);
  cell.Run(seconds(1));
  cell.Faults().m_refusedStops = 1;
  cell.Cancel(job);
  cell.Run(milliseconds(400));
  EXPECT_EQ(cell.StateOf(job), JobState::kCancelled);
  std::ostringstream trace;
  cell.TraceTo(&trace);
  cell.ChangeLeader();
  cell.TraceTo(nullptr);
  EXPECT_THAT(trace.str(), testing::HasSubstr("ended-job-has-runs"));
}

// The progress takes several rows from the beginning on, comes to do so with
// the checkpoints that the runs tell (two lengths), or takes one.
INSTANTIATE_TEST_SUITE_P(RowBytes,
                         EndedSegmentedJob,
                         testing::Values(300, 600, 1000, 65536));

} // namespace lycheestep
