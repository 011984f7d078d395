#ifndef LYCHEESTEP_SETTINGS_RULES_H
#define LYCHEESTEP_SETTINGS_RULES_H

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

class ProblemList;
struct ProcessSettings;

// Checks what a schema cannot say of settings: terms that have to outlast
// their renewals, and the list of peers. aSettings holds the values of
// aDocument with the defaults filled in.
void CheckSettingsRules(const nlohmann::json& aDocument,
                        const ProcessSettings& aSettings,
                        ProblemList& aProblems);

} // namespace lycheestep

#endif
