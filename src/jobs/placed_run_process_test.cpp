// Guards against two runs of a task when the target on which it was placed has
// a new process by the time the dispatch is stored: what a next leader has
// proved of the former process does not hold for that one.
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
class PlacedRunProcessTest : public testing::Test
{
protected:
  PlacedRunProcessTest()
    : m_manager(TargetManagerSettings(), m_effects, m_listener)
  {
    ON_CALL(m_effects, Hold(_, _))
      .WillByDefault([this](const HoldOrder& aOrder, HoldPath aPath) {
        m_holds[aPath] = aOrder;
      });
    TargetRecord record;
    record.m_target = m_target;
    record.m_address = ModelAddress(1);
    record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    record.m_started = WallTime(1000);
    m_manager.SetFencingToken(5);
    m_manager.SetFormerLeaseExpiry(m_now);
    m_manager.OnTargetListed(record, m_now);
    Pass();
    Answer(HoldPath::kOrders, 1000);
    m_manager.Reserve(m_target, m_run, Resources(1, 1, 0, 0, 0), seconds(1));
  }

  void Pass()
  {
    m_now += milliseconds(10);
    m_manager.Tick(m_now);
  }

  // The process that started at aStarted lists nothing.
  void Answer(HoldPath aPath, std::int64_t aStarted)
  {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_started = WallTime(aStarted);
    answer.m_targetClock = TargetTime(100);
    m_manager.OnHoldAnswer(m_holds.at(aPath), aPath, answer, m_now);
    Pass();
  }

  bool Send() { return m_manager.Send(m_target, m_run, "", "", "", m_now); }

  const TargetId m_target{ "t" };
  const RunName m_run{ TaskName{ StepName{ JobId("a"), 0, 0 }, 0 }, 1 };
  NiceMock<MockJobEffects> m_effects;
  NiceMock<MockRunListener> m_listener;
  TargetManager m_manager;
  TimePoint m_now{ seconds(1000) };
  std::map<HoldPath, HoldOrder> m_holds;
};

} // namespace

TEST_F(PlacedRunProcessTest, RunIsSentToTheProcessThatItWasPlacedOn)
{
  EXPECT_CALL(m_effects, Start(_)).Times(1);
  EXPECT_TRUE(Send());
}

TEST_F(PlacedRunProcessTest, RunIsSentToNoOtherProcess)
{
  Answer(HoldPath::kWatch, 2000);
  Answer(HoldPath::kOrders, 2000);
  ASSERT_EQ(m_manager.Find(m_target)->m_phase, TargetPhase::kHeld);
  EXPECT_CALL(m_effects, Start(_)).Times(0);
  EXPECT_FALSE(Send());
  EXPECT_EQ(m_manager.Find(m_target)->m_runs.size(), 0U);
}

} // namespace lycheestep
