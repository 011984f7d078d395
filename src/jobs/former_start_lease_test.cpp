// Guards against two runs of a task after a change of the lead: a start that
// reached the next process of its target holds for the longest lease there,
// and not for the lease that the former leader asked for.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <gmock/gmock.h>

namespace lycheestep {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(FormerStartLease, StartThatReachedTheNextProcessOutlivesItsLeader)
{
  JobCellModel cell(3, 2);
  cell.Faults().m_slowList = seconds(20);
  cell.Run(milliseconds(500));
  cell.CutTarget(0, true);
  cell.Run(milliseconds(20));
  cell.RestartTarget(0);
  cell.Run(milliseconds(310));
  cell.CutTarget(0, false);
  cell.Submit(
    MakeSingleStepJob(6, Resources(4000, 4096, 0, 0, 0), seconds(20)));
  cell.Run(milliseconds(100));
  cell.CutTarget(0, true);
  cell.ChangeLeader();
  cell.Run(seconds(90));
  EXPECT_THAT(cell.Broken(), testing::IsEmpty());
}

} // namespace lycheestep
