#include "store_route.h"

#include <gtest/gtest.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(100) };

// A route with two relays whose direct way has just failed twice.
StoreRoute MakeCutOff()
{
  StoreRoute route;
  route.SetRelays({ "b:1", "c:1" });
  route.NoteDirect(RowStatus::kRefused, kStart);
  route.NoteDirect(RowStatus::kRefused, kStart);
  return route;
}

// The same, after both relays refused too.
StoreRoute MakeAway()
{
  StoreRoute route = MakeCutOff();
  route.NoteRelay("b:1", RowStatus::kRefused, true, kStart);
  route.NoteRelay("c:1", RowStatus::kRefused, true, kStart);
  return route;
}

} // namespace

TEST(StoreRoute, SilentRelayIsLeftOut)
{
  StoreRoute route = MakeCutOff();
  route.NoteRelaySent("b:1", kStart);
  route.NoteRelay("b:1", RowStatus::kUnknown, false, kStart);
  for (int i = 0; i < 5; ++i) {
    const StoreWay way =
      route.Choose(StoreCallKind::kWrite, kStart + milliseconds(10 * i));
    EXPECT_EQ(way.m_kind, StoreWay::Kind::kRelay);
    EXPECT_EQ(way.m_relay, "c:1");
  }
}

// Several calls of the same moment must not all wait for a host that is gone.
TEST(StoreRoute, RelayThatOwesAnAnswerIsPassedOver)
{
  StoreRoute route = MakeCutOff();
  route.NoteRelaySent("b:1", kStart);
  EXPECT_EQ(route.Choose(StoreCallKind::kRead, kStart).m_relay, "b:1");
  const StoreWay way =
    route.Choose(StoreCallKind::kRead, kStart + milliseconds(300));
  EXPECT_EQ(way.m_relay, "c:1");
}

TEST(StoreRoute, WriteIsNeverTheFirstCallOnAnUncertainWay)
{
  StoreRoute cutOff = MakeCutOff();
  StoreRoute away = MakeAway();
  for (int i = 1; i <= 200; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    const StoreWay direct = cutOff.Choose(StoreCallKind::kWrite, now);
    EXPECT_TRUE(direct.m_kind == StoreWay::Kind::kRelay || direct.m_probeFirst);
    const StoreWay way = away.Choose(StoreCallKind::kWrite, now);
    EXPECT_TRUE(way.m_kind == StoreWay::Kind::kWithheld || way.m_probeFirst);
  }
}

// Twenty callers that try every 60 ms through an outage of seven seconds.
TEST(StoreRoute, OutageCostsFewCallsWhateverTheLoad)
{
  StoreRoute route = MakeAway();
  int calls = 0;
  for (int i = 0; i < 7000; i += 3) {
    const TimePoint now = kStart + milliseconds(i);
    const StoreWay way = route.Choose(StoreCallKind::kRead, now);
    if (way.m_kind == StoreWay::Kind::kWithheld) {
      continue;
    }
    ++calls;
    if (way.m_kind == StoreWay::Kind::kDirect) {
      route.NoteDirect(RowStatus::kRefused, now);
    } else {
      route.NoteRelay(way.m_relay, RowStatus::kRefused, true, now);
    }
  }
  EXPECT_LE(calls, 71); // one each 100 ms
  EXPECT_EQ(route.Reach(kStart + seconds(7)), StoreReach::kAway);
}

TEST(StoreRoute, EndOfAnOutageIsNoticedWithinOneProbe)
{
  StoreRoute route = MakeAway();
  const TimePoint back = kStart + seconds(5);
  TimePoint now = back;
  while (route.Reach(now) != StoreReach::kDirect) {
    const StoreWay way = route.Choose(StoreCallKind::kRead, now);
    if (way.m_kind == StoreWay::Kind::kDirect) {
      route.NoteDirect(RowStatus::kOk, now);
    }
    now += milliseconds(5);
    ASSERT_LT(now - back, seconds(1));
  }
  EXPECT_LE(now - back, milliseconds(205));
}

// The store is back for others only: a relay's answer ends the outage here.
TEST(StoreRoute, RelayThatReachesTheStoreAgainIsUsed)
{
  StoreRoute route = MakeAway();
  for (int i = 0; i < 100 && route.Reach(kStart) == StoreReach::kAway; ++i) {
    const TimePoint now = kStart + milliseconds(20 * i);
    const StoreWay way = route.Choose(StoreCallKind::kRead, now);
    if (way.m_kind == StoreWay::Kind::kDirect) {
      route.NoteDirect(RowStatus::kUnknown, now);
    } else if (way.m_kind == StoreWay::Kind::kRelay) {
      route.NoteRelay(way.m_relay, RowStatus::kOk, true, now);
    }
  }
  EXPECT_EQ(route.Reach(kStart), StoreReach::kRelay);
}

TEST(StoreRoute, HostThatIsCutOffServesNoWriteOfAnother)
{
  StoreRoute route = MakeCutOff();
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(
      route.MayServe(StoreCallKind::kWrite, kStart + milliseconds(100 * i)));
  }
  route.NoteDirect(RowStatus::kOk, kStart);
  EXPECT_TRUE(route.MayServe(StoreCallKind::kWrite, kStart));
}

TEST(StoreRoute, HostWithoutRelaysProbesByItself)
{
  StoreRoute route;
  route.NoteDirect(RowStatus::kUnknown, kStart);
  route.NoteDirect(RowStatus::kUnknown, kStart);
  EXPECT_EQ(route.Reach(kStart), StoreReach::kAway);
  EXPECT_EQ(route.Choose(StoreCallKind::kRead, kStart).m_kind,
            StoreWay::Kind::kDirect);
}

} // namespace lycheestep
