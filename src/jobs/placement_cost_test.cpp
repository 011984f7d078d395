// Tests that the work of a leader is bounded however many steps wait.
#include "job_scheduler.h"

#include <chrono>
#include <regex>
#include <string>

#include <gmock/gmock.h>

#include "ignored_metrics.h"
#include "mock_job_effects.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::_;
using testing::NiceMock;
using testing::Return;
using testing::ReturnRef;

StoredJob MakeJob()
{
  StoredJob job;
  job.m_terms.m_name = QueueName("plans");
  job.m_terms.m_service = ServiceName("desk");
  job.m_terms.m_advice.m_required = true;
  JobStep step;
  step.m_count = 2;
  step.m_demand = Resources(1000, 64, 0, 0, 0);
  step.m_estimate = seconds(1);
  job.m_spec.m_payload = "plan";
  job.m_spec.m_steps = { step };
  return job;
}

// Returns the value of a field of a log line.
std::size_t FieldOf(const std::string& aFields, const std::string& aName)
{
  std::smatch match;
  const bool found =
    std::regex_search(aFields, match, std::regex(aName + "=([0-9]+)"));
  return found ? std::stoul(match[1]) : 0;
}

} // namespace

class PlacementCost : public testing::TestWithParam<std::size_t>
{};

TEST_P(PlacementCost, StepsLookedAtPerSecondAreBounded)
{
  // A look at a step takes a few microseconds of the leader's half processor.
  constexpr std::size_t kMaxLooksPerSecond = 100000;
  const std::size_t jobs = GetParam();
  NiceMock<MockJobEffects> effects;
  IgnoredMetrics metrics;
  ON_CALL(effects, Metrics()).WillByDefault(ReturnRef(metrics));
  std::string report;
  ON_CALL(effects, LogUnlimited("fleet-state", _))
    .WillByDefault([&](const std::string&, const std::string& aFields) {
      report = aFields;
    });
  ON_CALL(effects, CanAsk()).WillByDefault(Return(false));
  JobScheduler scheduler(JobSchedulerSettings(), effects);
  TimePoint now{ seconds(100) };
  scheduler.SetTime(now, WallTime(0));
  for (std::size_t i = 0; i < jobs; ++i) {
    scheduler.OnJob(JobId("job" + std::to_string(i)), MakeJob(), 0, now);
  }
  const TimePoint end = now + milliseconds(2500);
  while (now < end) {
    now += milliseconds(4);
    scheduler.SetTime(now, WallTime(0));
    scheduler.OnAdvice(AdviceAnswer(), now); // something changes all the time
    scheduler.Tick(now);
  }
  const std::size_t rounds = FieldOf(report, "rounds");
  EXPECT_EQ(FieldOf(report, "waiting_steps"), jobs);
  EXPECT_GT(rounds, 5U);
  EXPECT_LE(rounds * jobs, kMaxLooksPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Queues,
                         PlacementCost,
                         testing::Values(500, 2400, 10000));

} // namespace lycheestep
