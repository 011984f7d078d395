#include "fleet.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::seconds;

TargetListing Listing(const char* aName)
{
  TargetListing listing;
  listing.m_id = TargetId(aName);
  listing.m_capacity = Resources(16000, 32768, 0, 8, 64);
  return listing;
}

TEST(Fleet, GrantEndsWithItsTerm)
{
  const TimePoint start{ seconds(100) };
  Grant grant;
  grant.m_main = Resources(6000, 100, 0, 6, 6);
  grant.m_mainUntil = start + seconds(8);
  grant.m_reserve = Resources(2000, 100, 0, 2, 2);
  grant.m_reserveUntil = start + seconds(600);

  EXPECT_EQ(grant.UsableAt(start), Resources(8000, 200, 0, 8, 8));
  EXPECT_EQ(grant.UsableAt(start + seconds(8)), grant.m_reserve);
  EXPECT_EQ(grant.UsableAt(start + seconds(600)), Resources());
  EXPECT_EQ(grant.UsableUntil(Resources(1000, 1, 0, 1, 1), start),
            grant.m_reserveUntil);
  EXPECT_EQ(grant.UsableUntil(Resources(7000, 1, 0, 1, 1), start),
            grant.m_mainUntil);
  EXPECT_EQ(grant.UsableUntil(Resources(9000, 1, 0, 1, 1), start), TimePoint{});
}

TEST(Fleet, ReplaceKeepsATargetThatHoldsTasks)
{
  Fleet fleet;
  fleet.Replace({ Listing("a"), Listing("b") });
  fleet.Take(TargetId("a"), Resources(1000, 1, 0, 1, 1));
  fleet.Replace({ Listing("b") });

  ASSERT_NE(fleet.Find(TargetId("a")), nullptr);
  EXPECT_FALSE(fleet.Find(TargetId("a"))->TakesWork());
  fleet.GiveBack(TargetId("a"), Resources(1000, 1, 0, 1, 1));
  fleet.Replace({ Listing("b") });
  EXPECT_EQ(fleet.Find(TargetId("a")), nullptr);
}

TEST(Fleet, FindsRoomThatChanged)
{
  Fleet fleet;
  std::vector<TargetListing> listings;
  listings.reserve(5);
  for (int i = 0; i < 5; ++i) {
    listings.push_back(Listing(("t" + std::to_string(i)).c_str()));
  }
  fleet.Replace(listings);
  const Resources demand(1000, 1, 0, 1, 1);
  std::size_t visits = 0;
  EXPECT_EQ(fleet.FindRoom(0, demand, visits), RoomIndex::kNone);
  fleet.Find(TargetId("t1"))->m_grant.m_main = demand;
  fleet.Find(TargetId("t4"))->m_grant.m_reserve = demand;
  EXPECT_EQ(fleet.FindRoom(0, demand, visits), 1U);
  EXPECT_EQ(fleet.FindRoom(2, demand, visits), 4U);
  EXPECT_EQ(fleet.FindRoom(5, demand, visits), RoomIndex::kNone);
  fleet.Take(TargetId("t1"), demand);
  EXPECT_EQ(fleet.FindRoom(0, demand, visits), 4U);
  fleet.Find(TargetId("t4"))->m_leaving = true;
  EXPECT_EQ(fleet.FindRoom(0, demand, visits), RoomIndex::kNone);
  fleet.GiveBack(TargetId("t1"), demand);
  EXPECT_EQ(fleet.FindRoom(0, demand, visits), 1U);
}

} // namespace
} // namespace lycheestep
