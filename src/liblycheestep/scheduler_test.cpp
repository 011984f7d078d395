#include "lycheestep/scheduler.h"

#include <gtest/gtest.h>

namespace lycheestep {
namespace {

using std::chrono::seconds;

template<class Wanted>
int CountOf(const ActionList& aActions)
{
  int count = 0;
  for (const Action& action : aActions) {
    count += std::holds_alternative<Wanted>(action) ? 1 : 0;
  }
  return count;
}

template<class Wanted>
const Wanted* FirstOf(const ActionList& aActions)
{
  for (const Action& action : aActions) {
    if (const auto* found = std::get_if<Wanted>(&action)) {
      return found;
    }
  }
  return nullptr;
}

SchedulerSettings Settings()
{
  SchedulerSettings settings;
  settings.m_entry = EntryId("a1");
  settings.m_dataCentre = DataCentreName("a");
  return settings;
}

TEST(Scheduler, AHostWithoutACatalogueRefusesAsNotRun)
{
  const TimePoint start{ seconds(1000) };
  Scheduler scheduler(Settings(), start);
  ActionList actions;
  RequestSubmitted event;
  event.m_ticket = 7;
  event.m_request.m_kind = KindName("stock-check");
  scheduler.Handle(event, start, actions);

  EXPECT_FALSE(scheduler.IsReady());
  ASSERT_EQ(CountOf<AnswerCaller>(actions), 1);
  const auto* answer = FirstOf<AnswerCaller>(actions);
  EXPECT_EQ(answer->m_ticket, 7U);
  EXPECT_EQ(answer->m_answer.m_outcome, Outcome::kNotRun);
  EXPECT_GT(CountOf<ReadTable>(actions), 0);
  EXPECT_EQ(CountOf<FetchHostList>(actions), 1);
}

TEST(Scheduler, TheNextWakeupIsInTheFuture)
{
  const TimePoint start{ seconds(1000) };
  Scheduler scheduler(Settings(), start);
  ActionList actions;
  scheduler.Handle(TimePassed(), start, actions);
  EXPECT_GT(scheduler.NextWakeup(), start);
}

} // namespace
} // namespace lycheestep
