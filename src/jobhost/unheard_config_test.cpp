// Guards against a host that goes on with an old configuration because its feed
// of it gets no answers, although other hosts have the new one.
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

#include "config_holder.h"
#include "feeding_store.h"
#include "free_port.h"
#include "job_host.h"
#include "one_task_target.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A way to another store on which calls for the changes of one table get no
// answers.
class CutWay : public RowStore
{
public:
  CutWay(RowStore& aStore, std::string aTable)
    : m_store(aStore)
    , m_table(std::move(aTable))
  {
  }

  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration aTimeout) override
  {
    return m_store.Transact(aTransaction, aTimeout);
  }

  RowAnswer Read(const RowRange& aRange, Duration aTimeout) override
  {
    return m_store.Read(aRange, aTimeout);
  }

  RowAnswer Feed(const std::string& aTable,
                 std::uint64_t aVersion,
                 Duration aWait,
                 Duration aTimeout) override
  {
    if (aTable == m_table) {
      std::this_thread::sleep_for(aWait + aTimeout);
      return RowAnswer();
    }
    return m_store.Feed(aTable, aVersion, aWait, aTimeout);
  }

private:
  RowStore& m_store;
  const std::string m_table;
};

// The row of the configuration holds its version.
class VersionDocuments : public PlatformDocuments
{
public:
  std::string ConfigTable() const override { return "op"; }

  std::optional<ClusterConfig> ReadConfig(const Row& aRow) const override
  {
    ClusterConfig config;
    config.m_version = std::stoull(aRow.m_value);
    return config;
  }

  std::string TargetTable() const override { return "servers"; }

  std::optional<TargetRecord> ReadTarget(const Row& /*aRow*/) const override
  {
    return std::nullopt;
  }
};

// Two hosts, one of which gets no changes of the configuration. Which of them
// leads is the first that starts.
class UnheardConfigTest : public testing::Test
{
protected:
  UnheardConfigTest() { Configure(1); }

  void Configure(std::uint64_t aVersion)
  {
    RowTransaction row;
    row.m_writes = { RowWrite{ RowKey{ m_documents.ConfigTable(), "", "c" },
                               std::to_string(aVersion) } };
    m_store.Transact(row, seconds(1));
  }

  std::unique_ptr<JobHost> StartHost(const std::string& aName, RowStore& aStore)
  {
    JobHostSettings settings;
    settings.m_host = aName;
    settings.m_peers = HostAddress{ "127.0.0.1", FreePort() };
    auto host = std::make_unique<JobHost>(
      settings, HostDependencies{ aStore, m_orders, nullptr, m_documents });
    EXPECT_TRUE(host->Start());
    EXPECT_TRUE(WaitForVersion(*host, 1));
    return host;
  }

  // Returns whether the host has the version within a time that any machine
  // keeps.
  static bool WaitForVersion(const JobHost& aHost, std::uint64_t aVersion)
  {
    for (int i = 0; i < 2000 && aHost.Config().Version() < aVersion; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return aHost.Config().Version() == aVersion;
  }

  FeedingStore m_store;
  VersionDocuments m_documents;
  CutWay m_cutWay{ m_store, m_documents.ConfigTable() };
  OneTaskTarget m_orders;
};

} // namespace

TEST_F(UnheardConfigTest, HostReadsTheConfigurationThatTheLeaderHas)
{
  const auto leader = StartHost("edge-1", m_store);
  std::this_thread::sleep_for(seconds(1));
  const auto other = StartHost("edge-2", m_cutWay);
  Configure(2);
  EXPECT_TRUE(WaitForVersion(*other, 2));
}

TEST_F(UnheardConfigTest, LeaderReadsTheConfigurationThatAnotherHostHas)
{
  const auto leader = StartHost("edge-1", m_cutWay);
  std::this_thread::sleep_for(seconds(1));
  const auto other = StartHost("edge-2", m_store);
  Configure(2);
  EXPECT_TRUE(WaitForVersion(*leader, 2));
}

} // namespace lycheestep
