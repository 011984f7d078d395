#include "cancellation_checks.h"

#include <string>

#include <gtest/gtest.h>

namespace lycheestep {

namespace {

const JobId kJob("a");

} // namespace

TEST(CancellationChecks, ConfirmsOnlyAJobThatIsOver)
{
  CancellationChecks checks;
  EXPECT_EQ(checks.OnNotice(kJob, false), CancellationStep::kRead);
  EXPECT_EQ(checks.OnNotice(kJob, true), CancellationStep::kConfirm);
}

TEST(CancellationChecks, ReadsOfARowOverlapUpToALimit)
{
  CancellationChecks checks;
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(checks.OnNotice(kJob, false), CancellationStep::kRead);
  }
  EXPECT_EQ(checks.OnNotice(kJob, false), CancellationStep::kWait);
  checks.OnReadEnded(kJob);
  EXPECT_EQ(checks.OnNotice(kJob, false), CancellationStep::kRead);
}

TEST(CancellationChecks, ManyNoticesCauseALimitedNumberOfReads)
{
  CancellationChecks checks;
  int reads = 0;
  for (int i = 0; i < 500; ++i) {
    const JobId job("job" + std::to_string(i));
    const bool read = checks.OnNotice(job, false) == CancellationStep::kRead;
    reads += read ? 1 : 0;
  }
  EXPECT_EQ(reads, 64);
  EXPECT_EQ(checks.Reads(), 64U);
}

TEST(CancellationChecks, AReadThatWasNotAskedForCountsNothing)
{
  CancellationChecks checks;
  checks.OnReadEnded(kJob);
  EXPECT_EQ(checks.Reads(), 0U);
}

} // namespace lycheestep
