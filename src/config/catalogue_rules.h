#ifndef LYCHEESTEP_CATALOGUE_RULES_H
#define LYCHEESTEP_CATALOGUE_RULES_H

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

class ProblemList;

// Checks the rules of a catalogue that a JSON schema cannot express: names that
// must exist or be unique, sums of shares, and fields that depend on each
// other. Adds a problem for each rule that aDocument breaks. Ignores values of
// a wrong type, since DocumentSchema::Check() reports them.
void CheckCatalogueRules(const nlohmann::json& aDocument,
                         ProblemList& aProblems);

} // namespace lycheestep

#endif
