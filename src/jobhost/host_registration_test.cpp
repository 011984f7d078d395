#include "host_registration.h"

#include <gtest/gtest.h>

#include "job_rows.h"
#include "row_store_model.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(100) };

} // namespace

// Guards against a host that no leader knows any more, because the removal of
// its row by its former process was done late.
TEST(HostRegistration, LateRemovalOfAFormerProcessHasNoEffect)
{
  RowStoreModel store;
  HostRegistration former("a", "first", store);
  former.Tick(false, kStart);
  store.DelayWrites(1);
  former.Remove();
  HostRegistration next("a", "second", store);
  next.Tick(false, kStart);
  store.DoLateWrites();
  EXPECT_TRUE(store.Has(HostKey("a")));
}

TEST(HostRegistration, StoppedHostRemovesItsRow)
{
  RowStoreModel store;
  HostRegistration host("a", "first", store);
  host.Tick(false, kStart);
  EXPECT_TRUE(store.Has(HostKey("a")));
  host.Remove();
  EXPECT_FALSE(store.Has(HostKey("a")));
}

// Guards against a host that was silent for so long that the leader removed its
// row, and that stays unknown.
TEST(HostRegistration, HostWithoutHeartbeatsRegistersAgain)
{
  RowStoreModel store;
  HostRegistration host("a", "first", store);
  host.Tick(false, kStart);
  RowTransaction removal;
  removal.m_removals.push_back(HostKey("a"));
  store.Transact(removal, seconds(1));
  host.OnHeartbeat(kStart + seconds(5));
  host.Tick(false, kStart + seconds(12));
  EXPECT_FALSE(store.Has(HostKey("a")));
  host.Tick(false, kStart + seconds(16));
  EXPECT_TRUE(store.Has(HostKey("a")));
}

TEST(HostRegistration, FailedWriteIsRepeated)
{
  RowStoreModel store;
  HostRegistration host("a", "first", store);
  store.DelayWrites(1);
  host.Tick(false, kStart);
  EXPECT_FALSE(store.Has(HostKey("a")));
  host.Tick(false, kStart + milliseconds(200));
  EXPECT_TRUE(store.Has(HostKey("a")));
}

} // namespace lycheestep
