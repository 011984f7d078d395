#ifndef LYCHEESTEP_RANDOM_SCENARIO_H
#define LYCHEESTEP_RANDOM_SCENARIO_H

#include <cstdint>
#include <string>
#include <vector>

namespace lycheestep {

// One random command of a scenario: what it does is chosen by m_verb, to whom
// by m_subject, how long or how much by m_amount, and how long after the
// command before it by m_gap. All values are valid, so that a sequence stays
// valid when commands are taken out.
struct RandomStep
{
  std::uint32_t m_verb = 0;
  std::uint32_t m_subject = 0;
  std::uint32_t m_amount = 0;
  std::uint32_t m_gap = 0;
};

// The text of a scenario of four hosts in two data centres with work of every
// form, steady requests, and these commands. After the last command the cell
// gets time to settle. The same steps and seed always give the same text.
std::string ScenarioOf(const std::vector<RandomStep>& aSteps,
                       std::uint64_t aSeed);

// Runs the text; one sentence for each thing that did not hold.
std::vector<std::string> RunScenarioText(const std::string& aText);

} // namespace lycheestep

#endif
