#include "early_cancellations.h"

#include <chrono>

#include <gtest/gtest.h>

namespace lycheestep {

namespace {

using std::chrono::seconds;

const JobId kJob("5c0e7a21d94b36f8");
const TimePoint kNow{ seconds(1000) };
const TimePoint kUntil = kNow + seconds(180);

} // namespace

TEST(EarlyCancellations, ANewerRowThanThatOfTheJobCancelsItOnce)
{
  EarlyCancellations rows;
  rows.Add(kJob, 11, kUntil);
  EXPECT_TRUE(rows.Take(kJob, 10));
  EXPECT_FALSE(rows.Take(kJob, 10));
}

TEST(EarlyCancellations, ARowOfAFormerJobCancelsNothing)
{
  EarlyCancellations rows;
  rows.Add(kJob, 9, kUntil);
  EXPECT_FALSE(rows.Take(kJob, 10));
  EXPECT_FALSE(rows.Take(kJob, 8));
}

TEST(EarlyCancellations, AnOlderRowThatComesLaterDoesNotReplaceANewerOne)
{
  EarlyCancellations rows;
  rows.Add(kJob, 11, kUntil);
  rows.Add(kJob, 9, kUntil);
  EXPECT_TRUE(rows.Take(kJob, 10));
}

TEST(EarlyCancellations, ARowIsForgottenWhenItIsDue)
{
  EarlyCancellations rows;
  rows.Add(kJob, 11, kUntil);
  rows.RemoveOld(kUntil - seconds(1));
  rows.RemoveOld(kUntil);
  EXPECT_FALSE(rows.Take(kJob, 10));
}

} // namespace lycheestep
