#include "advisor_hosts.h"

#include <chrono>

#include <gmock/gmock.h>

#include "mock_job_effects.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using testing::NiceMock;
using testing::ReturnPointee;

QueueConfig MakeQueue(const char* aName, Duration aPerCall)
{
  QueueConfig queue;
  queue.m_name = QueueName(aName);
  queue.m_advice.m_required = true;
  queue.m_advice.m_perCall = aPerCall;
  return queue;
}

class AdvisorHostsTest : public testing::Test
{
protected:
  AdvisorHostsTest()
  {
    ON_CALL(m_effects, GetAdvisorUse()).WillByDefault(ReturnPointee(&m_use));
    ON_CALL(m_effects, CanAsk()).WillByDefault(ReturnPointee(&m_canAsk));
  }

  // Sends calls of the queue while it may, and returns their number.
  std::size_t SendAll(const QueueConfig& aQueue, bool aInTime)
  {
    std::size_t sent = 0;
    while (m_hosts.MayAsk(aQueue, aInTime) &&
           !m_hosts.UsesItsShare(aQueue, aInTime)) {
      ++m_use.m_busyHosts;
      m_canAsk = m_use.m_busyHosts < m_use.m_hosts;
      m_hosts.OnCallSent(aQueue.m_name);
      ++sent;
    }
    return sent;
  }

  const QueueConfig m_quotes = MakeQueue("quotes", milliseconds(442));
  const QueueConfig m_plans = MakeQueue("plans", milliseconds(130));
  const QueueConfig m_checks = MakeQueue("checks", milliseconds(14));
  AdvisorUse m_use{ 40, 0, 0 };
  bool m_canAsk = true;
  NiceMock<MockJobEffects> m_effects;
  AdvisorHosts m_hosts{ m_effects };
};

} // namespace

TEST_F(AdvisorHostsTest, LongCallsOfOneQueueLeaveHostsToOthersWhileShared)
{
  m_hosts.BeginRound(3, true);
  EXPECT_EQ(SendAll(m_quotes, true), 11U); // a third of 35
  EXPECT_EQ(SendAll(m_plans, true), 11U);
  EXPECT_EQ(SendAll(m_checks, true), 13U); // a third of all
}

TEST_F(AdvisorHostsTest, RankDecidesAloneWhileTheFleetIsBusy)
{
  m_hosts.BeginRound(3, false);
  EXPECT_EQ(SendAll(m_quotes, true), 35U);
  EXPECT_EQ(SendAll(m_plans, true), 0U);
  EXPECT_EQ(SendAll(m_checks, true), 5U);
  EXPECT_FALSE(m_hosts.MayAsk(m_checks, true));
}

TEST_F(AdvisorHostsTest, EndedCallsGiveTheShareBack)
{
  m_hosts.BeginRound(4, true);
  const std::size_t share = SendAll(m_quotes, true);
  EXPECT_TRUE(m_hosts.UsesItsShare(m_quotes, true));
  for (std::size_t i = 0; i < share; ++i) {
    m_hosts.OnCallEnded(m_quotes.m_name);
  }
  EXPECT_FALSE(m_hosts.UsesItsShare(m_quotes, true));
}

TEST_F(AdvisorHostsTest, SmallCellsKeepOneHostOfFourFromLateSteps)
{
  for (const std::size_t hosts : { 1U, 2U, 3U, 4U, 7U }) {
    m_use = AdvisorUse{ hosts, 0, 0 };
    m_canAsk = true;
    m_hosts.BeginRound(1, false);
    EXPECT_EQ(SendAll(m_plans, false), hosts >= 4 ? hosts - 1 : hosts);
  }
}

TEST_F(AdvisorHostsTest, EveryQueueMayMakeOneCallIfThereAreMoreQueuesThanHosts)
{
  m_use = AdvisorUse{ 4, 0, 0 };
  m_hosts.BeginRound(9, true);
  EXPECT_EQ(SendAll(m_quotes, true), 1U);
  EXPECT_EQ(SendAll(m_plans, true), 1U);
}

} // namespace lycheestep
