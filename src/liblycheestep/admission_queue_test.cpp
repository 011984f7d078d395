#include "admission_queue.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart{ seconds(1000) };
const Resources kOneTask(1000, 1000, 0, 1, 1);

WorkKind Kind(const char* aName, WorkClass aClass, const char* aTeam)
{
  WorkKind kind;
  kind.m_name = KindName(aName);
  kind.m_team = TeamName(aTeam);
  kind.m_class = aClass;
  kind.m_demand = kOneTask;
  return kind;
}

// Room for 100 tasks, three kinds of three classes.
class AdmissionQueueTest : public ::testing::Test
{
protected:
  AdmissionQueueTest()
  {
    m_catalogue.m_teams = { { TeamName("desk"), 1.0, 0.0 },
                            { TeamName("plans"), 0.8, 0.0 } };
    m_catalogue.m_kinds = { Kind("quote", WorkClass::kUrgent, "desk"),
                            Kind("check", WorkClass::kStandard, "desk"),
                            Kind("plan", WorkClass::kBatch, "plans") };
    Apply();
    m_queue.SetCellCapacity(kOneTask.Scaled(100, 1));
  }

  void Apply()
  {
    m_queue.SetCatalogue(std::make_shared<Catalogue>(m_catalogue));
  }

  AdmissionVerdict Offer(const std::string& aId,
                         const char* aKind,
                         Duration aDeadline = seconds(10))
  {
    WaitingWork work;
    work.m_id = RequestId(aId);
    work.m_kind = KindName(aKind);
    work.m_arrived = m_now;
    work.m_deadline = m_now + aDeadline;
    return m_queue.Offer(work, m_now);
  }

  // Offers aCount requests of a kind that wait for as long as it takes.
  void Flood(const char* aKind, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Offer(aKind + std::to_string(m_next++), aKind, minutes(60));
    }
  }

  // Starts what may start until nothing may.
  int StartAll()
  {
    int started = 0;
    while (auto work = m_queue.Next(m_now)) {
      m_queue.Started(work->m_kind, kOneTask, 1, m_now);
      ++started;
    }
    return started;
  }

  int Running(const char* aKind) const
  {
    return m_queue.Running(KindName(aKind));
  }

  Catalogue m_catalogue;
  AdmissionQueue m_queue{ 10000 };
  TimePoint m_now = kStart;
  int m_next = 0;
};

TEST_F(AdmissionQueueTest, StartsUrgentWorkFirstThenTheEarliestDeadline)
{
  Offer("p", "plan");
  Offer("c", "check");
  Offer("late", "quote", seconds(9));
  Offer("soon", "quote", seconds(3));
  std::vector<std::string> order;
  while (auto work = m_queue.Next(m_now)) {
    order.push_back(work->m_id.Text());
  }
  EXPECT_EQ(order, (std::vector<std::string>{ "soon", "late", "c", "p" }));
}

TEST_F(AdmissionQueueTest, UrgentFloodLeavesTheOtherFloors)
{
  Flood("quote", 900);
  EXPECT_EQ(StartAll(), 100);
  Flood("check", 100);
  Flood("plan", 100);
  // As tasks of the flood end, the other classes come up to their floors.
  for (int i = 0; i < 60; ++i) {
    m_queue.Ended(KindName("quote"), kOneTask, 1);
    StartAll();
  }
  EXPECT_EQ(Running("check"), 20);
  EXPECT_EQ(Running("plan"), 10);
  EXPECT_EQ(Running("quote"), 70);
}

TEST_F(AdmissionQueueTest, LongWorkCannotBorrowAFloor)
{
  m_catalogue.m_kinds[2].m_runTime = minutes(30);
  Apply();
  Flood("plan", 300);
  EXPECT_EQ(StartAll(), 50);
  Flood("quote", 100);
  StartAll();
  EXPECT_GE(Running("quote"), 30);
}

TEST_F(AdmissionQueueTest, QuotaAndRunningLimitHold)
{
  m_catalogue.m_kinds[1].m_runningLimit = 7;
  Apply();
  Flood("check", 50);
  Flood("plan", 300);
  StartAll();
  EXPECT_EQ(Running("check"), 7);
  EXPECT_EQ(Running("plan"), 80);
  EXPECT_NE(m_queue.Explain(RequestId("plan349"), m_now).find("quota"),
            std::string::npos);
  m_now += minutes(61);
  for (const WaitingWork& work : m_queue.TakeExpired(m_now)) {
    EXPECT_EQ(work.m_reason,
              work.m_kind == KindName("plan")
                ? SchedulerError::kQuotaExceeded
                : SchedulerError::kDeadlinePassed);
  }
  EXPECT_EQ(m_queue.Waiting(), 0U);
}

TEST_F(AdmissionQueueTest, QueuesAreBoundedAndAFloodTakesNoOtherPart)
{
  m_catalogue.m_kinds[2].m_queueLimit = 100000;
  Apply();
  Flood("plan", 20000);
  EXPECT_LE(m_queue.Waiting(), 7000U);
  EXPECT_TRUE(Offer("q", "quote").m_accepted);
  m_catalogue.m_kinds[0].m_queueLimit = 1;
  Apply();
  const AdmissionVerdict verdict = Offer("q2", "quote");
  EXPECT_EQ(verdict.m_error, SchedulerError::kQueueFull);
  EXPECT_GT(verdict.m_retryAfter, Duration::zero());
}

TEST_F(AdmissionQueueTest, RefusesWhatWouldMissItsDeadline)
{
  m_catalogue.m_kinds[0].m_runTime = seconds(10);
  Apply();
  Flood("quote", 500);
  StartAll();
  EXPECT_EQ(Offer("hopeless", "quote", milliseconds(900)).m_error,
            SchedulerError::kDeadlineUnreachable);
}

TEST_F(AdmissionQueueTest, WorkWithoutAPlaceHoldsUpNobody)
{
  Flood("quote", 2);
  Flood("check", 1);
  auto work = m_queue.Next(m_now);
  ASSERT_EQ(work->m_kind, KindName("quote"));
  m_queue.PutBack(*work, "no target has 9 accelerators", m_now);
  EXPECT_EQ(m_queue.Explain(work->m_id, m_now),
            "waits behind 0 of its kind: no target has 9 accelerators");
  EXPECT_EQ(m_queue.Next(m_now)->m_kind, KindName("check"));
  EXPECT_FALSE(m_queue.Next(m_now).has_value());
  m_queue.CapacityChanged();
  EXPECT_EQ(m_queue.Next(m_now)->m_id, work->m_id);
}

TEST_F(AdmissionQueueTest, RoomIsKeptForAGangThatWaitedLong)
{
  m_catalogue.m_kinds[2].m_form = WorkForm::kGang;
  m_catalogue.m_kinds[2].m_tasks = 60;
  m_catalogue.m_classFloors = { 0.0, 0.0, 0.0 };
  Apply();
  Flood("check", 900);
  StartAll();
  WaitingWork gang;
  gang.m_id = RequestId("gang");
  gang.m_kind = KindName("plan");
  gang.m_tasks = 60;
  gang.m_arrived = m_now;
  ASSERT_TRUE(m_queue.Offer(gang, m_now).m_accepted);
  int steps = 0;
  while (Running("plan") == 0 && steps < 200) {
    m_now += milliseconds(100);
    ++steps;
    m_queue.Ended(KindName("check"), kOneTask, 1);
    while (auto work = m_queue.Next(m_now)) {
      m_queue.Started(work->m_kind, kOneTask, work->m_tasks, m_now);
    }
  }
  EXPECT_EQ(Running("plan"), 60);
}

TEST_F(AdmissionQueueTest, ForgottenKindsAreRefusedAndReleased)
{
  Flood("plan", 3);
  m_catalogue.m_kinds.pop_back();
  Apply();
  EXPECT_EQ(Offer("p", "plan").m_error, SchedulerError::kUnknownKind);
  EXPECT_EQ(StartAll(), 3);
}

} // namespace
} // namespace lycheestep
