// Tests that the store has the address of each target with runs, so that every
// later leader can stop them.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <gmock/gmock.h>

#include "job_cell_model.h"
#include "single_step_job.h"
#include "target_address.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 4;

// Longer than the addresses of targets that have left are kept.
constexpr Duration kLongTime = seconds(30);

// Longer than a cancelled run may go on, which the cell checks.
constexpr Duration kBeyondTheBound = milliseconds(4500);

JobSpec MakeJob(std::uint32_t aTasks, Duration aTime, std::int64_t aMilliCores)
{
  return MakeSingleStepJob(
    aTasks, Resources(aMilliCores, 1024, 0, 0, 0), aTime);
}

class StoredAddressTest : public testing::TestWithParam<std::uint32_t>
{
protected:
  StoredAddressTest()
    : m_cell(GetParam(), kTargets)
  {
    m_cell.Run(milliseconds(300));
  }

  std::vector<RowKey> StoredAddresses()
  {
    std::vector<RowKey> keys;
    for (const Row& row : m_cell.Table().Rows(kTargetAddressTable)) {
      keys.push_back(row.m_key);
    }
    return keys;
  }

  void HideAllRows()
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      m_cell.HideTargetRow(i, true);
    }
    m_cell.Run(milliseconds(300));
  }

  // Changes the leader, cancels the job and checks that its runs are stopped.
  void ExpectNextLeaderStops(const JobId& aJob)
  {
    m_cell.ChangeLeader();
    m_cell.Run(milliseconds(200));
    m_cell.Cancel(aJob);
    m_cell.Run(kBeyondTheBound);
    EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
    for (std::size_t i = 0; i < kTargets; ++i) {
      EXPECT_EQ(m_cell.RunsOn(i), 0U);
    }
  }

  JobCellModel m_cell;
};

INSTANTIATE_TEST_SUITE_P(Seeds, StoredAddressTest, testing::Range(1U, 21U));

} // namespace

// Guards against an address that is removed while its target has runs.
TEST_P(StoredAddressTest, RunOfLongAgoIsStopped)
{
  const JobId job = m_cell.Submit(MakeJob(8, seconds(120), 16000));
  m_cell.Run(kLongTime);
  HideAllRows();
  ExpectNextLeaderStops(job);
}

TEST_P(StoredAddressTest, RunOfLongAgoOnATargetThatIsNotListedIsStopped)
{
  const JobId job = m_cell.Submit(MakeJob(8, seconds(120), 16000));
  m_cell.Run(seconds(2));
  HideAllRows();
  m_cell.ChangeLeader();
  m_cell.Run(kLongTime);
  ExpectNextLeaderStops(job);
}

// Guards against runs that a leader of an earlier release sent, which stores no
// addresses.
TEST_P(StoredAddressTest, RunsOfAnEarlierReleaseAreStopped)
{
  const JobId job = m_cell.Submit(MakeJob(8, seconds(60), 16000));
  m_cell.Run(milliseconds(1500));
  ASSERT_TRUE(m_cell.Table().Apply({}, StoredAddresses(), 1));
  m_cell.ChangeLeader();
  m_cell.Run(seconds(2));
  HideAllRows();
  ExpectNextLeaderStops(job);
}

TEST_P(StoredAddressTest, AddressesOfTargetsThatLeftAreRemoved)
{
  m_cell.Submit(MakeJob(8, seconds(1), 16000));
  m_cell.Run(seconds(5));
  EXPECT_EQ(StoredAddresses().size(), kTargets);
  HideAllRows();
  m_cell.Run(kLongTime);
  EXPECT_THAT(StoredAddresses(), testing::IsEmpty());
}

// Guards against dispatches that are stored before the addresses of their
// targets, as more of them are new than one commit takes.
TEST(StoredAddress, LargeFleetStoresAddressesNoLaterThanDispatches)
{
  constexpr std::size_t kLargeFleet = 300;
  JobCellModel cell(1, kLargeFleet);
  cell.Run(seconds(1));
  for (std::size_t i = 0; i < kLargeFleet / 10; ++i) {
    cell.Submit(MakeJob(10, seconds(5), 32000));
  }
  cell.Run(seconds(4));
  EXPECT_GT(cell.Table().Rows(kTargetAddressTable).size(), 200U);
  EXPECT_THAT(cell.Broken(), testing::IsEmpty());
}

} // namespace lycheestep
