#ifndef LYCHEESTEP_JSON_TEXT_H
#define LYCHEESTEP_JSON_TEXT_H

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "lycheestep/document.h"

namespace lycheestep {

// Collects the problems found in one document.
class ProblemList
{
public:
  // aFile is the file name that every problem carries.
  explicit ProblemList(std::string aFile);

  // Adds a problem: the value at the JSON pointer aPointer is aValue, and
  // aAllowed says which values are allowed there. The value of a secret is
  // replaced by "(secret)", and a long value is shortened. Ignores a problem
  // with the same pointer, value and allowed text as an earlier one.
  void Add(const std::string& aPointer,
           const nlohmann::json& aValue,
           const std::string& aAllowed);

  // Adds a problem like Add(), but takes the value as text and doesn't hide
  // secrets. aValue is empty if there is no value to show.
  void AddText(const std::string& aPointer,
               const std::string& aValue,
               const std::string& aAllowed);

  // Returns true if a problem was added with exactly this pointer.
  bool Has(const std::string& aPointer) const;

  bool Empty() const { return m_problems.empty(); }

  // Moves the problems out, in the order in which they were added.
  std::vector<DocumentProblem> Take() { return std::move(m_problems); }

private:
  std::string m_file;
  std::vector<DocumentProblem> m_problems;
};

// Parses JSON text strictly: it must be UTF-8 without comments, no object may
// repeat a key, and the nesting depth is limited. Adds a problem if aText
// breaks one of these rules. Returns null if aText is not JSON or is nested too
// deeply; a repeated key adds a problem, but the document is still returned.
nlohmann::json ParseJson(const std::string& aText, ProblemList& aProblems);

// Returns the JSON pointer aPointer extended by the reference token aToken,
// which is escaped according to RFC 6901.
std::string AppendToken(const std::string& aPointer, const std::string& aToken);

} // namespace lycheestep

#endif
