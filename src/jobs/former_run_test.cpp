// A test of the end of an old run of a removed job, which is listed when the
// next job under its id has come to a higher run number.
#include <chrono>

#include <gmock/gmock.h>

#include "job_cell_model.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobSpec MakeJob(Duration aEstimate)
{
  JobSpec spec;
  spec.m_payload = "plan";
  spec.m_steps.resize(1);
  spec.m_steps[0].m_count = 1;
  spec.m_steps[0].m_demand = Resources(1000, 256, 0, 0, 0);
  spec.m_steps[0].m_estimate = aEstimate;
  return spec;
}

} // namespace

// Guards against a job that is shown as done because a former job was.
TEST(FormerRun, EndOfAnOlderRunOfAFormerJobDoesNotFinishItsNamesake)
{
  JobCellModel cell(1, 2);
  cell.Run(milliseconds(200));
  const JobId job = cell.Submit(MakeJob(seconds(3)));
  cell.Run(seconds(1));
  ASSERT_EQ(cell.Starts(), 1U);
  const std::size_t former = cell.TargetOfNewestStart();
  cell.CutTarget(former, true);
  cell.Cancel(job);
  cell.Run(seconds(200));
  cell.SubmitAgain(job, MakeJob(seconds(60)));
  cell.Run(seconds(2));
  ASSERT_EQ(cell.Starts(), 2U);
  cell.RestartTarget(1 - former);
  cell.Run(seconds(14));
  cell.CutTarget(former, false);
  cell.Run(seconds(5));
  EXPECT_NE(cell.StateOf(job), JobState::kDone);
}

} // namespace lycheestep
