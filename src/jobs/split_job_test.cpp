// Tests of jobs whose progress outgrows one row, while their tasks are moved to
// segments: commits are cut midway, and leaders change in series.
#include "takeover_world.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <gmock/gmock.h>

#include "run_text.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Rows so short that the progress of some 20 tasks takes several.
constexpr std::size_t kShortRows = 1024;

// Runs of one task that may fail before its job fails, as in the world.
constexpr std::size_t kMaxAttempts = 2;

// The processors that a task takes, in thousandths. The targets have 128.
constexpr std::int64_t kLargeTask = 16000;

JobStep MakeStep(std::uint32_t aCount, std::int64_t aMilliCores)
{
  JobStep step;
  step.m_count = aCount;
  step.m_demand = Resources(aMilliCores, 64, 0, 0, 0);
  step.m_estimate = milliseconds(300);
  return step;
}

// Steps that do not wait for each other.
JobSpec ManySteps(std::uint32_t aSteps,
                  std::uint32_t aCount,
                  std::int64_t aMilliCores)
{
  JobSpec spec;
  spec.m_payload = "plan";
  spec.m_steps.assign(aSteps, MakeStep(aCount, aMilliCores));
  return spec;
}

// What the store and the leaders do while large jobs run.
struct Game
{
  std::vector<JobSpec> m_jobs;
  // The job that its caller cancels, if there are so many, and when.
  std::size_t m_cancelled = 0;
  Duration m_cancelAt = Duration::zero();
  Duration m_commitTime = Duration::zero();
  // The most rows that the store takes in one transaction; zero for the usual
  // number.
  std::size_t m_transactionRows = 0;
  // How often each task fails.
  std::size_t m_failures = 0;
  // The times from one change of the leader to the next, and whether the commit
  // that was under way takes effect.
  std::vector<std::pair<Duration, bool>> m_takeovers;
};

JobId JobAt(std::size_t aNumber)
{
  return JobId("job" + std::to_string(aNumber));
}

// Returns what is wrong with the end of a job that was not cancelled.
std::string CheckJob(const TakeoverWorld& aWorld,
                     const JobId& aJob,
                     const JobSpec& aSpec,
                     std::size_t aFailures)
{
  const JobOutcome outcome = aWorld.Outcomes().at(aJob);
  for (const auto& [task, runs] : outcome.m_failedRuns) {
    if (runs > kMaxAttempts) {
      return TaskText(task) + " failed " + std::to_string(runs) + " times; ";
    }
  }
  const bool fails = aFailures >= kMaxAttempts;
  if (outcome.m_state != (fails ? JobState::kFailed : JobState::kDone)) {
    return aJob.Text() + " is in state " +
           std::to_string(static_cast<int>(outcome.m_state)) + "; ";
  }
  std::uint64_t tasks = 0;
  for (const JobStep& step : aSpec.m_steps) {
    tasks += step.m_count;
  }
  tasks *= std::max(1U, aSpec.m_occurrences);
  const bool anyMissing =
    !aSpec.m_steps[0].m_gang && outcome.m_done.size() < tasks;
  return anyMissing && !fails ? aJob.Text() + " is done too early; " : "";
}

// Plays a game and returns what was broken; empty if nothing was.
std::string Play(const Game& aGame)
{
  TakeoverWorld world(4, kShortRows);
  // To print the leaders' log of a failed case, set LYCHEESTEP_TRACE=1 and the
  // RC_PARAMS that the failure printed.
  if (std::getenv("LYCHEESTEP_TRACE") != nullptr) {
    world.TraceTo(&std::cout);
  }
  world.SetFailures(aGame.m_failures);
  world.SetCommitTime(aGame.m_commitTime);
  world.RefuseLongCommits(aGame.m_transactionRows);
  for (std::size_t i = 0; i < aGame.m_jobs.size(); ++i) {
    world.Submit(JobAt(i), aGame.m_jobs[i]);
  }
  Duration now = Duration::zero();
  bool isCancelled = false;
  const auto runUntil = [&](Duration aTime) {
    const bool cancels = !isCancelled && aTime >= aGame.m_cancelAt &&
                         aGame.m_cancelled < aGame.m_jobs.size();
    if (cancels) {
      world.Run(std::max(Duration::zero(), aGame.m_cancelAt - now));
      now = std::max(now, aGame.m_cancelAt);
      world.Cancel(JobAt(aGame.m_cancelled));
      isCancelled = true;
    }
    world.Run(std::max(Duration::zero(), aTime - now));
    now = std::max(now, aTime);
  };
  for (const auto& [pause, takesEffect] : aGame.m_takeovers) {
    runUntil(now + pause);
    world.ChangeLeader(takesEffect);
  }
  const Duration limit = now + seconds(170);
  while (!(world.AllOver() && now > aGame.m_cancelAt) && now < limit) {
    runUntil(now + seconds(5));
  }
  std::string broken;
  for (const std::string& text : world.Broken()) {
    broken += text + "; ";
  }
  for (std::size_t i = 0; i < aGame.m_jobs.size(); ++i) {
    if (i != aGame.m_cancelled) {
      broken += CheckJob(world, JobAt(i), aGame.m_jobs[i], aGame.m_failures);
    }
  }
  return broken;
}

// Returns a game with one job whose tasks all fail once. The store is slow and
// takes few rows at once.
Game SlowStoreGame()
{
  Game game;
  game.m_jobs = { ManySteps(60, 2, kLargeTask) };
  game.m_cancelled = game.m_jobs.size();
  game.m_commitTime = milliseconds(40);
  game.m_transactionRows = 3;
  return game;
}

} // namespace

// Guards against finished tasks that are started again after two changes of the
// leader: the first one came while the job's row was being split, the next
// leader wrote that row without the tasks that only it had.
TEST(SplitJob, TasksOfAHalfSplitRowSurviveTheNextLeader)
{
  for (Duration at = milliseconds(3000); at < milliseconds(9000);
       at += milliseconds(20)) {
    Game game = SlowStoreGame();
    game.m_failures = 1;
    game.m_takeovers = { { at, false }, { milliseconds(1500), false } };
    EXPECT_EQ(Play(game), "") << ToMilliseconds(at);
  }
}

} // namespace lycheestep
