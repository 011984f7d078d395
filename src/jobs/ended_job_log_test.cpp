// Tests of what a new leader logs about jobs that are over.
#include <chrono>
#include <sstream>

#include <gmock/gmock.h>

#include "job_cell_model.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobSpec MakeLongJob()
{
  JobStep step;
  step.m_count = 2;
  step.m_demand = Resources(1000, 1024, 0, 0, 0);
  step.m_estimate = seconds(60);
  JobSpec spec;
  spec.m_payload = "plan";
  spec.m_steps = { step };
  return spec;
}

} // namespace

// Guards against a log of a new leader that does not name a cancelled job whose
// runs it has to stop.
TEST(EndedJobLog, NewLeaderNamesEndedJobsThatMayHaveRuns)
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

TEST(EndedJobLog, NewLeaderIsSilentOnEndedJobsWithoutRuns)
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
