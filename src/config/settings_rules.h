#ifndef LYCHEESTEP_SETTINGS_RULES_H
#define LYCHEESTEP_SETTINGS_RULES_H

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

class ProblemList;
struct ProcessSettings;

// Checks the rules of settings that a JSON schema cannot express: terms that
// must be longer than their renewal periods, periods that must not be zero, the
// list of peers, and the lower bounds of size limits. Adds a problem for each
// rule that is broken. aSettings holds the values of aDocument, with defaults
// for the keys that aDocument leaves out.
void CheckSettingsRules(const nlohmann::json& aDocument,
                        const ProcessSettings& aSettings,
                        ProblemList& aProblems);

} // namespace lycheestep

#endif
