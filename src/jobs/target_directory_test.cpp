// Tests of which addresses of targets are stored, and for how long.
#include "target_directory.h"

#include <chrono>

#include <gmock/gmock.h>

#include "job_rows.h"
#include "jobs.pb.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr std::size_t kAllRows = 100;
constexpr Duration kDelay = seconds(10);

TargetAddress MakeAddress(const std::string& aTarget,
                          const std::string& aAddress = "10.0.0.1:1")
{
  return TargetAddress{ TargetId(aTarget),
                        NetworkAddress::ParseOrNone(aAddress),
                        DataCentreName("z") };
}

class TargetDirectoryTest : public testing::Test
{
protected:
  TargetDirectory::Changes Commit(std::size_t aMaxRows = kAllRows)
  {
    TargetDirectory::Changes changes = m_directory.TakeChanges(aMaxRows);
    m_directory.OnCommitted();
    return changes;
  }

  void RemoveAllAt(TimePoint aNow)
  {
    m_directory.RemoveUnneeded(
      [](const TargetId&) { return false; }, kDelay, aNow);
  }

  TimePoint m_now{ seconds(1000) };
  TargetDirectory m_directory;
};

} // namespace

TEST_F(TargetDirectoryTest, RowHoldsTheAddress)
{
  m_directory.Add(MakeAddress("t"));
  const TargetDirectory::Changes changes = Commit();
  ASSERT_THAT(changes.m_writes, SizeIs(1));
  Row row;
  row.m_key = changes.m_writes[0].m_key;
  row.m_value = changes.m_writes[0].m_value;
  EXPECT_EQ(row.m_key.m_table, kTargetAddressTable);
  EXPECT_EQ(DecodeTargetAddress(row), MakeAddress("t"));
}

TEST_F(TargetDirectoryTest, AddressIsStoredOnce)
{
  m_directory.Add(MakeAddress("t"));
  Commit();
  m_directory.Add(MakeAddress("t"));
  EXPECT_FALSE(m_directory.HasChanges());
  m_directory.Add(MakeAddress("t", "10.0.0.1:2"));
  EXPECT_THAT(Commit().m_writes, SizeIs(1));
}

TEST_F(TargetDirectoryTest, AddressThatWasReadIsNotStoredAgain)
{
  m_directory.OnRead(MakeAddress("t"));
  m_directory.Add(MakeAddress("t"));
  EXPECT_FALSE(m_directory.HasChanges());
}

TEST_F(TargetDirectoryTest, CommitTakesNoMoreRowsThanFit)
{
  for (int i = 0; i < 5; ++i) {
    m_directory.Add(MakeAddress("t" + std::to_string(i)));
  }
  EXPECT_THAT(Commit(3).m_writes, SizeIs(3));
  EXPECT_TRUE(m_directory.HasChanges());
  EXPECT_THAT(Commit(3).m_writes, SizeIs(2));
  EXPECT_FALSE(m_directory.HasChanges());
}

TEST_F(TargetDirectoryTest, RejectedCommitIsWrittenAgain)
{
  m_directory.Add(MakeAddress("t"));
  m_directory.TakeChanges(kAllRows);
  m_directory.OnCommitRejected();
  EXPECT_THAT(Commit().m_writes, SizeIs(1));
}

TEST_F(TargetDirectoryTest, AddressOfATargetThatIsNeededStays)
{
  m_directory.OnRead(MakeAddress("t"));
  RemoveAllAt(m_now);
  m_directory.RemoveUnneeded(
    [](const TargetId&) { return true; }, kDelay, m_now + seconds(9));
  RemoveAllAt(m_now + seconds(10));
  EXPECT_FALSE(m_directory.HasChanges());
  RemoveAllAt(m_now + seconds(20));
  EXPECT_THAT(Commit().m_removals, SizeIs(1));
}

// Guards against one commit that both removes and writes a row.
TEST_F(TargetDirectoryTest, TargetThatComesBackKeepsItsAddress)
{
  m_directory.OnRead(MakeAddress("t"));
  RemoveAllAt(m_now);
  RemoveAllAt(m_now + kDelay);
  m_directory.Add(MakeAddress("t"));
  TargetDirectory::Changes changes = Commit();
  EXPECT_THAT(changes.m_removals, IsEmpty());
  EXPECT_THAT(changes.m_writes, SizeIs(1));
}

TEST_F(TargetDirectoryTest, AddressAddedWhileItsRemovalIsOnItsWayIsStored)
{
  m_directory.OnRead(MakeAddress("t"));
  RemoveAllAt(m_now);
  RemoveAllAt(m_now + kDelay);
  EXPECT_THAT(m_directory.TakeChanges(kAllRows).m_removals, SizeIs(1));
  m_directory.Add(MakeAddress("t"));
  m_directory.OnCommitted();
  EXPECT_THAT(Commit().m_writes, SizeIs(1));
}

TEST_F(TargetDirectoryTest, RowThatCantBeReadIsRemoved)
{
  m_directory.OnUnreadable(TargetId("t"));
  EXPECT_THAT(Commit().m_removals, SizeIs(1));
}

// Guards against a row that is written and removed at the same time.
TEST_F(TargetDirectoryTest, RowThatCantBeReadIsWrittenAnew)
{
  m_directory.OnUnreadable(TargetId("t"));
  m_directory.Add(MakeAddress("t"));
  const TargetDirectory::Changes changes = Commit();
  EXPECT_THAT(changes.m_removals, IsEmpty());
  EXPECT_THAT(changes.m_writes, SizeIs(1));
}

// Guards against a stored text that ends the process of each leader that reads
// it: an earlier release stored any text as an address.
TEST_F(TargetDirectoryTest, RowWithATextThatIsNoAddressIsNotRead)
{
  for (const char* text :
       { "shelf-17:1733612345678", "shelf-17:80", "", "a" }) {
    proto::TargetAddressRow stored;
    stored.set_address(text);
    Row row;
    row.m_key = TargetAddressKey(TargetId("t"));
    row.m_value = stored.SerializeAsString();
    EXPECT_FALSE(DecodeTargetAddress(row)) << text;
  }
}

TEST_F(TargetDirectoryTest, TextThatIsNoAddressIsNotStored)
{
  m_directory.Add(MakeAddress("t", ""));
  m_directory.Add(MakeAddress("u", std::string(1000, 'a')));
  EXPECT_FALSE(m_directory.HasChanges());
}

} // namespace lycheestep
