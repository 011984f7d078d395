#include "changed_rows.h"

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

JobRowName SegmentRow(const std::string& aJob, std::uint32_t aNumber)
{
  return JobRowName{ JobId(aJob),
                     JobRowName::Kind::kSegment,
                     SegmentName{ 0, 0, aNumber } };
}

} // namespace

// Guards against a large job that delays the commits of all others.
TEST(ChangedRows, JobsTakeTurns)
{
  ChangedRows rows;
  for (std::uint32_t i = 0; i < 100; ++i) {
    rows.Add(SegmentRow("large", i));
  }
  rows.Add(SegmentRow("small", 0));
  EXPECT_EQ(rows.Take().m_row.m_job, JobId("large"));
  EXPECT_EQ(rows.Take().m_row.m_job, JobId("small"));
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 1U);
}

TEST(ChangedRows, RowThatChangesAgainKeepsItsPlace)
{
  ChangedRows rows;
  rows.Add(SegmentRow("a", 1));
  rows.Add(SegmentRow("a", 0));
  rows.Add(SegmentRow("a", 1));
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 1U);
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 0U);
  EXPECT_TRUE(rows.Empty());
}

TEST(ChangedRows, RowsThatWereNotWrittenAreTakenAgainFirst)
{
  ChangedRows rows;
  rows.Add(SegmentRow("a", 0));
  rows.Add(SegmentRow("a", 1));
  const std::vector<ChangedRows::Taken> taken{ rows.Take() };
  const std::uint64_t snapshot = rows.NextSequence();
  rows.Add(SegmentRow("a", 0)); // changes again meanwhile
  rows.PutBack(taken);
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 0U);
  EXPECT_TRUE(rows.AnyBefore(snapshot));
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 1U);
  EXPECT_FALSE(rows.AnyBefore(snapshot));
  EXPECT_TRUE(rows.Empty());
}

} // namespace lycheestep
