// Tests that targets get only work that callers sent: the payload of the job,
// a checkpoint of the task, and occurrences that are due.
#include "job_cell_model.h"

#include <algorithm>

#include <gmock/gmock.h>
#include <rapidcheck.h>

#include "jobs.pb.h"
#include "takeover_world.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What the wall clock of JobCellModel shows at virtual time zero.
constexpr WallTime kWallStart{ 1700000000000 };

JobStep RandomStep(std::uint32_t aNumber)
{
  JobStep step;
  step.m_count = *rc::gen::element(1U, 2U, 4U, 40U);
  step.m_demand = Resources(700, 256, 0, 0, 0);
  step.m_estimate = milliseconds(*rc::gen::inRange(300, 4000));
  step.m_checkpointing = *rc::gen::inRange(0, 4) > 0;
  step.m_gang = *rc::gen::inRange(0, 3) == 0;
  step.m_longRunning = !step.m_gang && *rc::gen::inRange(0, 5) == 0;
  if (aNumber > 0 && *rc::gen::arbitrary<bool>()) {
    step.m_after = { aNumber - 1 };
  }
  return step;
}

JobSpec RandomSpec(std::size_t aNumber, Duration aNow)
{
  JobSpec spec;
  spec.m_payload = "payload-" + std::to_string(aNumber);
  const auto steps = *rc::gen::inRange(1U, 4U);
  for (std::uint32_t s = 0; s < steps; ++s) {
    spec.m_steps.push_back(RandomStep(s));
  }
  if (*rc::gen::inRange(0, 3) == 0) {
    spec.m_occurrences = *rc::gen::inRange(1U, 5U);
    spec.m_firstDue = kWallStart + std::chrono::duration_cast<WallTime>(aNow) +
                      WallTime(*rc::gen::inRange(-500, 2000));
    spec.m_interval = WallTime(*rc::gen::inRange(200, 3000));
  }
  return spec;
}

// Two steps of two tasks, one after the other.
JobSpec TwoSteps()
{
  JobSpec spec;
  spec.m_payload = "two steps";
  spec.m_steps.resize(2);
  for (JobStep& step : spec.m_steps) {
    step.m_count = 2;
    step.m_demand = Resources(1000, 64, 0, 0, 0);
    step.m_estimate = seconds(2);
  }
  spec.m_steps[1].m_after = { 0 };
  return spec;
}

// A cell in which one random event after another happens.
class RandomGame
{
public:
  RandomGame()
    : m_targets(*rc::gen::inRange<std::size_t>(2, 6))
    , m_cell(*rc::gen::inRange<std::uint64_t>(1, 1000000), m_targets)
  {
    m_cell.SetCheckpointBytes(*rc::gen::element(1, 100, 400));
    m_cell.SetRowBytes(
      *rc::gen::element<std::size_t>(1024, 4096, kDefaultRowBytes));
    m_cell.Queue().m_advice.m_required = *rc::gen::inRange(0, 4) == 0;
  }

  JobCellModel& Cell() { return m_cell; }

  void Play()
  {
    m_cell.Run(milliseconds(200));
    const auto moves =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 14));
    for (const int move : moves) {
      Move(move);
      m_cell.Run(milliseconds(*rc::gen::inRange(10, 1500)));
    }
    EndFaults();
    m_cell.Run(seconds(15));
  }

private:
  void Move(int aMove)
  {
    const auto target = *rc::gen::inRange<std::size_t>(0, m_targets);
    switch (aMove) {
      case 0:
      case 1:
      case 2:
      case 3:
      case 4:
        m_jobs.push_back(
          m_cell.Submit(RandomSpec(m_jobs.size(), m_cell.Now())));
        break;
      case 5:
      case 6:
        m_cell.ChangeLeader();
        break;
      case 7:
        m_cell.RestartTarget(target);
        break;
      case 8:
        m_cell.CutTarget(target, *rc::gen::arbitrary<bool>());
        break;
      case 9:
        m_cell.Faults().m_lateOrders = *rc::gen::element(0.0, 0.2);
        break;
      case 10:
        m_cell.Faults().m_lostOrders = *rc::gen::element(0.0, 0.3);
        break;
      case 11:
        m_cell.Faults().m_storeDown = !m_cell.Faults().m_storeDown;
        break;
      default:
        if (!m_jobs.empty()) {
          m_cell.Cancel(*rc::gen::elementOf(m_jobs));
        }
    }
  }

  void EndFaults()
  {
    m_cell.Faults() = CellFaults();
    for (std::size_t i = 0; i < m_targets; ++i) {
      m_cell.CutTarget(i, false);
    }
  }

  const std::size_t m_targets;
  JobCellModel m_cell;
  std::vector<JobId> m_jobs;
};

} // namespace

TEST(StartIdentity, TargetsGetOnlyWhatCallersSent)
{
  std::size_t resumed = 0;
  const bool held = rc::check("every start is a caller's", [&resumed] {
    RandomGame game;
    game.Play();
    resumed += game.Cell().Resumed();
    RC_ASSERT(game.Cell().Broken() == std::vector<std::string>());
  });
  EXPECT_TRUE(held);
  // Without such starts the game says nothing on checkpoints.
  EXPECT_GT(resumed, 0U);
  RecordProperty("resumed", std::to_string(resumed));
}

// Guards against starts of tasks that only a stored row names.
TEST(StartIdentity, RowsOfTasksThatTheJobDoesNotHaveStartNothing)
{
  TakeoverWorld world(2, kDefaultRowBytes);
  const JobId job("job");
  world.Submit(job, TwoSteps());
  world.Run(seconds(1));
  world.SetRowFilter([](Row& aRow) {
    proto::JobProgressRow row;
    ASSERT_TRUE(row.ParseFromString(aRow.m_value));
    row.add_task()->set_index(9);
    row.add_task()->set_step(4);
    row.add_task()->set_occurrence(3);
    aRow.m_value = row.SerializeAsString();
  });
  world.ChangeLeader(true);
  world.Run(seconds(30));
  EXPECT_THAT(world.Broken(), testing::IsEmpty());
  EXPECT_TRUE(world.AllOver());
}

// Guards against starts of tasks that wait in a job whose row says it is over.
TEST(StartIdentity, WaitingTasksOfAJobThatIsOverDoNotStart)
{
  for (const JobState state :
       { JobState::kDone, JobState::kFailed, JobState::kCancelled }) {
    TakeoverWorld world(2, kDefaultRowBytes);
    const JobId job("job");
    world.Submit(job, TwoSteps());
    world.Run(seconds(1));
    world.SetRowFilter([state](Row& aRow) {
      proto::JobProgressRow row;
      ASSERT_TRUE(row.ParseFromString(aRow.m_value));
      row.set_state(static_cast<std::uint32_t>(state));
      aRow.m_value = row.SerializeAsString();
    });
    world.ChangeLeader(true);
    world.Run(seconds(30));
    EXPECT_THAT(world.Broken(), testing::IsEmpty());
    const TaskName waiting{ StepName{ job, 0, 1 }, 0 };
    EXPECT_THAT(world.TargetsOf(waiting), testing::IsEmpty());
  }
}

// Guards against ends of runs that another job with the same id had.
TEST(StartIdentity, EndsOfAFormerJobDoNotCountForItsNamesake)
{
  JobSpec spec;
  spec.m_payload = "first";
  spec.m_steps.resize(1);
  spec.m_steps[0].m_count = 1;
  spec.m_steps[0].m_demand = Resources(1000, 256, 0, 0, 0);
  spec.m_steps[0].m_estimate = seconds(30);
  spec.m_steps[0].m_checkpointing = true;
  JobCellModel cell(1, 2);
  cell.Run(milliseconds(200));
  const JobId job = cell.Submit(spec);
  cell.Run(seconds(2));
  ASSERT_EQ(cell.Starts(), 1U);
  const std::size_t used = cell.TargetOfNewestStart();
  cell.CutTarget(used, true);
  cell.Cancel(job);
  cell.Run(seconds(200));
  spec.m_payload = "second";
  cell.SubmitAgain(job, spec);
  cell.Run(seconds(2));
  ASSERT_EQ(cell.Starts(), 2U);
  cell.CutTarget(used, false);
  cell.Run(seconds(60));
  EXPECT_THAT(cell.Broken(), testing::IsEmpty());
  EXPECT_EQ(cell.StateOf(job), JobState::kDone);
}

} // namespace lycheestep
