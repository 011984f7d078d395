#include "leader_sighting.h"

#include <chrono>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Optional;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr std::uint64_t kFirst = 11;
constexpr std::uint64_t kSecond = 12;

} // namespace

TEST(LeaderSighting, LogsEachChangeOfTheLeaderOnce)
{
  LeaderSighting sighting;
  EXPECT_THAT(sighting.OnHeartbeat("a", kFirst, kStart),
              Optional(std::string("leader=a incarnation=11 since_ms=0 "
                                   "former=none")));
  EXPECT_EQ(sighting.OnHeartbeat("a", kFirst, kStart + milliseconds(250)),
            std::nullopt);
  EXPECT_THAT(sighting.OnHeartbeat("b", kSecond, kStart + milliseconds(500)),
              Optional(std::string("leader=b incarnation=12 since_ms=0 "
                                   "former=a/11")));
}

TEST(LeaderSighting, LogsARestartedProcessOfTheSameHost)
{
  LeaderSighting sighting;
  sighting.OnHeartbeat("a", kFirst, kStart);
  EXPECT_NE(sighting.OnHeartbeat("a", kSecond, kStart + milliseconds(250)),
            std::nullopt);
}

// Guards against a log that was cut after the last change.
TEST(LeaderSighting, RepeatsALeaderThatStays)
{
  LeaderSighting sighting;
  sighting.OnHeartbeat("a", kFirst, kStart);
  int lines = 0;
  for (int i = 1; i <= 80; ++i) {
    const auto line =
      sighting.OnHeartbeat("a", kFirst, kStart + i * milliseconds(250));
    lines += line ? 1 : 0;
  }
  EXPECT_EQ(lines, 4);
}

TEST(LeaderSighting, LogsEachSilenceOnceAndItsEnd)
{
  LeaderSighting sighting;
  sighting.OnHeartbeat("a", kFirst, kStart);
  EXPECT_EQ(sighting.CheckSilence(kStart + milliseconds(900)), std::nullopt);
  EXPECT_THAT(sighting.CheckSilence(kStart + seconds(1)),
              Optional(std::string("leader=a silent_ms=1000")));
  EXPECT_EQ(sighting.CheckSilence(kStart + seconds(2)), std::nullopt);
  EXPECT_THAT(sighting.OnHeartbeat("a", kFirst, kStart + seconds(3)),
              Optional(std::string("leader=a incarnation=11 since_ms=3000 "
                                   "former=none")));
  EXPECT_NE(sighting.CheckSilence(kStart + seconds(4)), std::nullopt);
}

// Guards against a late release of a former leader that hides the present one.
TEST(LeaderSighting, ALateReleaseLeavesTheNextLeader)
{
  LeaderSighting sighting;
  sighting.OnHeartbeat("b", kSecond, kStart);
  sighting.OnReleased(kFirst);
  EXPECT_EQ(sighting.OnHeartbeat("b", kSecond, kStart + milliseconds(250)),
            std::nullopt);
}

TEST(LeaderSighting, AReleasedLeaderIsNotSilent)
{
  LeaderSighting sighting;
  EXPECT_EQ(sighting.CheckSilence(kStart), std::nullopt);
  sighting.OnHeartbeat("a", kFirst, kStart);
  sighting.OnReleased(kFirst);
  EXPECT_EQ(sighting.CheckSilence(kStart + seconds(2)), std::nullopt);
  EXPECT_NE(sighting.OnHeartbeat("a", kFirst, kStart + seconds(3)),
            std::nullopt);
}

TEST(LeaderSighting, NamesTheLeaderBeforeAlsoIfItWasThisHost)
{
  LeaderSighting sighting;
  sighting.OnOwnLead("own", 10);
  EXPECT_THAT(sighting.OnHeartbeat("a", kFirst, kStart),
              Optional(std::string("leader=a incarnation=11 since_ms=0 "
                                   "former=own/10")));
  sighting.OnReleased(kFirst);
  EXPECT_THAT(sighting.OnHeartbeat("b", kSecond, kStart),
              Optional(std::string("leader=b incarnation=12 since_ms=0 "
                                   "former=a/11")));
}

} // namespace lycheestep
