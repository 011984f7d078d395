// A test of a job with several rows that is stored under the id of a former job
// with more rows.
#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "job_row_reader.h"
#include "job_rows.h"
#include "row_versions.h"

namespace lycheestep {

namespace {

constexpr std::size_t kValueBytes = 4096;
constexpr std::uint64_t kFormerVersion = 5;
constexpr std::uint64_t kNewVersion = 12;

// Returns the rows of a job, in the order of their keys.
std::vector<Row> MakeRows(std::size_t aPayloadBytes, std::uint64_t aVersion)
{
  StoredJob job;
  job.m_spec.m_payload = std::string(aPayloadBytes, 'x');
  job.m_spec.m_steps.resize(1);
  job.m_spec.m_steps[0].m_count = 1;
  std::vector<Row> rows;
  for (const RowWrite& write :
       EncodeJobRows(JobId("a"), job, MaxValueBytes(kValueBytes))) {
    rows.push_back(Row{ write.m_key, write.m_value, aVersion, false });
  }
  std::sort(rows.begin(), rows.end(), [](const Row& aLeft, const Row& aRight) {
    return aLeft.m_key < aRight.m_key;
  });
  return rows;
}

// Returns the rows as two pages of one read.
std::vector<RowPage> MakePages(const std::vector<Row>& aRows)
{
  const auto middle =
    std::next(aRows.begin(), static_cast<std::ptrdiff_t>(aRows.size() / 2));
  RowPage first;
  first.m_partition = aRows.front().m_key.m_partition;
  first.m_end = middle->m_key.m_key;
  first.m_version = aRows.front().m_version;
  first.m_rows.assign(aRows.begin(), middle);
  RowPage second = first;
  second.m_first = *first.m_end;
  second.m_end.reset();
  second.m_rows.assign(middle, aRows.end());
  return { first, second };
}

// Returns the number of whole jobs that the reader finds in the changes.
int CountJobs(JobRowReader& aReader, const std::vector<Row>& aChanges)
{
  int jobs = 0;
  for (const Row& row : aChanges) {
    if (row.m_removed) {
      aReader.Remove(row.m_key);
      continue;
    }
    const JobRowResult read = aReader.Read(row);
    jobs += read.m_status == JobRowResult::Status::kComplete ? 1 : 0;
  }
  return jobs;
}

} // namespace

// Guards against an accepted job that no leader reads, because a row of the
// former job is reported as removed between two rows of the new one.
TEST(FormerPart, RemovalKeepsTheRowsOfTheNewJob)
{
  const std::vector<Row> former = MakeRows(40000, kFormerVersion);
  const std::vector<Row> newer = MakeRows(20000, kNewVersion);
  ASSERT_GT(former.size(), newer.size());
  ASSERT_GT(newer.size(), 3U);
  RowVersions versions(kJobTable);
  JobRowReader reader;
  EXPECT_EQ(CountJobs(reader, versions.OnRead(MakePages(former))), 1);
  EXPECT_EQ(CountJobs(reader, versions.OnRead(MakePages(newer))), 1);
}

} // namespace lycheestep
