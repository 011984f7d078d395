#ifndef LYCHEESTEP_SCENARIO_H
#define LYCHEESTEP_SCENARIO_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cell_layout.h"
#include "invariant_checker.h"
#include "lycheestep/catalogue.h"
#include "work_model.h"

namespace lycheestep {

// What a timed line does.
enum class StepVerb
{
  kSend,       // m_count requests of m_name at once
  kStream,     // m_count requests of m_name a second until m_end
  kCancel,     // take back m_count requests of m_name
  kPauseEntry, // for m_length
  kKillEntry,  // for m_length; zero: for good
  kStartEntry,
  kStopEntry,      // gracefully; started again after m_length unless zero
  kPlatformDown,   // for m_length, as all of the platform's faults
  kPlatformSlow,   // by m_delay
  kPlatformLoses,  // replies
  kCut,            // m_name from m_other for m_length
  kTargetDies,     // for m_length; zero: for good
  kTargetLeaves,   // by its own word too
  kTargetDelisted, // leaving by the list alone
  kTargetFails,    // everything, for m_length; zero: for good
  kStopWork,       // operator m_operator at m_name: kind m_other
  kStartWork,
  kDrainWork,
  kAnnounce, // m_customer was called about m_other
  kApply,    // the catalogue with the waiting weight m_count percent
};

// One timed line.
struct ScenarioStep
{
  StepVerb m_verb = StepVerb::kSend;
  Duration m_at = Duration::zero();
  Duration m_end = Duration::zero();
  Duration m_length = Duration::zero();
  Duration m_delay = Duration::zero();
  std::string m_name;
  std::string m_other;
  std::string m_operator;
  // Empty: callers of all data centres in turn.
  DataCentreName m_dataCentre;
  std::int64_t m_count = 0;
  // The line as it was written, for the trace.
  std::string m_text;
};

// What an expectation is about.
enum class ExpectationVerb
{
  kAlways,      // an invariant, or all
  kAllDone,     // requests of m_name by m_time
  kAllAnswered, // done, not run or unknown
  kWait,        // m_percentile of the wait of m_name is at most m_time
  kShareDone,   // at least m_bound hundredths of a percent
  kShareNotRun, // at most, as all shares below
  kShareUnknown,
  kShareNoAnswer,
  kRunning,      // at least m_bound tasks of m_name run at the end
  kTableWrites,  // at most m_bound a second
  kPeakUse,      // at least m_bound of the dominant resource at once
  kOperatorDone, // m_name's last command took effect
  kOperatorRefused,
  kOneWins,      // exactly one of m_name and m_other took effect
  kHeldForCalls, // m_name's command was held and named whom to call
};

// One expectation.
struct Expectation
{
  ExpectationVerb m_verb = ExpectationVerb::kAlways;
  std::string m_name;
  std::string m_other;
  Duration m_time = Duration::zero();
  int m_percentile = 100;
  std::int64_t m_bound = 0;
  std::string m_text;
};

// A whole scenario file.
struct Scenario
{
  CellLayout m_layout;
  std::map<KindName, RealWork> m_realWork;
  std::vector<ScenarioStep> m_steps;
  std::vector<Expectation> m_expectations;
  Duration m_end = std::chrono::seconds(60);
};

} // namespace lycheestep

#endif
