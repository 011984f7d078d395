// Tests of when starts that have not left for their target are withdrawn.
#include "target_manager.h"

#include <chrono>
#include <optional>

#include <gmock/gmock.h>

#include "mock_job_effects.h"
#include "mock_run_listener.h"
#include "model_address.h"
#include "single_step_job.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::Field;
using testing::NiceMock;

// A target that was taken and whose start of run 0 is on its way.
class WithdrawnStartTest : public testing::Test
{
protected:
  WithdrawnStartTest()
    : m_manager(TargetManagerSettings(), m_effects, m_listener)
  {
    m_record.m_target = TargetId("t");
    m_record.m_address = ModelAddress(1);
    m_record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    m_record.m_started = WallTime(1000);
    ON_CALL(m_effects, Start(_))
      .WillByDefault([this](const StartOrder& aOrder) { m_start = aOrder; });
    ON_CALL(m_effects, Hold(_, HoldPath::kOrders))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_take = aOrder; });
    m_manager.SetFencingToken(5);
    m_manager.OnTargetListed(m_record, m_now);
    m_manager.Tick(m_now);
    HoldAnswer taken;
    taken.m_status = OrderStatus::kDone;
    taken.m_targetClock = TargetTime(100);
    taken.m_started = m_record.m_started;
    m_manager.OnHoldAnswer(m_take, HoldPath::kOrders, taken, m_now);
    SendRun(0);
  }

  void SendRun(std::uint32_t aIndex)
  {
    const RunName run = MakeRun(aIndex);
    m_manager.Reserve(
      m_record.m_target, run, Resources(100, 100, 0, 0, 0), seconds(1));
    ASSERT_TRUE(m_manager.Send(m_record.m_target, run, "", "", "", m_now));
  }

  void AnswerStart(OrderStatus aStatus)
  {
    OrderAnswer answer;
    answer.m_status = aStatus;
    m_manager.OnStartAnswer(m_start, answer, m_now);
  }

  void ExpectAllWithdrawn()
  {
    EXPECT_CALL(
      m_effects,
      Withdraw(Field(&WithdrawOrder::m_run, std::optional<RunName>())))
      .Times(1);
  }

  TimePoint m_now{ seconds(1000) };
  TargetRecord m_record;
  NiceMock<MockJobEffects> m_effects;
  NiceMock<MockRunListener> m_listener;
  StartOrder m_start;
  HoldOrder m_take;
  TargetManager m_manager;
};

} // namespace

TEST_F(WithdrawnStartTest, TargetThatBeginsToDrainGetsNoStartThatWaits)
{
  ExpectAllWithdrawn();
  m_record.m_draining = true;
  m_manager.OnTargetListed(m_record, m_now);
  m_manager.OnTargetListed(m_record, m_now);
}

TEST_F(WithdrawnStartTest, TargetThatLeavesTheListGetsNoStartThatWaits)
{
  ExpectAllWithdrawn();
  m_manager.OnTargetUnlisted(m_record.m_target, m_now);
}

TEST_F(WithdrawnStartTest, StartForAFormerLifeDoesNotReachTheNextOne)
{
  ExpectAllWithdrawn();
  m_record.m_started = WallTime(2000);
  m_manager.OnTargetListed(m_record, m_now);
}

TEST_F(WithdrawnStartTest, StartsBehindARefusedOneAreDecidedAnew)
{
  SendRun(1);
  ExpectAllWithdrawn();
  AnswerStart(OrderStatus::kNoRoom);
}

TEST_F(WithdrawnStartTest, StopBeforeTheTargetIsTakenAnewWithdrawsTheStart)
{
  AnswerStart(OrderStatus::kUnknown);
  EXPECT_CALL(m_effects, Stop(_)).Times(0);
  EXPECT_CALL(m_effects, Withdraw(Field(&WithdrawOrder::m_run, MakeRun(0))));
  m_manager.Stop(m_record.m_target, MakeRun(0), m_now);
}

TEST_F(WithdrawnStartTest, ConfirmedRunHasNoStartToWithdraw)
{
  AnswerStart(OrderStatus::kDone);
  EXPECT_CALL(m_effects, Withdraw(_)).Times(0);
  m_record.m_draining = true;
  m_manager.OnTargetListed(m_record, m_now);
  m_manager.Stop(m_record.m_target, MakeRun(0), m_now);
}

TEST_F(WithdrawnStartTest, WithdrawnRunIsPlacedAgainAndTheTargetNotQuarantined)
{
  EXPECT_CALL(
    m_listener,
    OnRunLost(m_record.m_target, MakeRun(0), OrderStatus::kWithdrawn));
  AnswerStart(OrderStatus::kWithdrawn);
  const TargetState* target = m_manager.Find(m_record.m_target);
  ASSERT_NE(target, nullptr);
  EXPECT_TRUE(target->TakesWork(m_now));
  EXPECT_TRUE(target->m_runs.empty());
}

// Guards against starts that wait behind others for longer than their lease,
// and are placed again at the end of the same queue without end.
TEST_F(WithdrawnStartTest, TargetWhoseStartsOutliveTheirLeaseRests)
{
  AnswerStart(OrderStatus::kLeaseOver);
  const TargetState* target = m_manager.Find(m_record.m_target);
  ASSERT_NE(target, nullptr);
  EXPECT_TRUE(target->m_runs.empty());
  EXPECT_FALSE(target->TakesWork(m_now));
  EXPECT_TRUE(target->TakesWork(m_now + seconds(1)));
}

// Guards against work that waits beside a target that takes starts again: it
// counts as lost after 3 s.
TEST_F(WithdrawnStartTest, TargetThatRefusedManyStartsSoonGetsAnother)
{
  constexpr Duration kLongestWait = seconds(3);
  const TargetState* target = m_manager.Find(m_record.m_target);
  ASSERT_NE(target, nullptr);
  AnswerStart(OrderStatus::kUnhealthy);
  for (std::uint32_t run = 1; run < 12; ++run) {
    ASSERT_TRUE(target->TakesWork(m_now + kLongestWait)) << "after " << run;
    m_now += kLongestWait;
    SendRun(run);
    AnswerStart(OrderStatus::kUnhealthy);
  }
}

} // namespace lycheestep
