#include "placer.h"

#include <set>

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::seconds;

const TimePoint kNow{ seconds(1000) };
const Resources kWhole(16000, 32768, 0, 8, 64);

Fleet MakeFleet(int aTargets, const Resources& aShare)
{
  std::vector<TargetListing> listings;
  for (int i = 0; i < aTargets; ++i) {
    TargetListing listing;
    listing.m_id = TargetId("t" + std::to_string(i));
    listing.m_rack = RackName("r" + std::to_string(i / 8));
    listing.m_capacity = kWhole;
    listings.push_back(listing);
  }
  Fleet fleet;
  fleet.Replace(listings);
  for (const TargetListing& listing : listings) {
    Grant& grant = fleet.Find(listing.m_id)->m_grant;
    grant.m_main = aShare;
    grant.m_mainUntil = kNow + seconds(8);
  }
  return fleet;
}

class PlacerTest : public ::testing::Test
{
protected:
  Placement Choose(const Fleet& aFleet, const Resources& aDemand)
  {
    return m_placer.Choose(aFleet, m_kind, aDemand, m_weights, kNow, m_random);
  }

  Placer m_placer{ 16 };
  WorkKind m_kind;
  CellWeights m_weights;
  RandomGenerator m_random{ 7 };
};

TEST_F(PlacerTest, PlacesOnlyWithinTheShare)
{
  Fleet fleet = MakeFleet(10, kWhole.Scaled(1, 2));
  const Resources demand(3000, 100, 0, 1, 1);
  int placed = 0;
  while (placed < 100) {
    const Placement placement = Choose(fleet, demand);
    if (!placement.Found()) {
      EXPECT_FALSE(placement.m_rejected.empty());
      EXPECT_EQ(placement.m_rejected[0].m_lacks, "lacks 1000 processors");
      break;
    }
    fleet.Take(placement.m_target, demand);
    ++placed;
  }
  EXPECT_EQ(placed, 20);
}

TEST_F(PlacerTest, PassesOverClosedTargets)
{
  Fleet fleet = MakeFleet(3, kWhole);
  fleet.Find(TargetId("t0"))->m_leaving = true;
  fleet.Find(TargetId("t1"))->m_ejected = true;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Choose(fleet, Resources(1, 1, 0, 1, 1)).m_target, TargetId("t2"));
  }
}

TEST_F(PlacerTest, GangIsWholeOrNothing)
{
  const Fleet fleet = MakeFleet(4, kWhole);
  const Resources demand(8000, 1000, 0, 1, 1);
  const auto gang = [&](int aTasks) {
    return m_placer.ChooseGang(
      fleet, m_kind, demand, aTasks, m_weights, kNow, m_random);
  };
  EXPECT_EQ(gang(8).size(), 8U);
  EXPECT_TRUE(gang(9).empty());
}

TEST_F(PlacerTest, ReplicasGoToDifferentRacksAndPackedGangsToFewTargets)
{
  const Fleet fleet = MakeFleet(24, kWhole);
  const Resources demand(4000, 1000, 0, 1, 1);
  m_weights = { 0.1, 0.9 };
  const auto used = [&](WorkForm aForm) {
    m_kind.m_form = aForm;
    std::set<TargetId> targets;
    for (const TargetId& target : m_placer.ChooseGang(
           fleet, m_kind, demand, 3, m_weights, kNow, m_random)) {
      targets.insert(target);
    }
    return targets;
  };
  EXPECT_EQ(used(WorkForm::kGang).size(), 1U);
  std::set<RackName> racks;
  for (const TargetId& target : used(WorkForm::kService)) {
    racks.insert(fleet.Find(target)->m_listing.m_rack);
  }
  EXPECT_EQ(racks.size(), 3U);
}

TEST_F(PlacerTest, FindsTheOnlyRoomInALargeFleet)
{
  Fleet fleet = MakeFleet(1200, kWhole.Scaled(1, 4));
  fleet.Find(TargetId("t777"))->m_grant.m_main = kWhole;
  const Placement placement = Choose(fleet, kWhole.Scaled(1, 2));
  EXPECT_EQ(placement.m_target, TargetId("t777"));
  EXPECT_LT(placement.m_candidates + placement.m_visits, 100U);
}

TEST_F(PlacerTest, TellsWhatCanNeverRun)
{
  const Fleet fleet = MakeFleet(4, Resources());
  EXPECT_EQ(Placer::NeverRunnable(fleet, Resources(8000, 0, 0, 1, 1), 8), "");
  EXPECT_NE(Placer::NeverRunnable(fleet, Resources(8000, 0, 0, 1, 1), 9), "");
  EXPECT_NE(Placer::NeverRunnable(fleet, Resources(0, 0, 1, 1, 1), 1), "");
}

} // namespace
} // namespace lycheestep
