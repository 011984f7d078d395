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

// Two hosts: what the first relays, the second carries out at once.
class RelayedStoreTest : public testing::Test
{
protected:
  RelayedStoreTest()
    : m_log("test", m_metrics)
    , m_first(m_ownWay,
              m_log,
              [this](const std::string& aAddress,
                     const proto::JobPeerMessage& aMessage) {
                ++m_relayed;
                m_lastRelay = aAddress;
                m_first.OnReply(
                  m_second.Serve(aMessage.store_call()).store_reply());
              })
    , m_second(m_otherWay,
               m_log,
               [](const std::string& /*aAddress*/,
                  const proto::JobPeerMessage& /*aMessage*/) {
                 FAIL() << "a relayed call must not be relayed again";
               })
  {
    m_first.SetRelays({ "b:1", "c:1" });
    m_second.SetRelays({ "a:1" });
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  NiceMock<MockRowStore> m_ownWay;
  NiceMock<MockRowStore> m_otherWay;
  int m_relayed = 0;
  std::string m_lastRelay;
  RelayedStore m_first;
  RelayedStore m_second;
};

} // namespace

TEST_F(RelayedStoreTest, OwnWayIsUsedWhileItWorks)
{
  ON_CALL(m_ownWay, Read(_, _))
    .WillByDefault(Return(AnswerWith(RowStatus::kOk, 7)));
  EXPECT_EQ(m_first.Read(RowRange(), seconds(1)).m_version, 7U);
  EXPECT_EQ(m_relayed, 0);
}

TEST_F(RelayedStoreTest, RefusedCallGoesByAnotherHost)
{
  ON_CALL(m_ownWay, Transact(_, _))
    .WillByDefault(Return(AnswerWith(RowStatus::kRefused)));
  ON_CALL(m_otherWay, Transact(_, _))
    .WillByDefault(Return(AnswerWith(RowStatus::kOk, 9)));
  RowTransaction transaction;
  transaction.m_writes.push_back(RowWrite{ RowKey{ "t", "p", "k" }, "v" });
  const RowAnswer answer = m_first.Transact(transaction, seconds(1));
  EXPECT_EQ(answer.m_status, RowStatus::kOk);
  EXPECT_EQ(answer.m_version, 9U);
}

// The caller alone knows whether the same call may be made twice.
TEST_F(RelayedStoreTest, CallWithoutAnswerIsNotRepeatedElsewhere)
{
  ON_CALL(m_ownWay, Transact(_, _))
    .WillByDefault(Return(AnswerWith(RowStatus::kUnknown)));
  EXPECT_CALL(m_otherWay, Transact(_, _)).Times(0);
  EXPECT_EQ(m_first.Transact(RowTransaction(), seconds(1)).m_status,
            RowStatus::kUnknown);
}

TEST_F(RelayedStoreTest, OwnWayIsLeftAloneAfterFailures)
{
  EXPECT_CALL(m_ownWay, Read(_, _))
    .Times(2)
    .WillRepeatedly(Return(AnswerWith(RowStatus::kRefused)));
  ON_CALL(m_otherWay, Read(_, _))
    .WillByDefault(Return(AnswerWith(RowStatus::kOk)));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(m_first.Read(RowRange(), seconds(1)).m_status, RowStatus::kOk);
  }
  EXPECT_EQ(m_relayed, 5);
}

TEST_F(RelayedStoreTest, RelayThatFailsIsFollowedByAnother)
{
  ON_CALL(m_ownWay, Read(_, _))
    .WillByDefault(Return(AnswerWith(RowStatus::kRefused)));
  ON_CALL(m_otherWay, Read(_, _))
    .WillByDefault(Return(AnswerWith(RowStatus::kRefused)));
  m_first.Read(RowRange(), seconds(1));
  EXPECT_EQ(m_lastRelay, "b:1");
  m_first.Read(RowRange(), seconds(1));
  EXPECT_EQ(m_lastRelay, "c:1");
}

} // namespace lycheestep
