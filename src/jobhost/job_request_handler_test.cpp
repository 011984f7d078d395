#include "job_request_handler.h"

#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "metrics_registry.h"
#include "mock_row_store.h"
#include "pending_rows.h"

namespace lycheestep {

namespace {

using testing::_;
using testing::NiceMock;
using testing::Return;

class JobRequestHandlerTest : public testing::Test
{
protected:
  JobRequestHandlerTest()
    : m_log("test", m_metrics)
    , m_handler(m_store, m_log, m_metrics, JobRequestSettings())
  {
    m_spec.m_steps.resize(1);
    m_spec.m_steps[0].m_count = 1;
  }

  JobRequestStatus Submit()
  {
    return m_handler.Submit(JobId("5c0e7a21d94b36f8"), QueueConfig(), m_spec);
  }

  // Returns the answer to a read that finds the leader's row.
  static RowAnswer LeaderRow(bool aKnown, std::uint64_t aRenewedMs)
  {
    proto::LeaderRow leader;
    leader.set_pending_known(aKnown);
    leader.set_renewed_ms(aRenewedMs);
    proto::QueuePending* pending = leader.add_pending();
    pending->set_queue("plans");
    pending->set_pending(4);
    RowAnswer answer = MakeRowAnswer(RowStatus::kOk);
    answer.m_storeClock = std::chrono::milliseconds(10000);
    Row row;
    row.m_key = LeaderKey();
    row.m_value = leader.SerializeAsString();
    row.m_version = 1;
    answer.m_rows.push_back(row);
    return answer;
  }

  MetricsRegistry m_metrics;
  EventLog m_log;
  NiceMock<MockRowStore> m_store;
  JobRequestHandler m_handler;
  JobSpec m_spec;
};

} // namespace

TEST_F(JobRequestHandlerTest, JobIsAcceptedOnlyWhenItIsStored)
{
  EXPECT_CALL(m_store, Transact(_, _))
    .WillOnce(Return(MakeRowAnswer(RowStatus::kOk, 5)));
  EXPECT_EQ(Submit(), JobRequestStatus::kOk);
}

TEST_F(JobRequestHandlerTest, SecondSubmissionOfAnIdIsAccepted)
{
  EXPECT_CALL(m_store, Transact(_, _))
    .WillOnce(Return(MakeRowAnswer(RowStatus::kConflict)));
  EXPECT_EQ(Submit(), JobRequestStatus::kOk);
}

TEST_F(JobRequestHandlerTest, RefusalMeansThatNothingWasWritten)
{
  ON_CALL(m_store, Transact(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kRefused)));
  EXPECT_EQ(Submit(), JobRequestStatus::kNotServed);
}

// A write without a reply may still take effect, even if the store refuses
// the retries.
TEST_F(JobRequestHandlerTest,
       WriteWithoutAnswerIsUnknownEvenIfRetriesAreRefused)
{
  EXPECT_CALL(m_store, Transact(_, _))
    .WillOnce(Return(MakeRowAnswer(RowStatus::kUnknown)))
    .WillRepeatedly(Return(MakeRowAnswer(RowStatus::kRefused)));
  EXPECT_EQ(Submit(), JobRequestStatus::kUnknown);
}

TEST_F(JobRequestHandlerTest, RetryConfirmsAWriteWithoutAnswer)
{
  EXPECT_CALL(m_store, Transact(_, _))
    .WillOnce(Return(MakeRowAnswer(RowStatus::kUnknown)))
    .WillOnce(Return(MakeRowAnswer(RowStatus::kConflict)));
  EXPECT_EQ(Submit(), JobRequestStatus::kOk);
}

// Guards against a caller that waits for a job which the store never takes.
TEST_F(JobRequestHandlerTest, JobThatCannotBeStoredIsRefusedAtOnce)
{
  m_spec.m_payload.resize(1000000);
  EXPECT_CALL(m_store, Transact(_, _)).Times(0);
  EXPECT_EQ(Submit(), JobRequestStatus::kTooLarge);
}

TEST_F(JobRequestHandlerTest, JobThatTheStoreNeverTakesIsNotRepeated)
{
  EXPECT_CALL(m_store, Transact(_, _))
    .WillOnce(Return(MakeRowAnswer(RowStatus::kInvalid)));
  EXPECT_EQ(Submit(), JobRequestStatus::kTooLarge);
}

TEST_F(JobRequestHandlerTest, LongJobIsStoredInSeveralRowsAtOnce)
{
  m_spec.m_payload.resize(100000);
  EXPECT_CALL(m_store, Transact(_, _))
    .WillOnce([](const RowTransaction& aTransaction, Duration) {
      EXPECT_EQ(aTransaction.m_writes.size(), 4U);
      for (const RowWrite& write : aTransaction.m_writes) {
        EXPECT_LE(write.m_value.size(), MaxValueBytes(kDefaultRowBytes));
      }
      return MakeRowAnswer(RowStatus::kOk, 5);
    });
  EXPECT_EQ(Submit(), JobRequestStatus::kOk);
}

// Guards against counts that are not found because they do not fit into the
// leader row.
TEST_F(JobRequestHandlerTest, CountsAreReadFromRowsOfTheirOwn)
{
  proto::LeaderRow leader;
  leader.set_pending_row_count(1);
  leader.set_renewed_ms(9900);
  RowAnswer leaderRow = LeaderRow(false, 9900);
  leaderRow.m_rows.front().m_value = leader.SerializeAsString();
  const std::vector<RowWrite> writes =
    EncodePendingRows({ { QueueName("plans"), 7 } },
                      std::chrono::milliseconds(9900),
                      MaxValueBytes(kDefaultRowBytes));
  ASSERT_EQ(writes.size(), 1U);
  RowAnswer countsRow = leaderRow;
  countsRow.m_rows.front().m_key = writes.front().m_key;
  countsRow.m_rows.front().m_value = writes.front().m_value;
  EXPECT_CALL(m_store, Read(_, _))
    .WillOnce(Return(leaderRow))
    .WillOnce(Return(countsRow));
  EXPECT_EQ(m_handler.Pending(QueueName("plans")).m_pending, 7U);
}

TEST_F(JobRequestHandlerTest, JobIsReportedMissingIfTheStoreHasNoRow)
{
  RowAnswer noRow = MakeRowAnswer(RowStatus::kOk);
  noRow.m_storeClock = std::chrono::milliseconds(10000);
  EXPECT_CALL(m_store, Read(_, _)).WillRepeatedly(Return(noRow));
  EXPECT_CALL(m_store, Transact(_, _))
    .WillOnce(Return(MakeRowAnswer(RowStatus::kOk)))
    .WillRepeatedly(Return(MakeRowAnswer(RowStatus::kRefused)));
  EXPECT_EQ(m_handler.State(JobId("a")).m_status, JobRequestStatus::kNoSuchJob);
  EXPECT_EQ(m_handler.Cancel(JobId("a")), JobRequestStatus::kNoSuchJob);
  // The answer is given only if no late submission can make it untrue.
  EXPECT_EQ(m_handler.Cancel(JobId("a")), JobRequestStatus::kNotServed);
}

// Guards against a withdrawal that is removed at once, as it seems as old as
// the store, so that a submission which was held up runs after all.
TEST_F(JobRequestHandlerTest, NoJobIsWithdrawnWithoutTheStoresClock)
{
  EXPECT_CALL(m_store, Read(_, _))
    .WillRepeatedly(Return(MakeRowAnswer(RowStatus::kOk)));
  EXPECT_CALL(m_store, Transact(_, _)).Times(0);
  EXPECT_EQ(m_handler.Cancel(JobId("a")), JobRequestStatus::kNotServed);
}

TEST_F(JobRequestHandlerTest, FailedReadDoesNotReportAJobAsMissing)
{
  ON_CALL(m_store, Read(_, _))
    .WillByDefault(Return(MakeRowAnswer(RowStatus::kRefused)));
  EXPECT_EQ(m_handler.State(JobId("a")).m_status, JobRequestStatus::kNotServed);
}

// After a takeover, the new leader's row holds no counts until the leader has
// loaded the jobs; the counts were returned as empty then. Seen on ozolini-rake
// scale-2.
TEST_F(JobRequestHandlerTest, CountsAreReturnedOnlyWhileALeaderCounts)
{
  EXPECT_CALL(m_store, Read(_, _))
    .WillOnce(Return(LeaderRow(true, 9900)))
    .WillOnce(Return(LeaderRow(false, 9900)))
    .WillOnce(Return(LeaderRow(true, 7000)));
  EXPECT_EQ(m_handler.Pending(QueueName("plans")).m_pending, 4U);
  EXPECT_EQ(m_handler.Pending(QueueName("plans")).m_status,
            JobRequestStatus::kNotServed);
  EXPECT_EQ(m_handler.Pending(QueueName("plans")).m_status,
            JobRequestStatus::kNotServed);
}

} // namespace lycheestep
