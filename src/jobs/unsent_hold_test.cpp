// Guards against run ends that a target lists for good: a hold that was made
// for its former process and so was not sent let the next one forget nothing.
#include "target_manager.h"

#include <chrono>
#include <cstdint>
#include <map>

#include <gmock/gmock.h>

#include "mock_job_effects.h"
#include "mock_run_listener.h"
#include "model_address.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::NiceMock;

// A leader of one target, whose holds the test answers.
class UnsentHoldTest : public testing::Test
{
protected:
  UnsentHoldTest()
    : m_manager(TargetManagerSettings(), m_effects, m_listener)
  {
    ON_CALL(m_effects, Hold(_, _))
      .WillByDefault([this](const HoldOrder& aOrder, HoldPath aPath) {
        m_holds[aPath] = aOrder;
      });
    m_manager.SetFencingToken(5);
    m_manager.SetFormerLeaseExpiry(m_now);
    ListProcess(1000);
    Pass();
  }

  // The platform's list names the process that started at aStarted.
  void ListProcess(std::int64_t aStarted)
  {
    TargetRecord record;
    record.m_target = TargetId("t");
    record.m_address = ModelAddress(1);
    record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    record.m_started = WallTime(aStarted);
    m_manager.OnTargetListed(record, m_now);
  }

  void Pass()
  {
    m_now += milliseconds(10);
    m_manager.Tick(m_now);
  }

  // The process that started at aStarted lists the first aEnds run ends, and
  // all that the leader learns is stored.
  void Answer(HoldPath aPath, std::int64_t aStarted, std::uint32_t aEnds)
  {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_started = WallTime(aStarted);
    answer.m_targetClock = TargetTime(100);
    for (std::uint32_t number = 1; number <= aEnds; ++number) {
      EndedTask end;
      end.m_number = number;
      end.m_run.m_task.m_index = number;
      answer.m_ended.push_back(end);
    }
    m_manager.OnHoldAnswer(m_holds.at(aPath), aPath, answer, m_now);
    m_manager.NoteCommitBegun();
    m_manager.NoteCommitDone();
    Pass();
  }

  NiceMock<MockJobEffects> m_effects;
  NiceMock<MockRunListener> m_listener;
  TargetManager m_manager;
  TimePoint m_now{ seconds(1000) };
  std::map<HoldPath, HoldOrder> m_holds;
};

} // namespace

TEST_F(UnsentHoldTest, EndsOfTheNextProcessAreForgottenAllTheSame)
{
  Answer(HoldPath::kOrders, 1000, 5);
  ASSERT_EQ(m_holds.at(HoldPath::kWatch).m_forgetEnds, 5U);
  ListProcess(2000);
  Pass();
  Answer(HoldPath::kWatch, 2000, 0);
  Answer(HoldPath::kOrders, 2000, 2);
  EXPECT_EQ(m_holds.at(HoldPath::kWatch).m_to.m_started, WallTime(2000));
  EXPECT_EQ(m_holds.at(HoldPath::kWatch).m_forgetEnds, 2U);
}

TEST_F(UnsentHoldTest, HoldThatWasNotSentTakesNoTarget)
{
  ListProcess(2000);
  Answer(HoldPath::kOrders, 2000, 0);
  EXPECT_NE(m_manager.Find(TargetId("t"))->m_phase, TargetPhase::kHeld);
}

} // namespace lycheestep
