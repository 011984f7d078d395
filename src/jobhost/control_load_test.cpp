#include "control_load.h"

#include <chrono>

#include <gtest/gtest.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST(ControlLoad, ReportsTheShareOfBusyTimeOncePerSecond)
{
  ControlLoad load;
  const TimePoint start{ seconds(10) };
  load.Begin(start);
  load.Note(start, start + milliseconds(200), 3);
  load.Note(start + milliseconds(500), start + milliseconds(550), 2);
  EXPECT_FALSE(load.TakeReport(start + milliseconds(999)));
  const auto report = load.TakeReport(start + seconds(1));
  ASSERT_TRUE(report);
  EXPECT_EQ(*report, "iterations=2 tasks=5 busy_percent=25 longest_ms=200");
  EXPECT_FALSE(load.TakeReport(start + milliseconds(1900)));
}

} // namespace lycheestep
