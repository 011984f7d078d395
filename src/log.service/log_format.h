#ifndef LYCHEESTEP_LOG_FORMAT_H
#define LYCHEESTEP_LOG_FORMAT_H

#include <string>

#include "lycheestep/action.h"

namespace lycheestep {

// The name of a decision as log lines and metric labels write it.
const char* ToString(DecisionKind aDecision);

// The prefix under which a decision is logged: "placement" for decisions
// about a target, "routing" for all others.
const char* PrefixOf(DecisionKind aDecision);

// "placed request r1 kind quote target t3: most free; 5 candidates, waited
// 1.2 ms".
std::string DescribeDecision(const LogDecision& aDecision);

// The same facts as one JSON object, with the time left to the writer.
std::string DecisionToJson(const LogDecision& aDecision);

// A note as one JSON object.
std::string NoteToJson(const LogNote& aNote);

} // namespace lycheestep

#endif
