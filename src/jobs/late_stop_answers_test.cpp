// Guards against stops that leave too late, as a leader has only so many of
// them under way to one target.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A cell with a target that carries out stops at once, and answers them too
// late. A leader has 16 stops under way to a target at a time.
class LateStopAnswers : public testing::Test
{
protected:
  LateStopAnswers()
    : m_cell(1, 2)
  {
    if (std::getenv("LYCHEESTEP_TRACE") != nullptr) {
      m_cell.TraceTo(&std::cout);
    }
    m_cell.EnableCalmCheck();
    m_cell.Faults().m_runsFailByChance = false;
    m_cell.Faults().m_slowStop = seconds(1);
    m_cell.SetStopTime(milliseconds(900));
    m_cell.Run(milliseconds(200));
    m_job = m_cell.Submit(
      MakeSingleStepJob(120, Resources(500, 1024, 0, 0, 0), seconds(60)));
    m_cell.Run(seconds(2));
    EXPECT_GE(m_cell.RunsOn(1), 50U);
  }

  void ExpectStoppedInTime()
  {
    m_cell.Run(seconds(10));
    EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
    EXPECT_TRUE(m_cell.AllOver());
  }

  JobCellModel m_cell;
  JobId m_job;
};

} // namespace

TEST_F(LateStopAnswers, DelayNoStopsOfTheNextLeader)
{
  m_cell.LeaveLeadVacant(seconds(1));
  m_cell.Cancel(m_job);
  ExpectStoppedInTime();
}

} // namespace lycheestep
