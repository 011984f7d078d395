// Tests of targets on whose machine the platform's list has a new target.
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <gmock/gmock.h>

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

constexpr std::uint32_t kRuns = 2;

// A target that is taken and has runs, and the next one on its machine.
class ReplacedTargetTest : public testing::Test
{
protected:
  ReplacedTargetTest()
    : m_manager(TargetManagerSettings(), m_effects, m_listener)
  {
    m_record.m_target = TargetId("t");
    m_record.m_address = ModelAddress(1);
    m_record.m_machine = MachineName("machine");
    m_record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    m_record.m_started = WallTime(1000);
    m_next = m_record;
    m_next.m_target = TargetId("next");
    m_next.m_address = ModelAddress(2);
    m_next.m_started = WallTime(2000);
    ON_CALL(m_effects, Stop(_)).WillByDefault([this](const StopOrder& aOrder) {
      m_stops.push_back(aOrder);
    });
    ON_CALL(m_effects, Hold(_, HoldPath::kOrders))
      .WillByDefault([this](const HoldOrder& aOrder, HoldPath) {
        m_takes[aOrder.m_to.m_target] = aOrder;
      });
    ON_CALL(m_effects, Hold(_, HoldPath::kWatch))
      .WillByDefault([this](const HoldOrder& aOrder, HoldPath) {
        m_watches[aOrder.m_to.m_target] = aOrder;
      });
    m_manager.SetFencingToken(5);
    m_manager.SetFormerLeaseExpiry(m_now + seconds(9));
    m_manager.OnTargetListed(m_record, m_now);
    for (std::uint32_t i = 0; i < kRuns; ++i) {
      m_manager.ExpectRun(m_record.m_target,
                          MakeRun(i),
                          Resources(100, 100, 0, 0, 0),
                          seconds(9));
    }
    Pass(milliseconds(10));
    AnswerTakeWithAllRuns();
  }

  void Pass(Duration aTime)
  {
    m_now += aTime;
    m_manager.Tick(m_now);
  }

  // Answers the newest hold that takes the former target.
  void AnswerTakeWithAllRuns()
  {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_started = m_record.m_started;
    answer.m_targetClock = TargetTime(100);
    for (std::uint32_t i = 0; i < kRuns; ++i) {
      RunningTask task;
      task.m_run = MakeRun(i);
      answer.m_running.push_back(task);
    }
    m_manager.OnHoldAnswer(
      m_takes.at(m_record.m_target), HoldPath::kOrders, answer, m_now);
  }

  // The list has the next target, which is taken.
  void BeginNext()
  {
    m_manager.OnTargetListed(m_next, m_now);
    Pass(milliseconds(10));
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_started = m_next.m_started;
    answer.m_targetClock = TargetTime(100);
    m_manager.OnHoldAnswer(
      m_takes.at(m_next.m_target), HoldPath::kOrders, answer, m_now);
  }

  // The newest watching hold to the former target fails.
  void FailWatch(OrderStatus aStatus)
  {
    HoldAnswer answer;
    answer.m_status = aStatus;
    m_manager.OnHoldAnswer(
      m_watches.at(m_record.m_target), HoldPath::kWatch, answer, m_now);
  }

  const TargetState& Former() const
  {
    return *m_manager.Find(m_record.m_target);
  }

  TimePoint m_now{ seconds(1000) };
  TargetRecord m_record;
  TargetRecord m_next;
  NiceMock<MockJobEffects> m_effects;
  NiceMock<MockRunListener> m_listener;
  TargetManager m_manager;
  std::vector<StopOrder> m_stops;
  std::map<TargetId, HoldOrder> m_takes;
  std::map<TargetId, HoldOrder> m_watches;
};

} // namespace

// Guards against runs that are given up, and begun elsewhere, although their
// target lives.
TEST_F(ReplacedTargetTest, RunsGoOnIfTheTargetLives)
{
  EXPECT_CALL(m_listener, OnRunLost(_, _, _)).Times(0);
  EXPECT_CALL(m_listener, OnRunProgress(m_record.m_target, _, _)).Times(kRuns);
  BeginNext();
  m_manager.SetFencingToken(6);
  Pass(milliseconds(10));
  AnswerTakeWithAllRuns();
  Pass(milliseconds(10));
  EXPECT_TRUE(m_stops.empty());
  // The lease goes on as well.
  EXPECT_GT(m_watches.at(m_record.m_target).m_leaseEnd, TargetTime(7000));
}

TEST_F(ReplacedTargetTest, RunsGoOnAlsoWhenTheListChanges)
{
  EXPECT_CALL(m_listener, OnRunLost(_, _, _)).Times(0);
  BeginNext();
  m_next.m_draining = true;
  m_manager.OnTargetListed(m_next, m_now);
  m_manager.OnTargetUnlisted(m_next.m_target, m_now);
  Pass(milliseconds(10));
  EXPECT_TRUE(m_stops.empty());
}

// Guards against a replaced target that lives, writes its row and gets work.
TEST_F(ReplacedTargetTest, TargetThatIsListedAgainGetsNoWork)
{
  ASSERT_TRUE(Former().TakesWork(m_now));
  BeginNext();
  EXPECT_FALSE(Former().TakesWork(m_now));
  m_manager.OnTargetListed(m_record, m_now);
  AnswerTakeWithAllRuns();
  Pass(milliseconds(10));
  EXPECT_FALSE(Former().TakesWork(m_now));
  EXPECT_TRUE(m_stops.empty());
}

// Guards against capacity that is out of use because of an entry of another
// writer.
TEST_F(ReplacedTargetTest, EntryWithoutATargetBehindItReplacesNone)
{
  m_manager.OnTargetListed(m_next, m_now);
  Pass(milliseconds(10));
  EXPECT_TRUE(Former().TakesWork(m_now));
}

TEST_F(ReplacedTargetTest, TargetTakesWorkAgainWhenTheNextOneHasLeft)
{
  BeginNext();
  m_manager.OnTargetUnlisted(m_next.m_target, m_now);
  EXPECT_TRUE(Former().TakesWork(m_now));
}

TEST_F(ReplacedTargetTest, TargetTakesWorkAgainWhenTheNextOneIsSilent)
{
  BeginNext();
  m_next.m_started = WallTime(3000);
  m_manager.OnTargetListed(m_next, m_now);
  EXPECT_TRUE(Former().TakesWork(m_now));
}

TEST_F(ReplacedTargetTest, SilentTargetIsForgottenWithItsLeasesAndNotBefore)
{
  BeginNext();
  m_manager.OnTargetUnlisted(m_record.m_target, m_now);
  FailWatch(OrderStatus::kUnknown);
  EXPECT_CALL(m_listener, OnRunLost(_, _, _)).Times(0);
  Pass(milliseconds(8500));
  testing::Mock::VerifyAndClearExpectations(&m_listener);
  EXPECT_CALL(m_listener, OnRunLost(m_record.m_target, _, _)).Times(kRuns);
  Pass(milliseconds(2000));
  EXPECT_EQ(m_manager.Find(m_record.m_target), nullptr);
  EXPECT_NE(m_manager.Find(m_next.m_target), nullptr);
}

// That the next target listens at the former one's address does not say that
// the former one has ended: the list may name a wrong address.
TEST_F(ReplacedTargetTest, TargetWhoseAddressTheNextOneHasIsForgottenNoEarlier)
{
  m_next.m_address = m_record.m_address;
  EXPECT_CALL(m_listener, OnRunLost(_, _, _)).Times(0);
  BeginNext();
  FailWatch(OrderStatus::kOtherTarget);
  m_manager.OnTargetUnlisted(m_record.m_target, m_now);
  Pass(milliseconds(8500));
  testing::Mock::VerifyAndClearExpectations(&m_listener);
  EXPECT_CALL(m_listener, OnRunLost(m_record.m_target, _, _)).Times(kRuns);
  EXPECT_CALL(m_effects, Forget(m_record.m_target));
  Pass(milliseconds(2000));
  EXPECT_EQ(m_manager.Find(m_record.m_target), nullptr);
}

} // namespace lycheestep
