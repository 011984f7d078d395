// Tests that the address of a target is stored although a commit was rejected.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <gmock/gmock.h>

#include "job_rows.h"
#include "job_scheduler.h"
#include "mock_job_effects.h"
#include "model_address.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::NiceMock;

// A leader with one target and one job, whose commits the test decides.
class RejectedAddressTest : public testing::Test
{
protected:
  RejectedAddressTest()
    : m_scheduler(JobSchedulerSettings(), m_effects)
  {
    ON_CALL(m_effects, Hold(_, HoldPath::kOrders))
      .WillByDefault(
        [this](const HoldOrder& aOrder, HoldPath) { m_take = aOrder; });
    ON_CALL(m_effects, Commit(_, _))
      .WillByDefault(
        [this](const std::vector<RowWrite>& aWrites,
               const std::vector<RowKey>&) { m_writes = aWrites; });
    m_scheduler.OnCommitted(1, seconds(5000), m_now);
    ListTarget();
    StoredJob job;
    job.m_spec.m_steps.resize(1);
    job.m_spec.m_steps[0].m_count = 1;
    job.m_spec.m_steps[0].m_demand = Resources(100, 100, 0, 0, 0);
    job.m_spec.m_steps[0].m_estimate = seconds(1);
    m_scheduler.OnJob(JobId("a"), job, 0, m_now);
    Pass();
  }

  void ListTarget()
  {
    TargetRecord record;
    record.m_target = TargetId("t");
    record.m_address = ModelAddress(1);
    record.m_capacity = Resources(8000, 8000, 0, 0, 0);
    m_scheduler.OnTargetRecord(record, m_now);
    Pass();
    HoldAnswer answer;
    answer.m_status = OrderStatus::kDone;
    answer.m_targetClock = TargetTime(100);
    m_scheduler.OnHoldAnswer(m_take, HoldPath::kOrders, answer, m_now);
  }

  void Pass()
  {
    m_now += milliseconds(100);
    m_scheduler.SetTime(m_now, WallTime(0));
    m_scheduler.Tick(m_now);
  }

  bool IsWritten(const std::string& aTable) const
  {
    return std::any_of(
      m_writes.begin(), m_writes.end(), [&](const RowWrite& aWrite) {
        return aWrite.m_key.m_table == aTable;
      });
  }

  TimePoint m_now{ seconds(1000) };
  NiceMock<MockJobEffects> m_effects;
  JobScheduler m_scheduler;
  HoldOrder m_take;
  std::vector<RowWrite> m_writes;
};

} // namespace

TEST_F(RejectedAddressTest, AddressIsWrittenAgainBeforeTheDispatch)
{
  ASSERT_TRUE(IsWritten(kTargetAddressTable));
  ASSERT_TRUE(IsWritten(kProgressTable));
  m_scheduler.OnCommitRejected(m_now);
  EXPECT_CALL(m_effects, Start(_)).Times(0);
  Pass();
  EXPECT_TRUE(IsWritten(kTargetAddressTable));
  EXPECT_FALSE(IsWritten(kProgressTable));
  m_scheduler.OnCommitted(2, seconds(5001), m_now);
  Pass();
  EXPECT_TRUE(IsWritten(kProgressTable));
}

} // namespace lycheestep
