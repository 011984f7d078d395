// Tests of cancelled runs in cells whose leaders change again and again while
// the runs are at work.
#include "job_cell_model.h"
#include "single_step_job.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <gmock/gmock.h>

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 6;

// The longest time that a target takes to end a run that it stops.
constexpr Duration kLongestStop = milliseconds(900);

// How the leaders of a cell end.
enum class LeadChange
{
  kHandOver, // the next one leads at once or soon
  kLoss,     // nobody leads for a time
};

// What makes stops difficult beside the changes of the lead. None of it excuses
// a run that goes on.
struct StopTrouble
{
  const char* m_name = "";
  Duration m_slowStop = Duration::zero();
  Duration m_slowHold = Duration::zero();
  Duration m_slowStart = Duration::zero();
  double m_refusedStops = 0;
  // The rows of some targets go away, or name a wrong address, for a time.
  bool m_hidesRows = false;
  bool m_misplacesRows = false;
  // Jobs recur, so that a cancellation meets runs of several occurrences.
  bool m_recurs = false;
};

void PrintTo(const StopTrouble& aTrouble, std::ostream* aStream)
{
  *aStream << aTrouble.m_name;
}

const std::vector<StopTrouble>& Troubles()
{
  constexpr Duration kNone = Duration::zero();
  // A stop that takes 1 s has its effect, but counts as unanswered.
  static const std::vector<StopTrouble> kTroubles = {
    { "None", kNone, kNone, kNone, 0, false, false, false },
    { "Recurring", kNone, kNone, kNone, 0, false, false, true },
    { "SlowStops", milliseconds(650), kNone, kNone, 0, false, false, false },
    { "UnansweredStops", seconds(1), kNone, kNone, 0, false, false, true },
    { "RefusedStops", kNone, kNone, kNone, 0.5, false, false, false },
    { "HiddenRows", kNone, kNone, kNone, 0, true, false, true },
    { "MisplacedRows", kNone, kNone, kNone, 0, false, true, false },
    { "SlowTargets",
      milliseconds(500),
      milliseconds(500),
      milliseconds(500),
      0,
      true,
      false,
      true },
  };
  return kTroubles;
}

JobSpec MakeLongJob(std::uint32_t aTasks, std::uint32_t aOccurrences)
{
  JobSpec spec =
    MakeSingleStepJob(aTasks, Resources(1000, 1024, 0, 0, 0), seconds(60));
  spec.m_occurrences = aOccurrences;
  spec.m_interval = seconds(2);
  return spec;
}

using LeadChangesCase = std::tuple<std::uint32_t, LeadChange, StopTrouble>;

class LeadChangesStopTest : public testing::TestWithParam<LeadChangesCase>
{
protected:
  LeadChangesStopTest()
    : m_change(std::get<1>(GetParam()))
    , m_trouble(std::get<2>(GetParam()))
    , m_random(std::get<0>(GetParam()))
    , m_cell(std::get<0>(GetParam()), kTargets)
  {
    m_cell.SetStopTime(kLongestStop);
    CellFaults& faults = m_cell.Faults();
    faults.m_slowStop = m_trouble.m_slowStop;
    faults.m_slowHold = m_trouble.m_slowHold;
    faults.m_slowStart = m_trouble.m_slowStart;
    m_cell.Run(milliseconds(300));
    m_nextChange = m_cell.Now() + seconds(2);
    m_nextRowChange = m_nextChange;
  }

  void Play()
  {
    const Duration end = m_cell.Now() + seconds(16);
    while (m_cell.Now() < end) {
      SubmitIfDue();
      CancelDue();
      ChangeLeaderIfDue();
      ChangeRowsIfDue();
      RefuseStopsForATime();
      m_cell.Run(milliseconds(10));
    }
  }

  // Cancels what is left and lets the time pass in which it has to be gone.
  void ExpectAllStopped()
  {
    m_cell.Faults().m_refusedStops = 0;
    for (const PlannedCancel& cancel : m_cancels) {
      m_cell.Cancel(cancel.m_job);
    }
    m_cell.Run(milliseconds(4500));
    EXPECT_THAT(m_cell.Broken(), testing::IsEmpty());
    EXPECT_TRUE(m_cell.AllOver());
    // The cell was busy all the while.
    EXPECT_GT(m_cell.Starts(), 60U);
  }

private:
  struct PlannedCancel
  {
    Duration m_at;
    JobId m_job;
  };

  milliseconds Draw(milliseconds aLeast, milliseconds aMost)
  {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
      aLeast.count(), aMost.count())(m_random));
  }

  std::uint32_t DrawCount(std::uint32_t aMost)
  {
    return std::uniform_int_distribution<std::uint32_t>(1, aMost)(m_random);
  }

  void SubmitIfDue()
  {
    if (m_cell.Now() < m_nextSubmission) {
      return;
    }
    m_nextSubmission = m_cell.Now() + Draw(milliseconds(50), milliseconds(400));
    const JobId job =
      m_cell.Submit(MakeLongJob(DrawCount(4), m_trouble.m_recurs ? 6 : 0));
    m_cancels.push_back(PlannedCancel{
      m_cell.Now() + Draw(milliseconds(0), milliseconds(6000)), job });
  }

  void CancelDue()
  {
    const auto isDue = [this](const PlannedCancel& aCancel) {
      return aCancel.m_at <= m_cell.Now();
    };
    for (const PlannedCancel& cancel : m_cancels) {
      if (isDue(cancel)) {
        m_cell.Cancel(cancel.m_job);
      }
    }
    m_cancels.erase(std::remove_if(m_cancels.begin(), m_cancels.end(), isDue),
                    m_cancels.end());
  }

  void ChangeLeaderIfDue()
  {
    if (m_cell.Now() < m_nextChange) {
      return;
    }
    if (m_change == LeadChange::kHandOver) {
      m_cell.LoseLeader(Draw(milliseconds(0), milliseconds(300)));
      m_nextChange = m_cell.Now() + Draw(milliseconds(400), milliseconds(2000));
    } else {
      m_cell.LoseLeader(Draw(milliseconds(500), milliseconds(1400)));
      m_nextChange =
        m_cell.Now() + Draw(milliseconds(4000), milliseconds(6000));
    }
  }

  void ChangeRowsIfDue()
  {
    const bool changesRows = m_trouble.m_hidesRows || m_trouble.m_misplacesRows;
    if (!changesRows || m_cell.Now() < m_nextRowChange) {
      return;
    }
    m_nextRowChange =
      m_cell.Now() + Draw(milliseconds(300), milliseconds(1500));
    const std::size_t target = DrawCount(kTargets) - 1;
    m_isAway[target] = !m_isAway[target];
    if (m_trouble.m_hidesRows) {
      m_cell.HideTargetRow(target, m_isAway[target]);
    } else {
      m_cell.MisplaceTargetRow(target, m_isAway[target]);
    }
  }

  // Targets refuse stops for 1.5 s of each 4 s.
  void RefuseStopsForATime()
  {
    const bool refuses = m_cell.Now() % seconds(4) < milliseconds(1500);
    m_cell.Faults().m_refusedStops = refuses ? m_trouble.m_refusedStops : 0;
  }

  const LeadChange m_change;
  const StopTrouble m_trouble;
  std::minstd_rand m_random;
  JobCellModel m_cell;
  std::vector<PlannedCancel> m_cancels;
  Duration m_nextSubmission = Duration::zero();
  Duration m_nextChange = Duration::zero();
  Duration m_nextRowChange = Duration::zero();
  std::vector<bool> m_isAway = std::vector<bool>(kTargets, false);
};

std::string NameOf(const testing::TestParamInfo<LeadChangesCase>& aInfo)
{
  const auto& [seed, change, trouble] = aInfo.param;
  const char* how = change == LeadChange::kHandOver ? "HandOver" : "Loss";
  return std::string(trouble.m_name) + how + std::to_string(seed);
}

INSTANTIATE_TEST_SUITE_P(Cells,
                         LeadChangesStopTest,
                         testing::Combine(testing::Range(1U, 21U),
                                          testing::Values(LeadChange::kHandOver,
                                                          LeadChange::kLoss),
                                          testing::ValuesIn(Troubles())),
                         NameOf);

} // namespace

// Guards against a run that goes on because each leader leaves it to the next.
TEST_P(LeadChangesStopTest, CancelledRunsAreStoppedInTime)
{
  Play();
  ExpectAllStopped();
}

} // namespace lycheestep
