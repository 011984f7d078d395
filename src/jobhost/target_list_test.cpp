#include "target_list.h"

#include <gmock/gmock.h>

#include "lycheestep/platform_documents.h"
#include "lycheestep/queue_config.h"
#include "row_versions.h"

namespace lycheestep {

namespace {

// Parses rows of the form "SERVICE ADDRESS"; a row without a space is
// malformed.
class PlainDocuments : public PlatformDocuments
{
public:
  std::string ConfigTable() const override { return "config"; }
  std::string TargetTable() const override { return "targets"; }
  std::optional<ClusterConfig> ReadConfig(const Row&) const override
  {
    return std::nullopt;
  }
  std::optional<TargetRecord> ReadTarget(const Row& aRow) const override
  {
    const std::size_t space = aRow.m_value.find(' ');
    if (space == std::string::npos) {
      return std::nullopt;
    }
    TargetRecord record;
    record.m_target = TargetId(aRow.m_key.m_key);
    record.m_service = ServiceName(aRow.m_value.substr(0, space));
    record.m_address =
      NetworkAddress::ParseOrNone(aRow.m_value.substr(space + 1));
    return record;
  }
};

Row MakeRow(const std::string& aTarget, const std::string& aValue)
{
  Row row;
  row.m_key.m_key = aTarget;
  row.m_value = aValue;
  row.m_removed = aValue.empty();
  return row;
}

class TargetListTest : public testing::Test
{
protected:
  TargetListTest() { m_list.SetServices({ ServiceName("desk") }); }

  TargetChanges Rows(const std::vector<Row>& aRows)
  {
    return m_list.OnRows(aRows, m_documents);
  }

  // Handles a read of the whole table.
  TargetChanges Read(const std::vector<Row>& aRows)
  {
    RowPage page;
    page.m_version = ++m_version;
    page.m_rows = aRows;
    for (Row& row : page.m_rows) {
      row.m_version = m_version;
    }
    return Rows(m_rowVersions.OnRead({ page }));
  }

  const PlainDocuments m_documents;
  TargetList m_list;
  RowVersions m_rowVersions{ "targets" };
  std::uint64_t m_version = 0;
};

} // namespace

// Targets rewrite their rows as a heartbeat. When each such row counted as a
// change, 350 targets that write every 1.5 s made the leader go through the
// whole list a hundred times a second. Seen on ozolini-rake-grown.
TEST_F(TargetListTest, UnchangedRowIsNoChange)
{
  EXPECT_EQ(Rows({ MakeRow("t1", "desk a:1") }).m_changed.size(), 1U);
  EXPECT_TRUE(Rows({ MakeRow("t1", "desk a:1") }).m_changed.empty());
  EXPECT_TRUE(Read({ MakeRow("t1", "desk a:1") }).m_changed.empty());
  EXPECT_EQ(Rows({ MakeRow("t1", "desk b:1") }).m_changed.size(), 1U);
}

TEST_F(TargetListTest, RemovedTargetIsReportedOnce)
{
  Rows({ MakeRow("t1", "desk a:1") });
  EXPECT_EQ(Rows({ MakeRow("t1", "") }).m_gone.size(), 1U);
  EXPECT_TRUE(Rows({ MakeRow("t1", "") }).m_gone.empty());
  EXPECT_EQ(m_list.Find(TargetId("t1")), nullptr);
  EXPECT_EQ(Rows({ MakeRow("t1", "desk a:1") }).m_changed.size(), 1U);
}

TEST_F(TargetListTest, TargetMissingFromALaterReadIsGone)
{
  Read({ MakeRow("t1", "desk a:1"), MakeRow("t2", "desk b:1") });
  const TargetChanges changes = Read({ MakeRow("t2", "desk b:1") });
  EXPECT_THAT(changes.m_gone, testing::ElementsAre(TargetId("t1")));
  EXPECT_EQ(m_list.UsableTargetCount(), 1U);
}

TEST_F(TargetListTest, TargetsAreUsableOnlyIfTheConfigurationHasTheirService)
{
  EXPECT_TRUE(Rows({ MakeRow("t1", "other a:1") }).m_changed.empty());
  EXPECT_EQ(m_list.SetServices({ ServiceName("other") }).m_changed.size(), 1U);
  EXPECT_EQ(m_list.SetServices({ ServiceName("desk") }).m_gone.size(), 1U);
}

TEST_F(TargetListTest, MalformedRowRemovesTheTarget)
{
  Rows({ MakeRow("t1", "desk a:1") });
  const TargetChanges changes = Rows({ MakeRow("t1", "nonsense") });
  EXPECT_EQ(changes.m_gone.size(), 1U);
  EXPECT_EQ(changes.m_malformed.size(), 1U);
}

} // namespace lycheestep
