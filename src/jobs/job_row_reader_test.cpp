#include "job_row_reader.h"

#include <algorithm>

#include <gmock/gmock.h>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

using Status = JobRowResult::Status;

StoredJob LongJob()
{
  StoredJob job;
  job.m_spec.m_payload.assign(4000, 'x');
  job.m_spec.m_steps.resize(500);
  for (JobStep& step : job.m_spec.m_steps) {
    step.m_count = 3;
    step.m_image = "image";
  }
  return job;
}

Row RowOf(const RowWrite& aWrite, std::uint64_t aVersion = 1)
{
  return Row{ aWrite.m_key, aWrite.m_value, aVersion, false };
}

// Reads all rows but the last one.
void ReadAllButLast(const std::vector<RowWrite>& aWrites,
                    JobRowReader& aReader,
                    std::uint64_t aVersion = 1)
{
  for (std::size_t i = 0; i + 1 < aWrites.size(); ++i) {
    EXPECT_LE(aWrites[i].m_value.size(), MaxValueBytes(4096));
    EXPECT_EQ(aReader.Read(RowOf(aWrites[i], aVersion)).m_status,
              Status::kIncomplete);
  }
}

// Earlier releases ignore a job of which they find no steps.
int StepsKnownToEarlierReleases(const std::string& aValue)
{
  proto::JobRow row;
  EXPECT_TRUE(row.ParseFromString(aValue));
  return row.step_size();
}

} // namespace

// Guards against jobs that are refused, or lost, because one row is too short
// for them.
TEST(JobRowReader, JobOfSeveralRowsIsReadInAnyOrder)
{
  std::vector<RowWrite> writes =
    EncodeJobRows(JobId("a"), LongJob(), MaxValueBytes(4096));
  ASSERT_GT(writes.size(), 2U);
  std::reverse(writes.begin(), writes.end());
  JobRowReader reader;
  ReadAllButLast(writes, reader);
  const JobRowResult read = reader.Read(RowOf(writes.back()));
  ASSERT_EQ(read.m_status, Status::kComplete);
  EXPECT_EQ(read.m_parts, writes.size() - 1);
  EXPECT_EQ(read.m_job, JobId("a"));
  EXPECT_EQ(read.m_stored.m_spec.m_payload, LongJob().m_spec.m_payload);
  EXPECT_EQ(read.m_stored.m_spec.m_steps.size(), 500U);
}

// Guards against an earlier release that starts a job anew because it does not
// know the rows that hold the progress of the tasks.
TEST(JobRowReader, RowsThatEarlierReleasesIgnoreHaveNoSteps)
{
  StoredJob job = LongJob();
  job.m_spec.m_steps.resize(1);
  const std::string hidden = EncodeJob(job, ProgressLayout::kSegments);
  const auto read = DecodeJob(hidden);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->m_spec.m_steps.size(), 1U);
  EXPECT_EQ(StepsKnownToEarlierReleases(hidden), 0);
  for (const RowWrite& write :
       EncodeJobRows(JobId("a"), LongJob(), MaxValueBytes(4096))) {
    EXPECT_EQ(StepsKnownToEarlierReleases(write.m_value), 0);
  }
  EXPECT_EQ(StepsKnownToEarlierReleases(EncodeJob(job)), 1);
}

// Guards against a job with the steps of two jobs, if one is submitted again
// under the id of a removed one between two pages of a read.
TEST(JobRowReader, RowsOfDifferentJobsAreNotMixed)
{
  StoredJob later = LongJob();
  later.m_spec.m_payload.assign(4000, 'y');
  std::vector<RowWrite> former =
    EncodeJobRows(JobId("a"), LongJob(), MaxValueBytes(4096));
  std::vector<RowWrite> writes =
    EncodeJobRows(JobId("a"), later, MaxValueBytes(4096));
  ASSERT_EQ(former.size(), writes.size());
  former.resize(3);
  std::rotate(writes.begin(), writes.begin() + 2, writes.end());
  JobRowReader reader;
  ReadAllButLast(former, reader, 5);
  ReadAllButLast(writes, reader, 9);
  const JobRowResult read = reader.Read(RowOf(writes.back(), 9));
  ASSERT_EQ(read.m_status, Status::kComplete);
  EXPECT_EQ(read.m_stored.m_spec.m_payload, later.m_spec.m_payload);
  EXPECT_EQ(read.m_stored.m_version, 9U);
}

// Guards against a new job that is never read, because a row of the removed one
// is missing from a later page.
TEST(JobRowReader, RemovalOfAnOlderRowKeepsTheNewerRows)
{
  const std::vector<RowWrite> writes =
    EncodeJobRows(JobId("a"), LongJob(), MaxValueBytes(4096));
  JobRowReader reader;
  ReadAllButLast(writes, reader);
  reader.Remove(JobPartKey(JobId("a"), 77));
  EXPECT_EQ(reader.Read(RowOf(writes.back())).m_status, Status::kComplete);
}

TEST(JobRowReader, RemovedRowsAreForgotten)
{
  const std::vector<RowWrite> writes =
    EncodeJobRows(JobId("a"), LongJob(), MaxValueBytes(4096));
  JobRowReader reader;
  ReadAllButLast(writes, reader);
  reader.Remove(writes.front().m_key);
  EXPECT_EQ(reader.Read(RowOf(writes.back())).m_status, Status::kIncomplete);
}

} // namespace lycheestep
