#ifndef LYCHEESTEP_SCHEMA_CHECK_H
#define LYCHEESTEP_SCHEMA_CHECK_H

#include <memory>

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

class ProblemList;

// A JSON Schema (draft 7). The constructor parses it once; after that, any
// thread may call Check().
class DocumentSchema
{
public:
  // aText is one of the compiled-in schemas. A schema that does not parse is a
  // broken invariant and stops the process.
  explicit DocumentSchema(const char* aText);
  ~DocumentSchema();
  DocumentSchema(const DocumentSchema&) = delete;
  DocumentSchema& operator=(const DocumentSchema&) = delete;

  // Adds a problem for every violation in aDocument. The allowed text of a
  // problem is the description that the schema gives for the value; for an
  // unknown key, it is the list of the keys that the schema defines there.
  void Check(const nlohmann::json& aDocument, ProblemList& aProblems) const;

private:
  // The parsed schema. This class keeps the headers of valijson out of this
  // one.
  class Parsed;

  std::unique_ptr<const Parsed> m_parsed;
};

} // namespace lycheestep

#endif
