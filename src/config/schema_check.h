#ifndef LYCHEESTEP_SCHEMA_CHECK_H
#define LYCHEESTEP_SCHEMA_CHECK_H

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

class ProblemList;

// Checks a document against a JSON Schema (draft 7) and adds every violation.
// The sentence of a problem is the description that the schema gives for the
// place. aSchema is one of EmbeddedSchema's texts: one that does not parse is
// a broken invariant and stops the process.
void CheckAgainstSchema(const nlohmann::json& aDocument,
                        const char* aSchema,
                        ProblemList& aProblems);

} // namespace lycheestep

#endif
