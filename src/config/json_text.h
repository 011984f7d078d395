#ifndef LYCHEESTEP_JSON_TEXT_H
#define LYCHEESTEP_JSON_TEXT_H

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "lycheestep/document.h"

namespace lycheestep {

// Collects what is wrong with one document.
class ProblemList
{
public:
  explicit ProblemList(std::string aFile);

  // Adds a problem at a JSON pointer. A second problem with the same pointer
  // and sentence is passed over.
  void Add(const std::string& aPointer,
           const nlohmann::json& aValue,
           const std::string& aAllowed);

  // As Add, with the value as text.
  void AddText(const std::string& aPointer,
               const std::string& aValue,
               const std::string& aAllowed);

  // True when a problem was added at this pointer.
  bool Has(const std::string& aPointer) const;

  bool Empty() const { return m_problems.empty(); }

  // The problems in the order in which they were added.
  std::vector<DocumentProblem> Take() { return std::move(m_problems); }

private:
  std::string m_file;
  std::vector<DocumentProblem> m_problems;
};

// Parses JSON text strictly: UTF-8 only, no comments, no key twice in one
// object, bounded depth. Adds a problem and returns null when it is not JSON.
nlohmann::json ParseJson(const std::string& aText, ProblemList& aProblems);

// aPointer with one more reference token, escaped as RFC 6901 asks.
std::string AppendToken(const std::string& aPointer, const std::string& aToken);

} // namespace lycheestep

#endif
