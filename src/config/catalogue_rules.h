#ifndef LYCHEESTEP_CATALOGUE_RULES_H
#define LYCHEESTEP_CATALOGUE_RULES_H

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

class ProblemList;

// Checks what a schema cannot say of a catalogue: names that have to exist or
// to be unique, sums of shares, and fields that depend on each other. Values
// of a wrong type are passed over, since the schema check reports them.
void CheckCatalogueRules(const nlohmann::json& aDocument,
                         ProblemList& aProblems);

} // namespace lycheestep

#endif
