#include "target_health.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::seconds;

class TargetHealthTest : public ::testing::Test
{
protected:
  TargetHealthTest()
  {
    for (int i = 0; i < 10; ++i) {
      m_targets.emplace_back("t" + std::to_string(i));
    }
    m_health.SetTargets(m_targets);
  }

  // Ten tasks at every target, of which the first aBad targets fail all.
  void Round(std::size_t aBad)
  {
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
      for (int task = 0; task < 10; ++task) {
        if (i < aBad) {
          m_health.Failed(m_targets[i], m_now);
        } else {
          m_health.Succeeded(m_targets[i], m_now);
        }
      }
    }
  }

  int Ejected() const
  {
    int ejected = 0;
    for (const TargetId& target : m_targets) {
      ejected += m_health.Ejected(target) ? 1 : 0;
    }
    return ejected;
  }

  std::vector<TargetId> m_targets;
  TargetHealth m_health;
  TimePoint m_now{ seconds(1000) };
};

TEST_F(TargetHealthTest, EjectsTheOneThatFails)
{
  Round(1);
  auto changes = m_health.Update(m_now);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes[0].m_ejected);
  EXPECT_EQ(changes[0].m_target, m_targets[0]);
  EXPECT_TRUE(m_health.Update(m_now + seconds(9)).empty());
}

TEST_F(TargetHealthTest, TakesATargetBackAfterProbes)
{
  Round(1);
  m_health.Update(m_now);
  m_now += TargetHealth::kProbePeriod;
  std::vector<bool> closed;
  const auto update = [&] {
    for (const HealthChange& change : m_health.Update(m_now)) {
      closed.push_back(change.m_ejected);
    }
  };
  for (int probe = 0; probe < TargetHealth::kProbesToReturn; ++probe) {
    update();
    EXPECT_TRUE(m_health.Placed(m_targets[0]));
    update();
    m_health.Succeeded(m_targets[0], m_now);
  }
  update();
  EXPECT_EQ(closed, (std::vector<bool>{ false, false, false, false }));
  EXPECT_EQ(Ejected(), 0);
}

TEST_F(TargetHealthTest, AFailedProbeDoublesTheWait)
{
  Round(1);
  m_health.Update(m_now);
  m_now += TargetHealth::kProbePeriod;
  m_health.Update(m_now);
  EXPECT_TRUE(m_health.Placed(m_targets[0]));
  EXPECT_FALSE(m_health.Placed(m_targets[1]));
  m_health.Failed(m_targets[0], m_now);
  EXPECT_TRUE(m_health.Update(m_now + TargetHealth::kProbePeriod).empty());
  EXPECT_EQ(m_health.Update(m_now + 2 * TargetHealth::kProbePeriod).size(), 1U);
}

TEST_F(TargetHealthTest, EjectsAtMostAFifthAndNobodyWhenAllFail)
{
  Round(4);
  m_health.Update(m_now);
  EXPECT_EQ(Ejected(), 2);
  m_now += seconds(600);
  for (int i = 0; i < 3; ++i) {
    Round(10);
  }
  m_health.Update(m_now);
  EXPECT_EQ(Ejected(), 0);
}

} // namespace
} // namespace lycheestep
