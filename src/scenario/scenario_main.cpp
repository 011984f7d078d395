#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include "catalogue_file.h"
#include "expectation_checker.h"
#include "scenario_parser.h"
#include "scenario_runner.h"

namespace {

using lycheestep::ExpectationChecker;
using lycheestep::ParsedScenario;
using lycheestep::Scenario;
using lycheestep::ScenarioParser;
using lycheestep::ScenarioRunner;

constexpr int kExitHolds = 0;
constexpr int kExitFails = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage =
  "Usage: lycheestep-scenario [--trace] [--once] [--seed N] FILE\n"
  "Runs a scripted scenario twice on virtual time, prints its summary and\n"
  "all that did not hold. --trace prints each step and decision as well;\n"
  "--once leaves out the second run.\n"
  "Exit status: 0 all holds, 1 something does not, 2 the file is wrong.\n";

struct Options
{
  bool m_trace = false;
  bool m_once = false;
  std::string m_seed;
  std::string m_file;
};

bool ReadOptions(const std::vector<std::string>& aWords, Options& aOptions)
{
  for (std::size_t i = 0; i < aWords.size(); ++i) {
    if (aWords[i] == "--trace") {
      aOptions.m_trace = true;
    } else if (aWords[i] == "--once") {
      aOptions.m_once = true;
    } else if (aWords[i] == "--seed" && i + 1 < aWords.size()) {
      aOptions.m_seed = aWords[++i];
    } else if (aOptions.m_file.empty() && aWords[i][0] != '-') {
      aOptions.m_file = aWords[i];
    } else {
      return false;
    }
  }
  return !aOptions.m_file.empty();
}

// What one whole run gave.
struct RunResult
{
  std::string m_trace;
  // The summary and what did not hold.
  std::string m_summary;
  bool m_holds = false;
};

RunResult RunOnce(const Scenario& aScenario)
{
  std::ostringstream trace;
  std::ostringstream summary;
  ScenarioRunner runner(aScenario, &trace);
  const std::vector<std::string> failures = runner.Run();
  ExpectationChecker(runner.Cell()).Summarize(summary);
  for (const std::string& failure : failures) {
    summary << "DOES NOT HOLD  " << failure << '\n';
  }
  return { trace.str(), summary.str(), failures.empty() };
}

int Run(const Options& aOptions)
{
  std::ifstream file(aOptions.m_file);
  if (!file) {
    std::cerr << aOptions.m_file << ": can't be read\n";
    return kExitUsage;
  }
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (!aOptions.m_seed.empty()) {
    // The last line of that name counts.
    text += "\nseed " + aOptions.m_seed + "\n";
  }
  ScenarioParser parser(aOptions.m_file, lycheestep::ReadCatalogueFile);
  const ParsedScenario parsed = parser.Parse(text);
  for (const std::string& error : parsed.m_errors) {
    std::cerr << error << '\n';
  }
  if (parsed.m_scenario == nullptr) {
    return kExitUsage;
  }
  const RunResult first = RunOnce(*parsed.m_scenario);
  const RunResult second =
    aOptions.m_once ? first : RunOnce(*parsed.m_scenario);
  if (aOptions.m_trace) {
    std::cout << first.m_trace;
  }
  std::cout << first.m_summary;
  if (first.m_trace != second.m_trace || first.m_summary != second.m_summary) {
    std::cout << "DOES NOT HOLD  two runs with the same seed differ\n";
    return kExitFails;
  }
  return first.m_holds ? kExitHolds : kExitFails;
}

} // namespace

int main(int aCount, char** aArguments)
{
  Options options;
  if (!ReadOptions({ aArguments + 1, aArguments + aCount }, options)) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  return Run(options);
}
