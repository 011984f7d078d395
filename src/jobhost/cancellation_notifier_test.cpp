#include "cancellation_notifier.h"

#include <chrono>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr std::uint64_t kLeader = 7;
constexpr std::uint64_t kNextLeader = 8;
const JobId kJob("a");
const JobId kOther("b");
const TimePoint kStart{ seconds(1000) };

} // namespace

TEST(CancellationNotifier, RepeatsANoticeUntilItIsConfirmed)
{
  CancellationNotifier notifier;
  notifier.Add(kJob, kStart);
  int sent = 0;
  for (milliseconds at{ 0 }; at < seconds(2); at += milliseconds(10)) {
    sent += static_cast<int>(notifier.TakeDue(kLeader, kStart + at).size());
  }
  EXPECT_EQ(sent, 8);
  notifier.OnConfirmed(kLeader, kJob);
  EXPECT_THAT(notifier.TakeDue(kLeader, kStart + seconds(3)), IsEmpty());
}

TEST(CancellationNotifier, TellsTheNextLeaderWhatTheFormerOneConfirmed)
{
  CancellationNotifier notifier;
  notifier.Add(kJob, kStart);
  notifier.OnConfirmed(kLeader, kJob);
  const TimePoint later = kStart + seconds(1);
  EXPECT_THAT(notifier.TakeDue(kLeader, later), IsEmpty());
  EXPECT_THAT(notifier.TakeDue(kNextLeader, later), ElementsAre(kJob));
}

TEST(CancellationNotifier, NamesWhatNobodyConfirmed)
{
  CancellationNotifier notifier;
  notifier.Add(kJob, kStart);
  notifier.Add(kOther, kStart);
  notifier.OnConfirmed(kLeader, kOther);
  EXPECT_THAT(notifier.TakeExpired(kStart + seconds(9)), IsEmpty());
  EXPECT_THAT(notifier.TakeExpired(kStart + seconds(10)), ElementsAre(kJob));
  EXPECT_THAT(notifier.TakeDue(kNextLeader, kStart + seconds(11)), IsEmpty());
}

TEST(CancellationNotifier, IgnoresAConfirmationOfAnUnknownJob)
{
  CancellationNotifier notifier;
  notifier.OnConfirmed(kLeader, kJob);
  notifier.Add(kJob, kStart);
  EXPECT_THAT(notifier.TakeDue(kLeader, kStart + seconds(1)),
              ElementsAre(kJob));
}

} // namespace lycheestep
