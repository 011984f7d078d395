#include <vector>

#include <nlohmann/json.hpp>

#include "command_line.h"
#include "commands.h"
#include "lycheestep/document.h"
#include "output.h"
#include "text_file.h"

namespace lycheestep {

namespace {

using nlohmann::json;

// True for an object with a key that only catalogues have.
bool LooksLikeCatalogue(const std::string& aText)
{
  const json document = json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  for (const char* key : { "cell", "kinds", "teams", "customers" }) {
    if (document.contains(key)) {
      return true;
    }
  }
  return false;
}

std::vector<DocumentProblem> ProblemsOf(const std::string& aFile)
{
  const auto text = ReadTextFile(aFile);
  if (!text) {
    DocumentProblem problem;
    problem.m_file = aFile;
    problem.m_allowed = "must be a file that can be read";
    return { problem };
  }
  return LooksLikeCatalogue(*text) ? ReadCatalogue(*text, aFile).m_problems
                                   : ReadSettings(*text, aFile).m_problems;
}

json ToJson(const DocumentProblem& aProblem)
{
  return { { "file", aProblem.m_file },
           { "pointer", aProblem.m_pointer },
           { "value", aProblem.m_value },
           { "allowed", aProblem.m_allowed } };
}

} // namespace

ExitCode RunCheckCommand(const CommandLine& aCommandLine, Output& aOutput)
{
  json report = json::array();
  bool valid = true;
  for (const std::string& file : aCommandLine.m_files) {
    const std::vector<DocumentProblem> problems = ProblemsOf(file);
    json list = json::array();
    for (const DocumentProblem& problem : problems) {
      aOutput.Error(problem.Describe());
      list.push_back(ToJson(problem));
    }
    valid = valid && problems.empty();
    report.push_back({ { "file", file },
                       { "valid", problems.empty() },
                       { "problems", list } });
    if (problems.empty() && !aCommandLine.m_json) {
      aOutput.Line(file + ": valid");
    }
  }
  if (aCommandLine.m_json) {
    aOutput.Json(report);
  }
  return valid ? ExitCode::kDone : ExitCode::kInvalid;
}

} // namespace lycheestep
