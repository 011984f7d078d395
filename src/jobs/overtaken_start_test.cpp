// Guards against two runs of a task when a leader that was overtaken sends a
// start to a process that came back under its target's id and knows no token.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <gmock/gmock.h>

namespace lycheestep {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(OvertakenStart, StartOfAnOvertakenLeaderOnANewProcessIsNoSecondRun)
{
  JobCellModel cell(3, 2);
  cell.Faults().m_slowList = seconds(20);
  cell.Run(milliseconds(500));
  cell.Submit(
    MakeSingleStepJob(6, Resources(4000, 4096, 0, 0, 0), seconds(20)));
  cell.Run(milliseconds(20));
  cell.DrainTarget(0);
  cell.OvertakeLeader(milliseconds(700));
  cell.Run(milliseconds(400));
  cell.RestartTarget(0);
  cell.Run(seconds(60));
  EXPECT_THAT(cell.Broken(), testing::IsEmpty());
}

} // namespace lycheestep
