#include "gang_reservations.h"

#include <gtest/gtest.h>

#include <chrono>

#include "target_state.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 16;

class GangReservationsTest : public testing::Test
{
protected:
  GangReservationsTest()
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      TargetState& target = m_targets[i];
      target.m_listed = true;
      target.m_record.m_target = TargetId("t" + std::to_string(i));
      target.m_record.m_capacity = Resources(32000, 32000, 0, 0, 0);
      // Targets of higher index are emptier.
      const std::int64_t used = 30000 - static_cast<std::int64_t>(i) * 1000;
      target.m_used = Resources(used, used, 0, 0, 0);
    }
  }

  // Returns a gang of aCount tasks, three of which fill a target.
  WaitingGang MakeGang(const std::string& aJob, std::uint32_t aCount) const
  {
    WaitingGang gang;
    gang.m_step = StepName{ JobId(aJob), 0, 0 };
    gang.m_demand = Resources(10000, 0, 0, 0, 0);
    gang.m_count = aCount;
    for (const TargetState& target : m_targets) {
      gang.m_targets.push_back(&target);
    }
    return gang;
  }

  // Runs one placement round in which none of aGangs fits.
  void RunRound(const std::vector<WaitingGang>& aGangs)
  {
    m_gangReservations.BeginRound(kTargets, m_now);
    for (const WaitingGang& gang : aGangs) {
      m_gangReservations.OnGangNotPlaced(gang, m_now);
    }
  }

  // Returns the number of targets that steps other than the gangs are excluded
  // from.
  std::size_t ExcludedTargets() const
  {
    std::size_t excluded = 0;
    for (const TargetState& target : m_targets) {
      excluded +=
        m_gangReservations.KindFor(m_other, target.m_record.m_target) ==
            ReservationKind::kExclude
          ? 1
          : 0;
    }
    return excluded;
  }

  TimePoint m_now{ seconds(100) };
  const StepName m_other{ JobId("other"), 0, 0 };
  TargetState m_targets[kTargets];
  GangReservations m_gangReservations;
};

} // namespace

TEST_F(GangReservationsTest, ReservesTheEmptiestTargetsAndOnlyAsManyAsNeeded)
{
  const WaitingGang gang = MakeGang("gang", 6);
  RunRound({ gang });
  EXPECT_EQ(ExcludedTargets(), 2U);
  EXPECT_EQ(m_gangReservations.KindFor(m_other, TargetId("t15")),
            ReservationKind::kExclude);
  EXPECT_EQ(m_gangReservations.KindFor(gang.m_step, TargetId("t15")),
            ReservationKind::kNone);
}

TEST_F(GangReservationsTest, HigherRankedStepsAvoidReservedTargets)
{
  const WaitingGang gang = MakeGang("gang", 6);
  RunRound({ gang });
  m_gangReservations.BeginRound(kTargets, m_now); // the gang was not tried yet
  EXPECT_EQ(m_gangReservations.KindFor(m_other, TargetId("t15")),
            ReservationKind::kAvoidIfPossible);
}

TEST_F(GangReservationsTest, ReservationsAreLimitedToAPartOfTheFleet)
{
  RunRound({ MakeGang("a", 6), MakeGang("b", 6), MakeGang("c", 6) });
  EXPECT_LE(ExcludedTargets(), kTargets / 3);
  EXPECT_GE(ExcludedTargets(), 4U); // two of the three
}

TEST_F(GangReservationsTest, GangThatNeverFitsReservesNothing)
{
  RunRound({ MakeGang("gang", 1000) });
  EXPECT_EQ(ExcludedTargets(), 0U);
}

TEST_F(GangReservationsTest, ReservationEndsWhenTheGangIsPlacedOrNoLongerTried)
{
  const WaitingGang gang = MakeGang("gang", 6);
  RunRound({ gang });
  m_gangReservations.Release(gang.m_step);
  EXPECT_EQ(ExcludedTargets(), 0U);
  RunRound({ gang });
  RunRound({}); // the gang is not tried
  RunRound({});
  EXPECT_EQ(m_gangReservations.KindFor(m_other, TargetId("t15")),
            ReservationKind::kNone);
}

TEST_F(GangReservationsTest, ReservationTimesOutAndThenPauses)
{
  const WaitingGang gang = MakeGang("gang", 6);
  Duration reservedTime = Duration::zero();
  constexpr Duration kRoundInterval = milliseconds(50);
  for (int i = 0; i < 320; ++i) {
    RunRound({ gang });
    reservedTime += ExcludedTargets() > 0 ? kRoundInterval : Duration::zero();
    m_now += kRoundInterval;
  }
  // Two reservations of 6 s each in 16 s.
  EXPECT_GE(reservedTime, seconds(11));
  EXPECT_LE(reservedTime, seconds(13));
}

} // namespace lycheestep
