// Tests of what failures of tasks say about targets and about jobs, and of when
// work goes to a target in spite of its quarantine.
#include "avoided_targets.h"
#include "mock_job_effects.h"
#include "target_quarantine.h"
#include "target_state.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <gmock/gmock.h>
#include <rapidcheck.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::NiceMock;

// A service of some targets that are taken and take work.
class Service
{
public:
  explicit Service(std::size_t aTargets)
    : m_quarantine(m_targets, m_effects)
  {
    for (std::size_t i = 0; i < aTargets; ++i) {
      TargetState& target = m_targets[Id(i)];
      target.m_record.m_target = Id(i);
      target.m_record.m_service = ServiceName("desk");
      target.m_record.m_capacity = Resources(8000, 8000, 0, 0, 0);
      target.m_listed = true;
      target.m_phase = TargetPhase::kHeld;
    }
  }

  static TargetId Id(std::size_t aTarget)
  {
    return TargetId("target-" + std::to_string(aTarget));
  }

  static JobId Job(std::size_t aJob)
  {
    return JobId("job-" + std::to_string(aJob));
  }

  void Fail(std::size_t aTarget, std::size_t aJob, bool aHasDoneTasks = false)
  {
    m_quarantine.OnTaskFailed(Id(aTarget), Job(aJob), aHasDoneTasks, m_now);
  }

  void Stall(std::size_t aTarget, std::size_t aJob)
  {
    m_quarantine.OnTaskStalled(Id(aTarget), Job(aJob), false, m_now);
  }

  // A task succeeds that began aAgo.
  void Succeed(std::size_t aTarget, Duration aAgo)
  {
    m_quarantine.OnTaskDone(Id(aTarget), m_now - aAgo);
  }

  void Pass(Duration aTime) { m_now += aTime; }

  bool IsQuarantined(std::size_t aTarget) const
  {
    return m_targets.at(Id(aTarget)).IsQuarantined(m_now);
  }

  // Returns how many targets a step with aNeed may use.
  std::size_t CountUsable(const PlacementNeed& aNeed) const
  {
    AvoidedTargets avoided;
    avoided.BeginRound(m_targets, m_now);
    return static_cast<std::size_t>(std::count_if(
      m_targets.begin(), m_targets.end(), [&](const auto& aEntry) {
        return avoided.MayUse(aEntry.second, aNeed, m_now);
      }));
  }

  // Lets runs use aPercent of the processors of all targets.
  void Use(std::int64_t aPercent)
  {
    for (auto& [id, target] : m_targets) {
      target.m_used = Resources(80 * aPercent, 0, 0, 0, 0);
    }
  }

private:
  TimePoint m_now{ seconds(1000) };
  std::map<TargetId, TargetState> m_targets;
  NiceMock<MockJobEffects> m_effects;
  TargetQuarantine m_quarantine;
};

PlacementNeed IdleFor(Duration aTime)
{
  PlacementNeed need;
  need.m_idleFor = aTime;
  return need;
}

// Plays one event of a random kind, at random targets and jobs.
void PlayAny(Service& aService, std::size_t aTargets)
{
  const auto target = *rc::gen::inRange<std::size_t>(0, aTargets);
  const auto job = *rc::gen::inRange<std::size_t>(0, 12);
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      aService.Succeed(target, milliseconds(*rc::gen::inRange(0, 5000)));
      break;
    case 1:
      aService.Stall(target, job);
      break;
    case 2:
      aService.Pass(milliseconds(*rc::gen::inRange(0, 8000)));
      break;
    case 3:
      aService.Fail(target, job, true);
      break;
    default:
      aService.Fail(target, job);
      break;
  }
}

} // namespace

TEST(TargetQuarantine, FailuresOfOneJobSayLittleAboutItsTarget)
{
  Service service(4);
  for (int i = 0; i < 30; ++i) {
    service.Fail(0, 1);
  }
  EXPECT_FALSE(service.IsQuarantined(0));
}

TEST(TargetQuarantine, FailuresOfSeveralJobsSpeakAgainstTheTarget)
{
  Service service(4);
  service.Fail(0, 1);
  service.Fail(0, 2);
  EXPECT_TRUE(service.IsQuarantined(0));
  service.Pass(milliseconds(1500));
  EXPECT_FALSE(service.IsQuarantined(0));
  service.Fail(0, 3);
  service.Pass(milliseconds(1500));
  EXPECT_TRUE(service.IsQuarantined(0));
}

TEST(TargetQuarantine, JobThatFailsOnSeveralTargetsIsTheCause)
{
  Service service(4);
  service.Fail(0, 1);
  service.Fail(0, 2);
  ASSERT_TRUE(service.IsQuarantined(0));
  service.Fail(1, 2);
  EXPECT_FALSE(service.IsQuarantined(0));
  service.Fail(1, 1);
  EXPECT_FALSE(service.IsQuarantined(1));
}

TEST(TargetQuarantine, JobThatSucceedsElsewhereSpeaksAgainstEachTarget)
{
  Service service(4);
  for (const std::size_t job : { 1U, 2U }) {
    service.Fail(0, job, true);
    service.Fail(1, job, true);
  }
  EXPECT_TRUE(service.IsQuarantined(0));
  EXPECT_TRUE(service.IsQuarantined(1));
}

TEST(TargetQuarantine, SuccessAfterTheFailuresEndsIt)
{
  Service service(4);
  service.Fail(0, 1);
  service.Fail(0, 2);
  service.Pass(milliseconds(500));
  service.Succeed(0, milliseconds(600));
  EXPECT_TRUE(service.IsQuarantined(0)) << "the run began before the failures";
  service.Succeed(0, milliseconds(400));
  EXPECT_FALSE(service.IsQuarantined(0));
}

// Tasks that run until their job is cancelled never succeed, so that nothing
// else would end the count of their failures.
TEST(TargetQuarantine, OldFailuresDoNotAddUp)
{
  Service service(1);
  for (std::size_t job = 0; job < 20; ++job) {
    service.Fail(0, job);
    EXPECT_FALSE(service.IsQuarantined(0)) << "job " << job;
    service.Pass(seconds(31));
  }
}

TEST(TargetQuarantine, StallOfOneJobIsEnough)
{
  Service service(4);
  service.Stall(0, 1);
  EXPECT_TRUE(service.IsQuarantined(0));
  service.Stall(1, 1);
  EXPECT_FALSE(service.IsQuarantined(0));
  EXPECT_FALSE(service.IsQuarantined(1));
}

TEST(AvoidedTargets, WorkWaitsForHealthyTargetsForAWhile)
{
  Service service(4);
  service.Fail(0, 1);
  service.Fail(0, 2);
  EXPECT_EQ(service.CountUsable(IdleFor(milliseconds(990))), 3U);
  EXPECT_EQ(service.CountUsable(IdleFor(milliseconds(1000))), 4U);
}

TEST(AvoidedTargets, WorkOfABusyServiceWaitsForHealthyTargets)
{
  Service service(4);
  service.Fail(0, 1);
  service.Fail(0, 2);
  service.Use(60);
  EXPECT_EQ(service.CountUsable(IdleFor(seconds(100))), 3U);
  PlacementNeed need = IdleFor(seconds(1));
  need.m_longRunning = true;
  EXPECT_EQ(service.CountUsable(need), 4U);
}

TEST(AvoidedTargets, OnlyTargetOfAServiceIsUsed)
{
  Service service(1);
  service.Fail(0, 1);
  service.Fail(0, 2);
  ASSERT_TRUE(service.IsQuarantined(0));
  EXPECT_EQ(service.CountUsable(IdleFor(Duration::zero())), 1U);
}

// Whatever fails where and when, half of a service takes work at any time, and
// all of it takes the work of a job that has waited for a second, unless the
// service is busy.
TEST(AvoidedTargets, NoMixOfFailuresKeepsWorkFromAService)
{
  const bool held = rc::check([] {
    const auto targets = *rc::gen::element<std::size_t>(1, 2, 3, 4, 48);
    const auto events = *rc::gen::inRange(1, 120);
    Service service(targets);
    for (int i = 0; i < events; ++i) {
      PlayAny(service, targets);
      RC_ASSERT(service.CountUsable(IdleFor(Duration::zero())) * 2 >= targets);
      RC_ASSERT(service.CountUsable(IdleFor(seconds(1))) == targets);
    }
  });
  EXPECT_TRUE(held);
}

} // namespace lycheestep
