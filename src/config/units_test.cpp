#include "units.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lycheestep {
namespace {

TEST(Units, ParsesDurationsWithUnit)
{
  EXPECT_EQ(ParseDuration("250ms"), Duration(std::chrono::milliseconds(250)));
  EXPECT_EQ(ParseDuration("5s"), Duration(std::chrono::seconds(5)));
  EXPECT_EQ(ParseDuration("2min"), Duration(std::chrono::minutes(2)));
  EXPECT_EQ(ParseDuration("1h"), Duration(std::chrono::hours(1)));
  for (const char* text :
       { "", "5", "s", "-5s", "5 s", "5S", "1.5s", "5sec", "99999999999h" }) {
    EXPECT_EQ(ParseDuration(text), std::nullopt) << text;
  }
}

TEST(Units, ParsesSizesWithUnit)
{
  EXPECT_EQ(ParseSize("4GiB"), std::int64_t{ 4 } << 30);
  EXPECT_EQ(ParseSize("12B"), 12);
  for (const char* text : { "4GB", "4", "4 GiB", "-1MiB", "9999999999TiB" }) {
    EXPECT_EQ(ParseSize(text), std::nullopt) << text;
  }
}

RC_GTEST_PROP(Units, FormattedDurationReadsBack, ())
{
  const auto count = *rc::gen::inRange<std::int64_t>(0, 1000000000000);
  const Duration duration = std::chrono::milliseconds(count);
  RC_ASSERT(ParseDuration(FormatDuration(duration)) == duration);
}

RC_GTEST_PROP(Units, FormattedSizeReadsBack, ())
{
  const auto size = *rc::gen::inRange<std::int64_t>(0, std::int64_t{ 1 } << 61);
  RC_ASSERT(ParseSize(FormatSize(size)) == size);
}

} // namespace
} // namespace lycheestep
