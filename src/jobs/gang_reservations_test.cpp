#include "gang_reservations.h"

#include <gtest/gtest.h>

#include <chrono>

#include "target_state.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 16;
constexpr std::int64_t kCapacity = 32000;
constexpr std::int64_t kDemand = 10000;
constexpr std::uint32_t kPriority = 1;

class GangReservationsTest : public testing::Test
{
protected:
  // On each target, one run takes the whole capacity. The run on the target of
  // index i ends in i + 1 seconds.
  GangReservationsTest()
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      TargetState& target = m_targets[i];
      target.m_listed = true;
      target.m_phase = TargetPhase::kHeld;
      target.m_record.m_target = TargetId("t" + std::to_string(i));
      target.m_record.m_capacity = Resources(kCapacity, kCapacity, 0, 0, 0);
      target.m_used = target.m_record.m_capacity;
      TargetRun run;
      run.m_demand = target.m_record.m_capacity;
      run.m_sent = true;
      run.m_startedAt = m_now;
      run.m_estimate = seconds(i + 1);
      target.m_runs[RunName{ TaskName{ m_other, 0 }, 1 }] = run;
    }
  }

  // Returns a gang of aCount tasks, three of which fill a target.
  WaitingGang MakeGang(const std::string& aJob, std::uint32_t aCount) const
  {
    WaitingGang gang;
    gang.m_step = StepName{ JobId(aJob), 0, 0 };
    gang.m_priority = kPriority;
    gang.m_demand = Resources(kDemand, 0, 0, 0, 0);
    gang.m_count = aCount;
    gang.m_targets = [this] {
      std::vector<const TargetState*> targets;
      for (const TargetState& target : m_targets) {
        targets.push_back(&target);
      }
      return targets;
    };
    return gang;
  }

  // Runs one placement round in which none of aGangs fits.
  void RunRound(const std::vector<WaitingGang>& aGangs)
  {
    BeginRound();
    for (const WaitingGang& gang : aGangs) {
      m_gangReservations.OnGangNotPlaced(gang, m_now);
    }
  }

  void BeginRound()
  {
    const auto targets = static_cast<std::int64_t>(kTargets);
    m_gangReservations.BeginRound(
      Resources(kCapacity * targets, kCapacity * targets, 0, 0, 0), m_now);
  }

  // Returns the number of gang tasks whose capacity on the target of aIndex
  // tasks that take a minute do not use.
  std::int64_t TasksReserved(std::size_t aIndex) const
  {
    return m_gangReservations
             .ReservedFromTask(m_targets[aIndex].m_record.m_target,
                               TaskUse{ kPriority, m_now, m_now + seconds(60) })
             .Get(ResourceKind::kProcessors) /
           kDemand;
  }

  std::int64_t AllTasksReserved() const
  {
    std::int64_t tasks = 0;
    for (std::size_t i = 0; i < kTargets; ++i) {
      tasks += TasksReserved(i);
    }
    return tasks;
  }

  TimePoint m_now{ seconds(100) };
  const StepName m_other{ JobId("other"), 0, 0 };
  TargetState m_targets[kTargets];
  GangReservations m_gangReservations;
};

} // namespace

TEST_F(GangReservationsTest, ReservesWhatIsFreeFirstAndOnlyAsMuchAsNeeded)
{
  const WaitingGang gang = MakeGang("gang", 5);
  RunRound({ gang });
  EXPECT_EQ(TasksReserved(0), 3);
  EXPECT_EQ(TasksReserved(1), 2);
  EXPECT_EQ(AllTasksReserved(), 5);
  EXPECT_EQ(m_gangReservations.ReadyAt(gang.m_step), m_now + seconds(2));
}

TEST_F(GangReservationsTest, ProgressOfRunsDecidesWhatIsFreeFirst)
{
  // The run on the last target is nearly done, contrary to its estimate.
  TargetRun& run = m_targets[kTargets - 1].m_runs.begin()->second;
  run.m_percentDone = 90;
  run.m_percentAt = m_now + milliseconds(450);
  m_now += milliseconds(450);
  RunRound({ MakeGang("gang", 3) });
  EXPECT_EQ(TasksReserved(kTargets - 1), 3);
}

TEST_F(GangReservationsTest, RestOfATargetStaysOpen)
{
  RunRound({ MakeGang("gang", 1) });
  EXPECT_EQ(TasksReserved(0), 1);
}

TEST_F(GangReservationsTest, ShortTasksUseCapacityUntilTheGangStarts)
{
  const WaitingGang gang = MakeGang("gang", 6);
  RunRound({ gang });
  const TargetId& target = m_targets[0].m_record.m_target;
  const TimePoint ready = *m_gangReservations.ReadyAt(gang.m_step);
  TaskUse use{ kPriority, m_now, ready };
  EXPECT_TRUE(m_gangReservations.ReservedFromTask(target, use).IsZero());
  use.m_expectedEnd = ready + milliseconds(1);
  EXPECT_FALSE(m_gangReservations.ReservedFromTask(target, use).IsZero());
}

TEST_F(GangReservationsTest, UrgentTasksUseCapacityUntilTheGangIsAboutToStart)
{
  const WaitingGang gang = MakeGang("gang", 3); // starts in a second
  RunRound({ gang });
  const TargetId& target = m_targets[0].m_record.m_target;
  TaskUse use{ kPriority - 1, m_now, m_now + seconds(60) };
  EXPECT_TRUE(m_gangReservations.ReservedFromTask(target, use).IsZero());
  use.m_start = m_now + milliseconds(800);
  EXPECT_FALSE(m_gangReservations.ReservedFromTask(target, use).IsZero());
}

TEST_F(GangReservationsTest, OnlyGangsOfLowerRanksAreKeptOut)
{
  const WaitingGang gang = MakeGang("gang", 6);
  const TargetId& target = m_targets[0].m_record.m_target;
  RunRound({ gang });
  EXPECT_FALSE(m_gangReservations.ReservedFromGang(m_other, target).IsZero());
  EXPECT_TRUE(
    m_gangReservations.ReservedFromGang(gang.m_step, target).IsZero());
  BeginRound(); // the gang was not tried yet
  EXPECT_TRUE(m_gangReservations.ReservedFromGang(m_other, target).IsZero());
  EXPECT_EQ(TasksReserved(0), 3);
}

TEST_F(GangReservationsTest, ReservationsAreLimitedToAPartOfTheFleet)
{
  RunRound({ MakeGang("a", 4), MakeGang("b", 4), MakeGang("c", 4) });
  EXPECT_EQ(AllTasksReserved(), 8); // two of the three
  EXPECT_LE(AllTasksReserved() * kDemand,
            kCapacity * static_cast<std::int64_t>(kTargets) / 6);
}

TEST_F(GangReservationsTest, WidestGangReservesMoreIfItIsTheFirst)
{
  RunRound({ MakeGang("wide", 15), MakeGang("narrow", 1) });
  EXPECT_EQ(AllTasksReserved(), 15);
  EXPECT_LE(AllTasksReserved() * kDemand,
            kCapacity * static_cast<std::int64_t>(kTargets) / 3);
}

TEST_F(GangReservationsTest, NarrowGangsDoNotPassAWideOneOfAHigherRank)
{
  const WaitingGang wide = MakeGang("wide", 15);
  const WaitingGang narrow = MakeGang("narrow", 6);
  RunRound({ narrow });
  RunRound({ wide, narrow });
  EXPECT_EQ(AllTasksReserved(), 15);
  EXPECT_TRUE(m_gangReservations.ReadyAt(wide.m_step).has_value());
  EXPECT_FALSE(m_gangReservations.ReadyAt(narrow.m_step).has_value());
}

TEST_F(GangReservationsTest, GangThatNeverFitsReservesNothing)
{
  RunRound({ MakeGang("gang", 1000) });
  EXPECT_EQ(AllTasksReserved(), 0);
}

TEST_F(GangReservationsTest, GangThatNeverFitsKeepsNoOtherFromReserving)
{
  RunRound({ MakeGang("gang", 1000), MakeGang("narrow", 6) });
  EXPECT_EQ(AllTasksReserved(), 6);
}

TEST_F(GangReservationsTest, ReservationEndsWhenTheGangIsPlacedOrNoLongerTried)
{
  const WaitingGang gang = MakeGang("gang", 6);
  RunRound({ gang });
  m_gangReservations.Release(gang.m_step);
  EXPECT_EQ(AllTasksReserved(), 0);
  RunRound({ gang });
  RunRound({}); // the gang is not tried
  RunRound({});
  EXPECT_EQ(AllTasksReserved(), 0);
}

TEST_F(GangReservationsTest, ReservationTimesOutAndThenPauses)
{
  const WaitingGang gang = MakeGang("gang", 6);
  Duration reservedTime = Duration::zero();
  constexpr Duration kRoundInterval = milliseconds(50);
  for (int i = 0; i < 320; ++i) {
    RunRound({ gang });
    reservedTime += AllTasksReserved() > 0 ? kRoundInterval : Duration::zero();
    m_now += kRoundInterval;
  }
  // Two reservations of 6 s each in 16 s.
  EXPECT_GE(reservedTime, seconds(11));
  EXPECT_LE(reservedTime, seconds(13));
}

} // namespace lycheestep
