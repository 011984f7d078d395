#ifndef LYCHEESTEP_SCENARIO_PARSER_H
#define LYCHEESTEP_SCENARIO_PARSER_H

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "lycheestep/catalogue.h"
#include "scenario.h"

namespace lycheestep {

class LineReader;

// A scenario, or what is wrong with its text: "FILE:LINE: expected ...".
struct ParsedScenario
{
  std::unique_ptr<Scenario> m_scenario;
  std::vector<std::string> m_errors;
};

// Reads a catalogue file for the line "catalogue FILE". Returns null and sets
// aError when it can't.
using CatalogueReader =
  std::function<std::shared_ptr<const Catalogue>(const std::string& aFile,
                                                 std::string& aError)>;

// Reads the scenario language; docs/SCENARIOS.md describes it.
class ScenarioParser
{
public:
  // aFile only names the text in errors.
  ScenarioParser(std::string aFile, CatalogueReader aReader);

  ParsedScenario Parse(const std::string& aText);

private:
  void ParseLines(std::istream& aStream);
  void ParseLine(const std::string& aLine);
  void ParseInclude(LineReader& aReader);
  bool ParseLayout(LineReader& aReader);
  void ParseDataCentre(LineReader& aReader);
  void ParseTargets(LineReader& aReader,
                    const DataCentreName& aDataCentre,
                    std::int64_t aCount);
  bool ParseCatalogue(LineReader& aReader);
  void ParseTeam(LineReader& aReader);
  void ParseCustomer(LineReader& aReader);
  void ParseKind(LineReader& aReader);
  void ParseKindClause(LineReader& aReader, WorkKind& aKind);
  void ParseRealWork(LineReader& aReader);
  bool ParseStep(LineReader& aReader);
  void ParseStream(LineReader& aReader, ScenarioStep& aStep);
  void ParseFlood(LineReader& aReader, ScenarioStep& aStep);
  void ParseTimed(LineReader& aReader, ScenarioStep& aStep);
  void ParsePlatformFault(LineReader& aReader, ScenarioStep& aStep);
  void ParseTargetFault(LineReader& aReader, ScenarioStep& aStep);
  void ParseOperator(LineReader& aReader, ScenarioStep& aStep);
  bool ParseExpectation(LineReader& aReader);
  void ParseKindExpectation(LineReader& aReader, Expectation& aExpectation);
  void ParseOperatorExpectation(LineReader& aReader, Expectation& aExpectation);

  // Names that must exist, checked as they are read.
  std::string KindName(LineReader& aReader);
  std::string EntryName(LineReader& aReader);
  std::string TargetName(LineReader& aReader);
  std::string SideName(LineReader& aReader);
  bool IsEntry(const std::string& aName) const;
  bool IsTarget(const std::string& aName) const;
  bool IsDataCentre(const std::string& aName) const;
  void ReadFor(LineReader& aReader, ScenarioStep& aStep, bool aNeeded);

  std::string m_file;
  CatalogueReader m_reader;
  std::unique_ptr<Scenario> m_scenario;
  Catalogue m_catalogue;
  std::vector<std::string> m_errors;
  std::size_t m_line = 0;
  bool m_including = false;
  // The line without its comment.
  std::string m_text;
};

} // namespace lycheestep

#endif
