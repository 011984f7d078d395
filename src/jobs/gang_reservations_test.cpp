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
      // The later ones are emptier.
      const std::int64_t used = 30000 - static_cast<std::int64_t>(i) * 1000;
      target.m_used = Resources(used, used, 0, 0, 0);
    }
  }

  // A gang of so many tasks, three of which fill a target.
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

  // One round in which these gangs find no room.
  void Round(const std::vector<WaitingGang>& aGangs)
  {
    m_holds.BeginRound(kTargets, m_now);
    for (const WaitingGang& gang : aGangs) {
      m_holds.OnGangNotPlaced(gang, m_now);
    }
  }

  // Targets that are kept from everybody else.
  std::size_t Kept() const
  {
    std::size_t kept = 0;
    for (const TargetState& target : m_targets) {
      kept += m_holds.KindFor(m_other, target.m_record.m_target) ==
                  ReservationKind::kExclude
                ? 1
                : 0;
    }
    return kept;
  }

  TimePoint m_now{ seconds(100) };
  const StepName m_other{ JobId("other"), 0, 0 };
  TargetState m_targets[kTargets];
  GangReservations m_holds;
};

} // namespace

TEST_F(GangReservationsTest, HoldsTheEmptiestTargetsAndNoMoreThanItNeeds)
{
  const WaitingGang gang = MakeGang("gang", 6);
  Round({ gang });
  EXPECT_EQ(Kept(), 2U);
  EXPECT_EQ(m_holds.KindFor(m_other, TargetId("t15")),
            ReservationKind::kExclude);
  EXPECT_EQ(m_holds.KindFor(gang.m_step, TargetId("t15")),
            ReservationKind::kNone);
}

TEST_F(GangReservationsTest, HigherRankedStepsAvoidWhatIsHeld)
{
  const WaitingGang gang = MakeGang("gang", 6);
  Round({ gang });
  m_holds.BeginRound(kTargets, m_now); // the gang was not tried yet
  EXPECT_EQ(m_holds.KindFor(m_other, TargetId("t15")),
            ReservationKind::kAvoidIfPossible);
}

TEST_F(GangReservationsTest, APartOfTheFleetAtMostIsHeld)
{
  Round({ MakeGang("a", 6), MakeGang("b", 6), MakeGang("c", 6) });
  EXPECT_LE(Kept(), kTargets / 3);
  EXPECT_GE(Kept(), 4U); // two of the three
}

TEST_F(GangReservationsTest, GangThatNeverFitsHoldsNothing)
{
  Round({ MakeGang("gang", 1000) });
  EXPECT_EQ(Kept(), 0U);
}

TEST_F(GangReservationsTest, HoldEndsWithThePlacementOrTheJob)
{
  const WaitingGang gang = MakeGang("gang", 6);
  Round({ gang });
  m_holds.Release(gang.m_step);
  EXPECT_EQ(Kept(), 0U);
  Round({ gang });
  Round({}); // nobody tried it any more
  Round({});
  EXPECT_EQ(m_holds.KindFor(m_other, TargetId("t15")), ReservationKind::kNone);
}

TEST_F(GangReservationsTest, HoldHasItsTimeAndThenAPause)
{
  const WaitingGang gang = MakeGang("gang", 6);
  Duration held = Duration::zero();
  constexpr Duration kRound = milliseconds(50);
  for (int i = 0; i < 320; ++i) {
    Round({ gang });
    held += Kept() > 0 ? kRound : Duration::zero();
    m_now += kRound;
  }
  // Two turns of 6 s in 16 s.
  EXPECT_GE(held, seconds(11));
  EXPECT_LE(held, seconds(13));
}

} // namespace lycheestep
