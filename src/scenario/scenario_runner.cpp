#include "scenario_runner.h"

#include <utility>

#include "expectation_checker.h"
#include "invariant_checker.h"

namespace lycheestep {

ScenarioRunner::ScenarioRunner(const Scenario& aScenario, std::ostream* aTrace)
  : m_scenario(aScenario)
  , m_cell(std::make_unique<VirtualCell>(aScenario.m_layout, aTrace))
{
  for (const auto& [kind, work] : m_scenario.m_realWork) {
    m_cell->Work().SetRealWork(kind, work);
  }
}

ScenarioRunner::~ScenarioRunner() = default;

std::vector<std::string> ScenarioRunner::Run()
{
  for (const ScenarioStep& step : m_scenario.m_steps) {
    Schedule(step);
  }
  m_cell->RunUntil(m_scenario.m_end);
  std::vector<std::string> failures;
  for (const Violation& violation : InvariantChecker(*m_cell).Check()) {
    failures.push_back("always " +
                       std::string(ToString(violation.m_invariant)) + ": " +
                       violation.m_what);
  }
  const ExpectationChecker checker(*m_cell);
  for (const Expectation& expectation : m_scenario.m_expectations) {
    const std::string failure = checker.Check(expectation);
    if (!failure.empty()) {
      failures.push_back(expectation.m_text + ": " + failure);
    }
  }
  return failures;
}

void ScenarioRunner::Schedule(const ScenarioStep& aStep)
{
  if (aStep.m_verb == StepVerb::kStream) {
    ScheduleStream(aStep);
    return;
  }
  m_cell->Time().At(VirtualCell::Beginning() + aStep.m_at, [this, &aStep] {
    m_cell->Trace("---  " + aStep.m_text);
    Perform(aStep);
  });
}

void ScenarioRunner::ScheduleStream(const ScenarioStep& aStep)
{
  constexpr std::int64_t kThousand = 1000;
  const Duration gap =
    Duration(std::chrono::seconds(kThousand)) / aStep.m_count;
  for (Duration at = aStep.m_at; at < aStep.m_end; at += gap) {
    m_cell->Time().At(VirtualCell::Beginning() + at,
                      [this, &aStep] { Send(aStep); });
  }
}

void ScenarioRunner::Perform(const ScenarioStep& aStep)
{
  if (aStep.m_verb == StepVerb::kSend) {
    for (std::int64_t i = 0; i < aStep.m_count; ++i) {
      Send(aStep);
    }
  } else if (aStep.m_verb == StepVerb::kCancel) {
    m_cell->Callers().Cancel(KindName(aStep.m_name),
                             static_cast<std::size_t>(aStep.m_count));
  } else if (aStep.m_verb == StepVerb::kCut) {
    m_cell->Network().Cut(aStep.m_name, aStep.m_other);
    After(aStep.m_length, [this, &aStep] {
      m_cell->Network().Mend(aStep.m_name, aStep.m_other);
    });
  } else if (!PerformOnEntry(aStep) && !PerformOnPlatform(aStep) &&
             !PerformOnTarget(aStep)) {
    PerformOperator(aStep);
  }
}

bool ScenarioRunner::PerformOnEntry(const ScenarioStep& aStep)
{
  VirtualHost* host = m_cell->FindHost(aStep.m_name);
  const auto startAgain = [this, host] { m_cell->StartHost(*host); };
  switch (aStep.m_verb) {
    case StepVerb::kPauseEntry:
      m_cell->PauseHost(*host);
      After(aStep.m_length, [this, host] { m_cell->ResumeHost(*host); });
      return true;
    case StepVerb::kKillEntry:
      m_cell->KillHost(*host);
      After(aStep.m_length, startAgain);
      return true;
    case StepVerb::kStopEntry:
      m_cell->StopHost(*host);
      After(aStep.m_length, startAgain);
      return true;
    case StepVerb::kStartEntry:
      m_cell->StartHost(*host);
      return true;
    default:
      return false;
  }
}

bool ScenarioRunner::PerformOnPlatform(const ScenarioStep& aStep)
{
  TableFaults& faults = m_cell->Platform().Faults();
  switch (aStep.m_verb) {
    case StepVerb::kPlatformDown:
      faults.m_down = true;
      After(aStep.m_length, [&faults] { faults.m_down = false; });
      return true;
    case StepVerb::kPlatformSlow:
      faults.m_delay = aStep.m_delay;
      After(aStep.m_length, [&faults] { faults.m_delay = Duration::zero(); });
      return true;
    case StepVerb::kPlatformLoses:
      faults.m_loseReplies = true;
      After(aStep.m_length, [&faults] { faults.m_loseReplies = false; });
      return true;
    default:
      return false;
  }
}

bool ScenarioRunner::PerformOnTarget(const ScenarioStep& aStep)
{
  TargetModel* target = m_cell->FindTarget(aStep.m_name);
  switch (aStep.m_verb) {
    case StepVerb::kTargetDies:
      m_cell->KillTarget(*target);
      After(aStep.m_length, [this, target] { m_cell->RestartTarget(*target); });
      return true;
    case StepVerb::kTargetLeaves:
    case StepVerb::kTargetDelisted:
      m_cell->LeaveTarget(*target, aStep.m_verb == StepVerb::kTargetLeaves);
      return true;
    case StepVerb::kTargetFails:
      target->SetFailing(true);
      After(aStep.m_length, [target] { target->SetFailing(false); });
      return true;
    default:
      return false;
  }
}

void ScenarioRunner::PerformOperator(const ScenarioStep& aStep)
{
  OperatorCommand command;
  command.m_operator = aStep.m_operator;
  command.m_kind = KindName(aStep.m_other);
  switch (aStep.m_verb) {
    case StepVerb::kStopWork:
      command.m_verb = OperatorVerb::kStop;
      break;
    case StepVerb::kStartWork:
      command.m_verb = OperatorVerb::kStart;
      break;
    case StepVerb::kDrainWork:
      command.m_verb = OperatorVerb::kDrain;
      break;
    case StepVerb::kAnnounce:
      Announce(aStep);
      return;
    default: {
      auto changed =
        std::make_shared<Catalogue>(*m_scenario.m_layout.m_catalogue);
      changed->m_weights.m_waiting = static_cast<double>(aStep.m_count) / 10000;
      changed->m_weights.m_packing = 1 - changed->m_weights.m_waiting;
      command.m_verb = OperatorVerb::kApply;
      command.m_message = "weigh waiting";
      for (const VersionSight& sight : m_cell->Operators().Sights()) {
        command.m_baseVersion =
          std::max(command.m_baseVersion, sight.m_version);
      }
      command.m_catalogue = std::move(changed);
    }
  }
  m_cell->Operators().Ask(
    aStep.m_operator, command, *m_cell->FindHost(aStep.m_name));
}

void ScenarioRunner::Announce(const ScenarioStep& aStep)
{
  OperatorCommand command;
  command.m_verb = OperatorVerb::kAnnounce;
  command.m_operator = aStep.m_operator;
  command.m_kind = KindName(aStep.m_other);
  const Catalogue& catalogue = *m_scenario.m_layout.m_catalogue;
  for (const Customer* customer :
       catalogue.PromisedCustomersOf(command.m_kind)) {
    command.m_customer = customer->m_name;
    m_cell->Operators().Ask(
      aStep.m_operator, command, *m_cell->FindHost(aStep.m_name));
  }
}

void ScenarioRunner::Send(const ScenarioStep& aStep)
{
  const auto& hosts = m_scenario.m_layout.m_hosts;
  const DataCentreName& dataCentre =
    aStep.m_dataCentre.Empty() ? hosts[m_turn++ % hosts.size()].m_dataCentre
                               : aStep.m_dataCentre;
  m_cell->Callers().Submit(KindName(aStep.m_name), dataCentre);
}

void ScenarioRunner::After(Duration aLength, std::function<void()> aWhat)
{
  if (aLength > Duration::zero()) {
    m_cell->Time().After(aLength, std::move(aWhat));
  }
}

} // namespace lycheestep
