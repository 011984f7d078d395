#include "store_router.h"

#include <gtest/gtest.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(100) };

// Returns a router with two relays whose direct route has just failed twice.
StoreRouter MakeDirectFailing()
{
  StoreRouter router;
  router.SetRelays({ "b:1", "c:1" });
  router.RecordDirectResult(RowStatus::kRefused, kStart);
  router.RecordDirectResult(RowStatus::kRefused, kStart);
  return router;
}

// Returns a router whose direct route and whose two relays have just failed.
StoreRouter MakeUnreachable()
{
  StoreRouter router = MakeDirectFailing();
  router.RecordRelayResult("b:1", RowStatus::kRefused, true, kStart);
  router.RecordRelayResult("c:1", RowStatus::kRefused, true, kStart);
  return router;
}

} // namespace

TEST(StoreRouter, RelayWithoutReplyIsExcluded)
{
  StoreRouter router = MakeDirectFailing();
  router.RecordRelayCallSent("b:1", kStart);
  router.RecordRelayResult("b:1", RowStatus::kUnknown, false, kStart);
  for (int i = 0; i < 5; ++i) {
    const StoreCallRoute route =
      router.Choose(StoreCallKind::kWrite, kStart + milliseconds(10 * i));
    EXPECT_EQ(route.m_kind, StoreCallRoute::Kind::kRelay);
    EXPECT_EQ(route.m_relay, "c:1");
  }
}

// If a relay does not respond, only the first calls may wait for it until their
// timeout; calls that start later must use another relay.
TEST(StoreRouter, RelayWithOverdueReplyIsSkipped)
{
  StoreRouter router = MakeDirectFailing();
  router.RecordRelayCallSent("b:1", kStart);
  EXPECT_EQ(router.Choose(StoreCallKind::kRead, kStart).m_relay, "b:1");
  const StoreCallRoute route =
    router.Choose(StoreCallKind::kRead, kStart + milliseconds(300));
  EXPECT_EQ(route.m_relay, "c:1");
}

TEST(StoreRouter, NewLeaderThatKnowsNoHostsYetKeepsItsRelays)
{
  StoreRouter router = MakeDirectFailing();
  router.SetRelays({});
  EXPECT_EQ(router.Reachability(kStart), StoreReachability::kRelay);
  EXPECT_EQ(router.Choose(StoreCallKind::kRead, kStart).m_relay, "b:1");
}

TEST(StoreRouter, WriteIsNeverTheFirstCallOnAnUncertainRoute)
{
  StoreRouter directFailing = MakeDirectFailing();
  StoreRouter unreachable = MakeUnreachable();
  for (int i = 1; i <= 200; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    const StoreCallRoute direct =
      directFailing.Choose(StoreCallKind::kWrite, now);
    EXPECT_TRUE(direct.m_kind == StoreCallRoute::Kind::kRelay ||
                direct.m_probeFirst);
    const StoreCallRoute route = unreachable.Choose(StoreCallKind::kWrite, now);
    EXPECT_TRUE(route.m_kind == StoreCallRoute::Kind::kWithheld ||
                route.m_probeFirst);
  }
}

// Models 20 callers that each retry every 60 ms during an outage of 7 seconds:
// one call every 3 ms.
TEST(StoreRouter, OutageLimitsCallsRegardlessOfLoad)
{
  StoreRouter router = MakeUnreachable();
  int calls = 0;
  for (int i = 0; i < 7000; i += 3) {
    const TimePoint now = kStart + milliseconds(i);
    const StoreCallRoute route = router.Choose(StoreCallKind::kRead, now);
    if (route.m_kind == StoreCallRoute::Kind::kWithheld) {
      continue;
    }
    ++calls;
    if (route.m_kind == StoreCallRoute::Kind::kDirect) {
      router.RecordDirectResult(RowStatus::kRefused, now);
    } else {
      router.RecordRelayResult(route.m_relay, RowStatus::kRefused, true, now);
    }
  }
  EXPECT_LE(calls, 71); // one probe per 100 ms
  EXPECT_EQ(router.Reachability(kStart + seconds(7)),
            StoreReachability::kNoRoute);
}

TEST(StoreRouter, EndOfOutageIsDetectedWithinTwoProbePeriods)
{
  StoreRouter router = MakeUnreachable();
  const TimePoint back = kStart + seconds(5);
  TimePoint now = back;
  while (router.Reachability(now) != StoreReachability::kDirect) {
    const StoreCallRoute route = router.Choose(StoreCallKind::kRead, now);
    if (route.m_kind == StoreCallRoute::Kind::kDirect) {
      router.RecordDirectResult(RowStatus::kOk, now);
    }
    now += milliseconds(5);
    ASSERT_LT(now - back, seconds(1));
  }
  EXPECT_LE(now - back, milliseconds(205));
}

// The store is reachable again for other hosts but not for this one. A relay's
// successful reply must end the outage here.
TEST(StoreRouter, RelayThatReachesTheStoreAgainIsUsed)
{
  StoreRouter router = MakeUnreachable();
  for (int i = 0;
       i < 100 && router.Reachability(kStart) == StoreReachability::kNoRoute;
       ++i) {
    const TimePoint now = kStart + milliseconds(20 * i);
    const StoreCallRoute route = router.Choose(StoreCallKind::kRead, now);
    if (route.m_kind == StoreCallRoute::Kind::kDirect) {
      router.RecordDirectResult(RowStatus::kUnknown, now);
    } else if (route.m_kind == StoreCallRoute::Kind::kRelay) {
      router.RecordRelayResult(route.m_relay, RowStatus::kOk, true, now);
    }
  }
  EXPECT_EQ(router.Reachability(kStart), StoreReachability::kRelay);
}

TEST(StoreRouter, HostWithFailingDirectRouteServesNoRelayedWrite)
{
  StoreRouter router = MakeDirectFailing();
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(router.MayServeRelayedCall(StoreCallKind::kWrite,
                                            kStart + milliseconds(100 * i)));
  }
  router.RecordDirectResult(RowStatus::kOk, kStart);
  EXPECT_TRUE(router.MayServeRelayedCall(StoreCallKind::kWrite, kStart));
}

TEST(StoreRouter, HostWithoutRelaysProbesDirectRoute)
{
  StoreRouter router;
  router.RecordDirectResult(RowStatus::kUnknown, kStart);
  router.RecordDirectResult(RowStatus::kUnknown, kStart);
  EXPECT_EQ(router.Reachability(kStart), StoreReachability::kNoRoute);
  EXPECT_EQ(router.Choose(StoreCallKind::kRead, kStart).m_kind,
            StoreCallRoute::Kind::kDirect);
}

} // namespace lycheestep
