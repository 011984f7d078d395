#ifndef LYCHEESTEP_SCHEMA_CHECK_H
#define LYCHEESTEP_SCHEMA_CHECK_H

#include <memory>

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

class ProblemList;

// A JSON Schema (draft 7), parsed once and used from any thread.
class DocumentSchema
{
public:
  // aText is one of the compiled-in schemas: one that does not parse is a
  // broken invariant and stops the process.
  explicit DocumentSchema(const char* aText);
  ~DocumentSchema();
  DocumentSchema(const DocumentSchema&) = delete;
  DocumentSchema& operator=(const DocumentSchema&) = delete;

  // Adds every violation in the document. The sentence of a problem is the
  // description that the schema gives for the place.
  void Check(const nlohmann::json& aDocument, ProblemList& aProblems) const;

private:
  // Keeps the schema library out of the header.
  class Parsed;

  std::unique_ptr<const Parsed> m_parsed;
};

} // namespace lycheestep

#endif
