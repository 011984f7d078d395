#ifndef LYCHEESTEP_SCENARIO_RUNNER_H
#define LYCHEESTEP_SCENARIO_RUNNER_H

#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "lycheestep/operator_command.h"
#include "scenario.h"
#include "virtual_cell.h"

namespace lycheestep {

// Runs one scenario from its beginning to its end.
class ScenarioRunner
{
public:
  // aScenario outlives the runner; aTrace may be null.
  ScenarioRunner(const Scenario& aScenario, std::ostream* aTrace);
  ~ScenarioRunner();

  // Runs it, and returns one sentence for each thing that did not hold.
  std::vector<std::string> Run();

  // The cell as it is after the run.
  const VirtualCell& Cell() const { return *m_cell; }

private:
  void Schedule(const ScenarioStep& aStep);
  void ScheduleStream(const ScenarioStep& aStep);
  void Perform(const ScenarioStep& aStep);
  bool PerformOnEntry(const ScenarioStep& aStep);
  bool PerformOnPlatform(const ScenarioStep& aStep);
  bool PerformOnTarget(const ScenarioStep& aStep);
  void PerformOperator(const ScenarioStep& aStep);
  void Announce(const ScenarioStep& aStep);
  void Send(const ScenarioStep& aStep);
  void After(Duration aLength, std::function<void()> aWhat);

  const Scenario& m_scenario;
  std::unique_ptr<VirtualCell> m_cell;
  std::size_t m_turn = 0;
};

} // namespace lycheestep

#endif
