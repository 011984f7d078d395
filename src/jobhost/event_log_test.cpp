#include "event_log.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gmock/gmock.h>

#include "line_limit.h"
#include "metrics_registry.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kPerSecond = 600;

// Returns the lines that the log writes to standard output for what aWrite
// tells it.
template<typename Write>
std::vector<std::string> LinesOf(Write aWrite)
{
  testing::internal::CaptureStdout();
  {
    MetricsRegistry metrics;
    EventLog log("h0", metrics);
    aWrite(log);
    log.Finish(seconds(10));
  }
  std::istringstream output(testing::internal::GetCapturedStdout());
  std::vector<std::string> lines;
  for (std::string line; std::getline(output, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::ptrdiff_t CountWith(const std::vector<std::string>& aLines,
                         const std::string& aText)
{
  return std::count_if(
    aLines.begin(), aLines.end(), [&aText](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
}

// Returns the milliseconds of the day in "HH:MM:SS.mmm".
std::int64_t TimeOf(const std::string& aLine)
{
  const auto number = [&aLine](std::size_t aAt, std::size_t aLength) {
    return std::stoll(aLine.substr(aAt, aLength));
  };
  return ((number(0, 2) * 60 + number(3, 2)) * 60 + number(6, 2)) * 1000 +
         number(9, 3);
}

} // namespace

TEST(LineLimit, AdmitsALimitedNumberInEachSecond)
{
  const TimePoint start{ std::chrono::hours(1) };
  LineLimit limit(2);
  EXPECT_TRUE(limit.Admit(start));
  EXPECT_TRUE(limit.Admit(start + milliseconds(1)));
  EXPECT_FALSE(limit.Admit(start + milliseconds(999)));
  EXPECT_TRUE(limit.Admit(start + seconds(1)));
}

// Guards against lines about cancelled or failed work that are left out because
// there are many routine ones.
TEST(EventLog, RoutineLinesTakeNoRoomFromNotableOnes)
{
  const std::vector<std::string> lines = LinesOf([](EventLog& aLog) {
    for (std::size_t i = 0; i < 2 * kPerSecond; ++i) {
      aLog.Write("routine", "");
    }
    for (std::size_t i = 0; i < kPerSecond / 2; ++i) {
      aLog.WriteNotable("notable", "");
    }
  });
  EXPECT_EQ(CountWith(lines, "event=notable"), kPerSecond / 2);
  EXPECT_LE(CountWith(lines, "event=routine"), 2 * kPerSecond - 1);
  EXPECT_GE(CountWith(lines, "event=log-lines-left-out"), 1);
}

TEST(EventLog, NotableLinesAreBoundedAsWell)
{
  const std::vector<std::string> lines = LinesOf([](EventLog& aLog) {
    for (std::size_t i = 0; i < 4 * kPerSecond; ++i) {
      aLog.WriteNotable("notable", "");
    }
  });
  EXPECT_LT(CountWith(lines, "event=notable"), 4 * kPerSecond);
  EXPECT_GE(CountWith(lines, "event=log-lines-left-out"), 1);
}

// Guards against lines that show when they were written.
TEST(EventLog, LinesOfOneBatchKeepTheTimesOfTheirEvents)
{
  const std::vector<std::string> lines = LinesOf([](EventLog& aLog) {
    aLog.Write("first", "");
    std::this_thread::sleep_for(milliseconds(20));
    aLog.Write("second", "");
  });
  ASSERT_EQ(lines.size(), 2U);
  constexpr std::int64_t kDay = 86400000;
  const std::int64_t between =
    (TimeOf(lines[1]) - TimeOf(lines[0]) + kDay) % kDay;
  EXPECT_GE(between, 19);
}

} // namespace lycheestep
