#include "changed_rows.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <rapidcheck.h>

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

// Guards against changes that count as written because other rows, with later
// places, took over from their row.
TEST(ChangedRows, RowsInPlaceOfAnotherTakeOverItsPlace)
{
  ChangedRows rows;
  rows.Add(SegmentRow("a", 0));
  rows.Add(SegmentRow("a", 1));
  const std::uint64_t snapshot = rows.NextSequence();
  rows.Add(SegmentRow("a", 2));
  rows.Replace(rows.Take(), { SegmentRow("a", 3), SegmentRow("a", 2) });
  // Rows 3 and 2 are before row 1, in this order.
  std::vector<ChangedRows::Taken> taken{ rows.Take(), rows.Take() };
  EXPECT_EQ(taken[0].m_row.m_segment.m_number, 3U);
  EXPECT_EQ(taken[1].m_row.m_segment.m_number, 2U);
  rows.PutBack(taken);
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 3U);
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 2U);
  EXPECT_TRUE(rows.AnyBefore(snapshot));
  EXPECT_EQ(rows.Take().m_row.m_segment.m_number, 1U);
  EXPECT_FALSE(rows.AnyBefore(snapshot));
  EXPECT_TRUE(rows.Empty());
}

TEST(ChangedRows, RowThatWaitsAtAnEarlierPlaceStaysThere)
{
  ChangedRows rows;
  rows.Add(SegmentRow("a", 0));
  rows.Add(SegmentRow("a", 1));
  const ChangedRows::Taken first = rows.Take();
  const ChangedRows::Taken second = rows.Take();
  rows.PutBack({ first });
  rows.Replace(second, { SegmentRow("a", 0), SegmentRow("a", 1) });
  EXPECT_EQ(rows.Take().m_place.m_change, first.m_place.m_change);
  EXPECT_EQ(rows.Take().m_place.m_change, second.m_place.m_change);
  EXPECT_TRUE(rows.Empty());
}

// Compares with a list of changes: whatever is taken, put back and replaced, a
// change counts as waiting until its row, or all rows in its place, are taken
// for good.
TEST(ChangedRows, NoChangeIsLostWhateverHappensToItsRow)
{
  const bool held = rc::check("no change is lost", [] {
    constexpr std::uint32_t kRows = 6;
    ChangedRows rows;
    // The rows that have to be written for each change that is not.
    std::map<std::uint64_t, std::set<std::uint32_t>> unwritten;
    const auto moves =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const int move : moves) {
      const auto row = *rc::gen::inRange(0U, kRows);
      if (move == 0 || rows.Empty()) {
        unwritten[rows.NextSequence()].insert(row);
        rows.Add(SegmentRow("a", row));
        continue;
      }
      const ChangedRows::Taken taken = rows.Take();
      const std::uint32_t number = taken.m_row.m_segment.m_number;
      if (move == 1) {
        rows.PutBack({ taken });
      } else if (move == 2) {
        rows.Replace(taken, { SegmentRow("a", row), taken.m_row });
        for (auto& [change, needed] : unwritten) {
          if (needed.count(number) > 0) {
            needed.insert(row);
          }
        }
      } else {
        for (auto& [change, needed] : unwritten) {
          needed.erase(number);
        }
      }
    }
    for (const auto& [change, needed] : unwritten) {
      RC_ASSERT(needed.empty() || rows.AnyBefore(change + 1));
    }
  });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
