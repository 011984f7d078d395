#include "table_model.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lycheestep {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

TableWrite Write(const std::string& aKey, const std::string& aValue)
{
  return { aKey, aValue, false };
}

TEST(TableModel, AppliesAllWritesOrNone)
{
  TableModel table;
  TableAnswer first = table.Transact(
    { { { "a", 0 } }, { Write("a", "1"), Write("b", "2") } }, kStart);
  ASSERT_EQ(first.m_status, TableStatus::kOk);
  ASSERT_EQ(first.m_rows.size(), 2U);
  EXPECT_TRUE(first.m_rows[0].m_value.empty());

  TableAnswer second = table.Transact(
    { { { "a", 0 }, { "b", first.m_rows[1].m_version } }, { Write("b", "3") } },
    kStart);
  EXPECT_EQ(second.m_status, TableStatus::kConflict);
  ASSERT_EQ(second.m_rows.size(), 2U);
  EXPECT_EQ(second.m_rows[0].m_value, "1");
  EXPECT_EQ(table.Rows().at("b").m_value, "2");
}

TEST(TableModel, ARowWrittenAgainNeverComesBackToAnOldVersion)
{
  TableModel table;
  const auto first = table.Transact({ {}, { Write("a", "1") } }, kStart);
  table.Transact({ {}, { { "a", "", true } } }, kStart);
  EXPECT_EQ(table.Read({ { "a" }, {} }).m_rows.at(0).m_version, 0U);
  const auto again = table.Transact({ {}, { Write("a", "1") } }, kStart);
  EXPECT_GT(again.m_rows[0].m_version, first.m_rows[0].m_version);
}

TEST(TableModel, ReadsPrefixesInOrderAndKeepsHistoryOfThoseAskedFor)
{
  TableModel table;
  table.KeepHistoryOf("x/");
  table.Transact({ {}, { Write("x/2", "b"), Write("x/1", "a") } }, kStart);
  table.Transact({ {}, { Write("y", "c") } }, kStart);
  const TableAnswer answer = table.Read({ {}, { "x/" } });
  ASSERT_EQ(answer.m_rows.size(), 2U);
  EXPECT_EQ(answer.m_rows[0].m_key, "x/1");
  EXPECT_EQ(table.History().size(), 2U);
  EXPECT_EQ(table.Counts().m_transactions, 2U);
  EXPECT_EQ(table.Counts().m_rowsWritten, 3U);
}

} // namespace
} // namespace lycheestep
