// Tests of targets that a leader knows from an earlier one and that start again
// under their ids.
#include <chrono>
#include <cstddef>
#include <cstdint>

#include <gmock/gmock.h>

#include "job_cell_model.h"
#include "mock_job_effects.h"
#include "mock_run_listener.h"
#include "model_address.h"
#include "single_step_job.h"
#include "target_manager.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::NiceMock;

constexpr std::size_t kTargets = 4;

// A target that its leader knows from an earlier one, and has taken.
class RememberedTargetTest : public testing::Test
{
protected:
  RememberedTargetTest()
    : m_manager(TargetManagerSettings(), m_effects, m_listener)
  {
    m_record.m_target = TargetId("t");
    m_record.m_address = ModelAddress(1);
    m_record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    ON_CALL(m_effects, Hold(_, _))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_hold = aOrder; });
    m_manager.SetFencingToken(5);
    m_manager.SetFormerLeaseExpiry(m_now + seconds(9));
    m_manager.OnTargetRemembered(AddressOf(m_record));
    m_manager.ExpectRun(
      m_record.m_target, RunName(), Resources(100, 100, 0, 0, 0), seconds(9));
    m_manager.Tick(m_now);
    HoldAnswer answer = MakeAnswer(WallTime(1000));
    answer.m_running.emplace_back();
    answer.m_ended.emplace_back();
    answer.m_ended.front().m_number = 7;
    answer.m_ended.front().m_run.m_run = 3;
    m_manager.OnHoldAnswer(m_hold, HoldPath::kOrders, answer, m_now);
  }

  static HoldAnswer MakeAnswer(WallTime aStarted)
  {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_started = aStarted;
    answer.m_targetClock = TargetTime(500000);
    return answer;
  }

  const TargetState& Target() const
  {
    return *m_manager.Find(m_record.m_target);
  }

  TimePoint m_now{ seconds(1000) };
  TargetRecord m_record;
  NiceMock<MockJobEffects> m_effects;
  NiceMock<MockRunListener> m_listener;
  TargetManager m_manager;
  HoldOrder m_hold;
};

JobSpec MakeJob(std::uint32_t aTasks, Duration aTime)
{
  return MakeSingleStepJob(aTasks, Resources(2000, 1024, 0, 0, 0), aTime);
}

class RememberedTargetCellTest : public testing::TestWithParam<std::uint32_t>
{};

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RememberedTargetCellTest,
                         testing::Range(1U, 21U));

} // namespace

// Guards against ends of the new life that count as those of the former one.
TEST_F(RememberedTargetTest, NextLifeInTheListIsTakenAnew)
{
  ASSERT_EQ(Target().m_phase, TargetPhase::kHeld);
  m_record.m_started = WallTime(2000);
  m_manager.OnTargetListed(m_record, m_now);
  EXPECT_EQ(Target().m_phase, TargetPhase::kUntaken);
  EXPECT_EQ(Target().m_lastEndSeen, 0U);
  EXPECT_FALSE(Target().m_clockKnown);
}

TEST_F(RememberedTargetTest, NextLifeThatAnswersIsTakenAnew)
{
  m_manager.Tick(m_now);
  m_manager.OnHoldAnswer(
    m_hold, HoldPath::kWatch, MakeAnswer(WallTime(2000)), m_now);
  EXPECT_EQ(Target().m_phase, TargetPhase::kUntaken);
  EXPECT_EQ(Target().m_lastEndSeen, 0U);
}

// Guards against a target that is never used again after its wall clock was set
// back.
TEST_F(RememberedTargetTest,
       EarlierStartInTheListIsOfTheNextLifeOfASilentTarget)
{
  m_manager.Tick(m_now);
  m_manager.OnHoldAnswer(m_hold, HoldPath::kWatch, HoldAnswer(), m_now);
  m_record.m_started = WallTime(500);
  m_manager.OnTargetListed(m_record, m_now);
  EXPECT_EQ(Target().m_record.m_started, WallTime(500));
  EXPECT_EQ(Target().m_phase, TargetPhase::kUntaken);
}

// Guards against a run that is given up while it works, as its start waited on
// its way and reached the next life of its target.
TEST_F(RememberedTargetTest, LongestLeaseOfAStartCountsFromItsAnswer)
{
  const RunName run{ TaskName{ StepName{ JobId("a"), 0, 0 }, 0 }, 1 };
  StartOrder start;
  ON_CALL(m_effects, Start(_))
    .WillByDefault([&start](const StartOrder& aOrder) { start = aOrder; });
  m_record.m_started = WallTime(1000);
  m_manager.OnTargetListed(m_record, m_now);
  m_manager.Reserve(
    m_record.m_target, run, Resources(100, 100, 0, 0, 0), seconds(9));
  ASSERT_TRUE(m_manager.Send(m_record.m_target, run, "", "", "", m_now));
  m_now += milliseconds(2600);
  OrderAnswer answer;
  answer.m_status = OrderStatus::kDone;
  m_manager.OnStartAnswer(start, answer, m_now);
  EXPECT_GE(Target().LeaseExpiry(),
            m_now + TargetManagerSettings().m_longestLease);
}

// Guards against jobs that never end because ends of the new life are ignored.
TEST_P(RememberedTargetCellTest, JobsEndThoughTargetsStartAgain)
{
  JobCellModel cell(GetParam(), kTargets);
  cell.Run(milliseconds(300));
  cell.Submit(MakeJob(8, seconds(30)));
  cell.Run(seconds(1));
  for (int i = 0; i < 12; ++i) {
    cell.Submit(MakeJob(4, milliseconds(1500)));
  }
  cell.Run(milliseconds(500));
  for (std::size_t i = 0; i < kTargets; ++i) {
    cell.HideTargetRow(i, true);
  }
  cell.Run(milliseconds(100));
  cell.ChangeLeader();
  cell.Run(milliseconds(3500));
  for (std::size_t i = 0; i < kTargets; ++i) {
    cell.RestartTarget(i);
    cell.HideTargetRow(i, false);
  }
  for (int i = 0; i < 12; ++i) {
    cell.Submit(MakeJob(4, milliseconds(700)));
  }
  cell.Run(seconds(90));
  EXPECT_THAT(cell.Broken(), testing::IsEmpty());
  EXPECT_TRUE(cell.AllOver());
}

} // namespace lycheestep
