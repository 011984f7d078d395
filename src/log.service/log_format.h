#ifndef LYCHEESTEP_LOG_FORMAT_H
#define LYCHEESTEP_LOG_FORMAT_H

#include <string>

#include "lycheestep/action.h"

namespace lycheestep {

// Returns the name under which log lines show aDecision, such as "placed".
const char* ToString(DecisionKind aDecision);

// Returns the logger name for aDecision: "placement" if the decision is about a
// target (placed, retried, finished, stopped), otherwise "routing".
const char* PrefixOf(DecisionKind aDecision);

// Formats aDecision as one line of text, in which control characters become
// spaces. The target is left out if it is empty. Example:
// "placed request r1 kind quote target t3: most free; 5 candidates, waited
// 1.2 ms".
std::string DescribeDecision(const LogDecision& aDecision);

// Formats aDecision as one JSON object on one line. The object holds no time
// stamp. Invalid UTF-8 is replaced.
std::string DecisionToJson(const LogDecision& aDecision);

// Formats aNote as one JSON object on one line. The object holds no time stamp.
// Invalid UTF-8 is replaced.
std::string NoteToJson(const LogNote& aNote);

} // namespace lycheestep

#endif
