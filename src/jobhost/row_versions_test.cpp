// Tests that rows which are read at different moments are reported in order.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "row_versions.h"

namespace lycheestep {

namespace {

using testing::IsEmpty;

constexpr const char* kTable = "jobs";

Row MakeRow(const std::string& aKey,
            std::uint64_t aVersion,
            bool aRemoved = false)
{
  Row row;
  row.m_key = RowKey{ kTable, "p0", aKey };
  row.m_version = aVersion;
  row.m_removed = aRemoved;
  return row;
}

RowPage MakePage(std::uint64_t aVersion, std::vector<Row> aRows)
{
  RowPage page;
  page.m_partition = "p0";
  page.m_version = aVersion;
  page.m_rows = std::move(aRows);
  return page;
}

// Returns the reported rows as text: key@version, with - for a removal.
std::vector<std::string> Texts(const std::vector<Row>& aRows)
{
  std::vector<std::string> texts;
  texts.reserve(aRows.size());
  for (const Row& row : aRows) {
    texts.push_back((row.m_removed ? "-" : "") + row.m_key.m_key + "@" +
                    std::to_string(row.m_version));
  }
  return texts;
}

// A store with all changes of one table, and a reader that checks what it is
// told about each row.
class StoreAndReader
{
public:
  void Change(const RowKey& aKey, bool aRemove)
  {
    const bool exists = m_rows.count(aKey) > 0;
    ++m_version;
    if (aRemove && !exists) {
      return;
    }
    Row row;
    row.m_key = aKey;
    row.m_version = m_version;
    row.m_removed = aRemove;
    m_history.push_back(row);
    m_rows[aKey] = m_version;
    if (aRemove) {
      m_rows.erase(aKey);
    }
  }

  // Reads the rows of a partition from aFirst up to aEnd as they are now.
  RowPage ReadPage(const std::string& aPartition,
                   const std::string& aFirst,
                   const std::optional<std::string>& aEnd) const
  {
    RowPage page;
    page.m_partition = aPartition;
    page.m_first = aFirst;
    page.m_end = aEnd;
    page.m_version = m_version;
    for (const auto& [key, version] : m_rows) {
      const bool inPage = key.m_partition == aPartition &&
                          key.m_key >= aFirst && (!aEnd || key.m_key < *aEnd);
      if (inPage) {
        Row row;
        row.m_key = key;
        row.m_version = version;
        page.m_rows.push_back(row);
      }
    }
    return page;
  }

  void Handle(const std::vector<RowPage>& aPages)
  {
    Report(m_versions.OnRead(aPages));
    m_pages = aPages;
  }

  // Feeds at most aLimit changes.
  void Feed(std::size_t aLimit)
  {
    std::vector<Row> rows;
    std::uint64_t upTo = m_version;
    for (const Row& row : m_history) {
      if (row.m_version <= m_versions.Position()) {
        continue;
      }
      rows.push_back(row);
      if (rows.size() == aLimit) {
        upTo = row.m_version;
        break;
      }
    }
    const std::vector<Row> reported = m_versions.OnFeed(rows, upTo);
    for (const Row& row : reported) {
      RC_ASSERT(row.m_version > PageVersionOf(row.m_key));
    }
    Report(reported);
  }

  // Returns true if the reader knows exactly the rows that exist.
  bool IsUpToDate() const { return !(m_known < m_rows) && !(m_rows < m_known); }

private:
  // Returns the version of the page that showed whether the row exists.
  std::uint64_t PageVersionOf(const RowKey& aKey) const
  {
    for (const RowPage& page : m_pages) {
      const bool inPage = page.m_partition == aKey.m_partition &&
                          aKey.m_key >= page.m_first &&
                          (!page.m_end || aKey.m_key < *page.m_end);
      if (inPage) {
        return page.m_version;
      }
    }
    return 0;
  }

  void Report(const std::vector<Row>& aRows)
  {
    for (const Row& row : aRows) {
      std::uint64_t& newest = m_newest[row.m_key];
      RC_ASSERT(row.m_version > newest);
      newest = row.m_version;
      if (row.m_removed) {
        RC_ASSERT(m_known.erase(row.m_key) == 1U);
      } else {
        m_known[row.m_key] = row.m_version;
      }
    }
  }

  std::map<RowKey, std::uint64_t> m_rows;
  std::vector<Row> m_history;
  std::uint64_t m_version = 0;
  RowVersions m_versions{ kTable };
  std::vector<RowPage> m_pages;
  std::map<RowKey, std::uint64_t> m_known;
  std::map<RowKey, std::uint64_t> m_newest;
};

RowKey AnyKey()
{
  const auto partition = *rc::gen::element<std::string>("p0", "p1");
  const auto key = *rc::gen::element<std::string>("a", "b", "c", "d");
  return RowKey{ kTable, partition, key };
}

void ChangeSome(StoreAndReader& aWorld, int aMost)
{
  const int count = *rc::gen::inRange(0, aMost + 1);
  for (int i = 0; i < count; ++i) {
    aWorld.Change(AnyKey(), *rc::gen::arbitrary<bool>());
  }
}

// Reads both partitions in two pages each, with changes in between.
void ReadWithChanges(StoreAndReader& aWorld)
{
  std::vector<RowPage> pages;
  for (const char* partition : { "p0", "p1" }) {
    pages.push_back(aWorld.ReadPage(partition, "", "c"));
    ChangeSome(aWorld, 3);
    pages.push_back(aWorld.ReadPage(partition, "c", std::nullopt));
    ChangeSome(aWorld, 3);
  }
  aWorld.Handle(pages);
}

} // namespace

// Guards against a job that is taken as new because a second read shows its row
// once more.
TEST(RowVersions, RowThatIsReadAgainIsReportedOnce)
{
  RowVersions versions(kTable);
  EXPECT_THAT(Texts(versions.OnRead({ MakePage(10, { MakeRow("a", 7) }) })),
              testing::ElementsAre("a@7"));
  EXPECT_THAT(Texts(versions.OnRead({ MakePage(12, { MakeRow("a", 7) }) })),
              IsEmpty());
}

TEST(RowVersions, RowThatAReadLacksIsReportedAsRemoved)
{
  RowVersions versions(kTable);
  versions.OnRead({ MakePage(10, { MakeRow("a", 7), MakeRow("b", 8) }) });
  EXPECT_THAT(Texts(versions.OnRead({ MakePage(15, { MakeRow("b", 8) }) })),
              testing::ElementsAre("-a@15"));
  EXPECT_THAT(Texts(versions.OnFeed({ MakeRow("a", 14, true) }, 15)),
              IsEmpty());
}

// Guards against a removed row that the feed shows after the read which lacks
// it, since the feed goes on from the oldest page.
TEST(RowVersions, FeedDoesNotRepeatWhatAPageShowed)
{
  RowVersions versions(kTable);
  RowPage older = MakePage(10, {});
  older.m_end = "m";
  RowPage newer = MakePage(20, { MakeRow("y", 18) });
  newer.m_first = "m";
  versions.OnRead({ older, newer });
  EXPECT_EQ(versions.Position(), 10U);
  EXPECT_THAT(Texts(versions.OnFeed({ MakeRow("x", 12),
                                      MakeRow("a", 13),
                                      MakeRow("y", 14),
                                      MakeRow("x", 15, true),
                                      MakeRow("y", 18),
                                      MakeRow("x", 21) },
                                    21)),
              testing::ElementsAre("a@13", "x@21"));
}

TEST(RowVersions, RowThatIsWrittenAgainAfterItsRemovalIsNew)
{
  RowVersions versions(kTable);
  versions.OnRead({ MakePage(10, { MakeRow("a", 7) }) });
  EXPECT_THAT(
    Texts(versions.OnFeed({ MakeRow("a", 11, true), MakeRow("a", 13) }, 13)),
    testing::ElementsAre("-a@11", "a@13"));
  EXPECT_THAT(Texts(versions.OnRead({ MakePage(13, { MakeRow("a", 7) }) })),
              IsEmpty());
}

// Guards against changes that are reported again at each read, because a read's
// rows do not name the partition that was asked for.
TEST(RowVersions, RowsOfAPageBelongToItsPartition)
{
  RowVersions versions(kTable);
  RowPage older = MakePage(10, {});
  older.m_partition = "p1";
  Row unnamed = MakeRow("a", 15);
  unnamed.m_key.m_partition.clear();
  EXPECT_THAT(Texts(versions.OnRead({ older, MakePage(20, { unnamed }) })),
              testing::ElementsAre("a@15"));
  EXPECT_THAT(Texts(versions.OnRead({ older, MakePage(21, { unnamed }) })),
              IsEmpty());
  EXPECT_THAT(Texts(versions.OnFeed({ MakeRow("a", 24, true) }, 24)),
              testing::ElementsAre("-a@24"));
}

// Whatever is read and fed in which order, no version of a row is reported
// twice or after a newer one, and in the end the reader knows all rows.
TEST(RowVersions, ReportsFollowTheStoreInAnyOrder)
{
  const bool held = rc::check("reports follow the store", [] {
    StoreAndReader world;
    ChangeSome(world, 6);
    ReadWithChanges(world);
    const int moves = *rc::gen::inRange(0, 12);
    for (int i = 0; i < moves; ++i) {
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          ChangeSome(world, 4);
          break;
        case 1:
          world.Feed(*rc::gen::inRange<std::size_t>(1, 5));
          break;
        default:
          ReadWithChanges(world);
          break;
      }
    }
    world.Feed(1000);
    RC_ASSERT(world.IsUpToDate());
  });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
