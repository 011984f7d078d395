#include "relayed_store.h"

#include "event_log.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "mock_row_store.h"

namespace lycheestep {

namespace {

using std::chrono::seconds;
using testing::_;
using testing::NiceMock;
using testing::Return;

// The fixture has two hosts. Each call that the first host relays is executed
// by the second host immediately.
class RelayedStoreTest : public testing::Test
{
protected:
  RelayedStoreTest()
    : m_log("test", m_metrics)
    , m_firstHost(m_firstHostStore,
                  m_log,
                  [this](const std::string& aAddress,
                         const proto::JobPeerMessage& aMessage) {
                    ++m_relayedCalls;
                    m_lastRelayAddress = aAddress;
                    m_firstHost.OnReply(
                      m_secondHost.Serve(aMessage.store_call()));
                  })
    , m_secondHost(m_secondHostStore,
                   m_log,
                   [](const std::string& /*aAddress*/,
                      const proto::JobPeerMessage& /*aMessage*/) {
                     FAIL() << "a relayed call must not be relayed again";
                   })
  {
    m_firstHost.SetRelays({ "b:1", "c:1" });
    m_secondHost.SetRelays({ "a:1" });
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  NiceMock<MockRowStore> m_firstHostStore;
  NiceMock<MockRowStore> m_secondHostStore;
  int m_relayedCalls = 0;
  std::string m_lastRelayAddress;
  RelayedStore m_firstHost;
  RelayedStore m_secondHost;
};

} // namespace

TEST_F(RelayedStoreTest, DirectRouteIsUsedWhileItWorks)
{
  ON_CALL(m_firstHostStore, Read(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kOk, 7)));
  EXPECT_EQ(m_firstHost.Read(RowRange(), seconds(1)).m_version, 7U);
  EXPECT_EQ(m_relayedCalls, 0);
}

TEST_F(RelayedStoreTest, RefusedCallIsRelayedToAnotherHost)
{
  ON_CALL(m_firstHostStore, Transact(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kRefused)));
  ON_CALL(m_secondHostStore, Transact(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kOk, 9)));
  RowTransaction transaction;
  transaction.m_writes.push_back(RowWrite{ RowKey{ "t", "p", "k" }, "v" });
  const RowAnswer answer = m_firstHost.Transact(transaction, seconds(1));
  EXPECT_EQ(answer.m_status, RowStatus::kOk);
  EXPECT_EQ(answer.m_version, 9U);
}

// Only the caller knows whether the call may be executed twice.
TEST_F(RelayedStoreTest, CallWithoutAnswerIsNotRepeatedElsewhere)
{
  ON_CALL(m_firstHostStore, Transact(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kUnknown)));
  EXPECT_CALL(m_secondHostStore, Transact(_, _)).Times(0);
  EXPECT_EQ(m_firstHost.Transact(RowTransaction(), seconds(1)).m_status,
            RowStatus::kUnknown);
}

TEST_F(RelayedStoreTest, DirectRouteIsSkippedAfterRepeatedFailures)
{
  EXPECT_CALL(m_firstHostStore, Read(_, _))
    .Times(2)
    .WillRepeatedly(Return(MakeRowAnswer(RowStatus::kRefused)));
  ON_CALL(m_secondHostStore, Read(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kOk)));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(m_firstHost.Read(RowRange(), seconds(1)).m_status,
              RowStatus::kOk);
  }
  EXPECT_EQ(m_relayedCalls, 5);
}

TEST_F(RelayedStoreTest, FailedRelayIsReplacedByNextRelay)
{
  ON_CALL(m_firstHostStore, Read(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kRefused)));
  ON_CALL(m_secondHostStore, Read(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kRefused)));
  m_firstHost.Read(RowRange(), seconds(1));
  EXPECT_EQ(m_lastRelayAddress, "b:1");
  m_firstHost.Read(RowRange(), seconds(1));
  EXPECT_EQ(m_lastRelayAddress, "c:1");
}

} // namespace lycheestep
