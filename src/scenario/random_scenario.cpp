#include "random_scenario.h"

#include <sstream>

#include "scenario_parser.h"
#include "scenario_runner.h"

namespace lycheestep {

namespace {

constexpr const char* kLayout =
  "data centre a has 3 hosts\n"
  "data centre b has 1 hosts\n"
  "data centre a has 4 targets of 8 cores 16GB 8 slots 64 connections, "
  "2 to a rack\n"
  "data centre b has 2 targets of 8 cores 16GB 8 slots 64 connections, "
  "2 to a rack\n"
  "kind quote urgent request, takes 0.5 cores 256MB, runs 200ms, "
  "starts within 5s\n"
  "kind check standard request, takes 2 cores 1GB, runs 2s, "
  "starts within 20s\n"
  "kind plan standard job, durable, takes 2 cores 1GB, runs 20s, "
  "starts within 60s\n"
  "kind restock standard job, not repeatable, takes 1 cores 1GB, runs 10s, "
  "starts within 60s\n"
  "kind round standard request, not repeatable, takes 3 cores 2GB, runs 3s, "
  "starts within 60s\n"
  "kind survey batch gang of 3, takes 3 cores 1GB, runs 15s, "
  "starts within 90s\n";

constexpr const char* kKinds[] = { "quote",   "check", "plan",
                                   "restock", "round", "survey" };
constexpr const char* kHosts[] = { "a1", "a2", "a3", "b1" };
constexpr const char* kTargets[] = { "a-t1", "a-t2", "a-t3",
                                     "a-t4", "b-t1", "b-t2" };

// What a host or data centre is cut from.
constexpr const char* kCuts[][2] = {
  { "a", "platform" },  { "b", "platform" },  { "a", "b" },
  { "a1", "platform" }, { "a2", "platform" }, { "a1", "a2" },
  { "a1", "a-t1" },     { "a2", "a-t2" },     { "a3", "a-t1" },
  { "a1", "a3" },       { "b1", "b-t1" },     { "a3", "platform" },
};

// Lengths of faults, in seconds: shorter and longer than each term.
constexpr int kLengths[] = { 1, 4, 9, 14, 25, 45, 110 };

// Time between two commands, in milliseconds; none for faults together.
constexpr int kGaps[] = { 0, 0, 10, 300, 1500, 4000, 9000 };

// Time for the cell to settle after the last command.
constexpr int kSettleMilliseconds = 150000;
constexpr int kFirstMilliseconds = 5000;

template<class Value, std::size_t Count>
const Value& Pick(const Value (&aValues)[Count], std::uint32_t aNumber)
{
  return aValues[aNumber % Count];
}

std::string Fault(const RandomStep& aStep)
{
  const std::string length =
    " for " + std::to_string(Pick(kLengths, aStep.m_amount)) + "s";
  const std::string host = Pick(kHosts, aStep.m_subject);
  const std::string target =
    "target " + std::string(Pick(kTargets, aStep.m_subject));
  const auto& cut = Pick(kCuts, aStep.m_subject);
  switch (aStep.m_verb % 13) {
    case 0:
      return "kill entry " + host + length;
    case 1:
    case 2:
      return "pause entry " + host + length;
    case 3:
      return "stop entry " + host + " for 60s";
    case 4:
      return "platform down" + length;
    case 5:
    case 6:
      return "platform loses replies" + length;
    case 7:
      return "platform slow by 800ms" + length;
    case 8:
    case 9:
      return std::string("cut ") + cut[0] + " from " + cut[1] + length;
    case 10:
      return target + " dies" + length;
    case 11:
      return target + (aStep.m_amount % 2 == 0 ? " leaves"
                                               : " leaves by the list alone");
    default:
      return target + " fails everything" + length;
  }
}

std::string Command(const RandomStep& aStep)
{
  const std::string kind = Pick(kKinds, aStep.m_subject);
  const std::string host = Pick(kHosts, aStep.m_subject);
  switch (aStep.m_verb % 5) {
    case 0:
      return "send " + std::to_string(1 + aStep.m_amount % 8) + " " + kind;
    case 1:
      return "cancel " + std::to_string(1 + aStep.m_amount % 8) + " " + kind;
    case 2:
      return "operator an weighs waiting " +
             std::to_string(10 + aStep.m_amount % 80) + "% at " + host;
    default:
      return Fault(RandomStep{
        aStep.m_verb / 5, aStep.m_subject, aStep.m_amount, aStep.m_gap });
  }
}

} // namespace

std::string ScenarioOf(const std::vector<RandomStep>& aSteps,
                       std::uint64_t aSeed)
{
  std::ostringstream text;
  text << "seed " << aSeed << "\n" << kLayout;
  int at = kFirstMilliseconds;
  std::ostringstream commands;
  for (const RandomStep& step : aSteps) {
    at += Pick(kGaps, step.m_gap);
    commands << "at " << at << "ms " << Command(step) << "\n";
  }
  const int stop = at + 10000;
  text << "from 2s to " << stop << "ms send quote 3 per second\n"
       << "from 2s to " << stop << "ms send check 1 per second\n"
       << "from 2s to " << stop << "ms send plan 0.3 per second\n"
       << "from 2s to " << stop << "ms send restock 0.5 per second\n"
       << "from 2s to " << stop << "ms send round 0.5 per second\n"
       << "from 2s to " << stop << "ms send survey 0.1 per second\n"
       << commands.str() << "end at " << (at + kSettleMilliseconds) << "ms\n";
  return text.str();
}

std::vector<std::string> RunScenarioText(const std::string& aText)
{
  ScenarioParser parser("random.scenario",
                        [](const std::string&, std::string& aError) {
                          aError = "no file is read here";
                          return nullptr;
                        });
  const ParsedScenario parsed = parser.Parse(aText);
  if (!parsed.m_errors.empty()) {
    return parsed.m_errors;
  }
  ScenarioRunner runner(*parsed.m_scenario, nullptr);
  return runner.Run();
}

} // namespace lycheestep
