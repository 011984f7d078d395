#include "preemption.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kNow{ seconds(5000) };
const Resources kTask(8000, 1000, 0, 1, 1);

WorkKind Kind(const char* aName, WorkClass aClass, bool aCheckpointable)
{
  WorkKind kind;
  kind.m_name = KindName(aName);
  kind.m_class = aClass;
  kind.m_demand = kTask;
  kind.m_runTime = minutes(30);
  kind.m_checkpointable = aCheckpointable;
  return kind;
}

// Two targets for two tasks each, full of checkpointable batch work.
class PreemptionTest : public ::testing::Test
{
protected:
  PreemptionTest()
  {
    m_catalogue.m_kinds = { Kind("quote", WorkClass::kUrgent, false),
                            Kind("plan", WorkClass::kBatch, true),
                            Kind("round", WorkClass::kBatch, false) };
    std::vector<TargetListing> listings(2);
    listings[0].m_id = TargetId("a");
    listings[1].m_id = TargetId("b");
    m_fleet.Replace(listings);
    for (const char* name : { "a", "b" }) {
      Grant& grant = m_fleet.Find(TargetId(name))->m_grant;
      grant.m_main = kTask.Scaled(2, 1);
      grant.m_mainUntil = kNow + minutes(1);
    }
    m_queue.SetCellCapacity(kTask.Scaled(4, 1));
  }

  void Apply()
  {
    auto catalogue = std::make_shared<Catalogue>(m_catalogue);
    m_queue.SetCatalogue(catalogue);
  }

  void Run(const char* aKind, const char* aTarget, Duration aAgo)
  {
    RunningTask task;
    task.m_attempt = AttemptId(std::to_string(m_tasks.size()));
    task.m_kind = KindName(aKind);
    task.m_target = TargetId(aTarget);
    task.m_demand = kTask;
    task.m_started = kNow - aAgo;
    m_tasks.push_back(task);
    m_fleet.Take(task.m_target, kTask);
    m_queue.Started(task.m_kind, kTask, 1, kNow);
  }

  // Victims for a quote that waits for a place.
  std::vector<RunningTask> Victims()
  {
    WaitingWork quote;
    quote.m_id = RequestId("q");
    quote.m_kind = KindName("quote");
    m_queue.Offer(quote, kNow);
    m_queue.Next(kNow);
    const Preemption preemption(m_catalogue, m_queue);
    return preemption.ChooseVictims(
      m_fleet, m_tasks, kTask, WorkClass::kUrgent, kNow);
  }

  Catalogue m_catalogue;
  AdmissionQueue m_queue{ 100 };
  Fleet m_fleet;
  std::vector<RunningTask> m_tasks;
};

TEST_F(PreemptionTest, StopsTheYoungestThatCanBeCheckpointed)
{
  Apply();
  Run("plan", "a", minutes(20));
  Run("plan", "a", minutes(10));
  Run("plan", "b", minutes(5));
  Run("round", "b", minutes(1));
  const std::vector<RunningTask> victims = Victims();
  ASSERT_EQ(victims.size(), 1U);
  EXPECT_EQ(victims[0].m_attempt, AttemptId("2"));
}

TEST_F(PreemptionTest, NeverStopsPromisedWork)
{
  m_catalogue.m_customers = {
    { CustomerName("cafe"), true, "", { KindName("plan") } }
  };
  Apply();
  for (int i = 0; i < 4; ++i) {
    Run("plan", i < 2 ? "a" : "b", minutes(i));
  }
  EXPECT_TRUE(Victims().empty());
}

TEST_F(PreemptionTest, StopsNothingForAClassThatHasItsFloor)
{
  Apply();
  Run("quote", "a", minutes(1));
  Run("quote", "a", minutes(1));
  Run("plan", "b", minutes(1));
  Run("plan", "b", minutes(1));
  EXPECT_TRUE(Victims().empty());
}

} // namespace
} // namespace lycheestep
