// Tests of what a new leader knows, does and logs about jobs that are over.
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

JobSpec MakeLongJob(std::uint32_t aTasks = 2)
{
  return MakeSingleStepJob(aTasks, Resources(100, 100, 0, 0, 0), seconds(60));
}

// Runs a job, cancels it and lets all its runs end. Returns what the leader
// logs in the second after a change of the lead.
std::string TraceAfterEndedJob(JobCellModel& aCell, std::uint32_t aTasks)
{
  const JobId job = aCell.Submit(MakeLongJob(aTasks));
  aCell.Run(seconds(4));
  EXPECT_EQ(aCell.RunsOn(0) + aCell.RunsOn(1), aTasks);
  aCell.Cancel(job);
  aCell.Run(seconds(1));
  EXPECT_EQ(aCell.RunsOn(0) + aCell.RunsOn(1), 0U);
  std::ostringstream trace;
  aCell.TraceTo(&trace);
  aCell.ChangeLeader();
  aCell.Run(seconds(1));
  aCell.TraceTo(nullptr);
  return trace.str();
}

} // namespace

// Guards against stops of runs that have ended, behind which others wait.
TEST(EndedJob, NewLeaderStopsNoRunThatHasEnded)
{
  JobCellModel cell(1, 2);
  EXPECT_THAT(TraceAfterEndedJob(cell, 10),
              testing::Not(testing::HasSubstr("stop-requested")));
}

TEST(EndedJob, NewLeaderStopsNoRunOfALargeJobThatHasEnded)
{
  JobCellModel cell(1, 2);
  cell.SetRowBytes(1000);
  EXPECT_THAT(TraceAfterEndedJob(cell, 100),
              testing::Not(testing::HasSubstr("stop-requested")));
}

// Guards against a log of a new leader that does not name a cancelled job whose
// runs it has to stop.
TEST(EndedJob, NewLeaderNamesEndedJobsThatMayHaveRuns)
{
  JobCellModel cell(1, 2);
  const JobId job = cell.Submit(MakeLongJob());
  cell.Run(seconds(2));
  cell.Cancel(job);
  while (cell.StateOf(job) != JobState::kCancelled) {
    cell.Run(milliseconds(10));
  }
  std::ostringstream trace;
  cell.TraceTo(&trace);
  cell.ChangeLeader();
  EXPECT_THAT(trace.str(),
              testing::HasSubstr("ended-job-has-runs job=" + job.Text() +
                                 " state=4 runs=2"));
}

TEST(EndedJob, NewLeaderIsSilentOnEndedJobsWithoutRuns)
{
  JobCellModel cell(1, 2);
  const JobId job = cell.Submit(MakeLongJob());
  cell.Cancel(job);
  cell.Run(seconds(2));
  std::ostringstream trace;
  cell.TraceTo(&trace);
  cell.ChangeLeader();
  EXPECT_THAT(trace.str(), testing::Not(testing::HasSubstr("ended-job")));
}

} // namespace lycheestep
