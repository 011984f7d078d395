#ifndef LYCHEESTEP_RUN_TEXT_H
#define LYCHEESTEP_RUN_TEXT_H

#include <optional>
#include <string>

#include "lycheestep/task_run.h"

namespace lycheestep {

// Returns the name of a step in logs and calls of the advisor:
// "JOB.OCCURRENCE.STEP".
std::string StepText(const StepName& aStep);

// Returns the name of a task in logs and orders to targets:
// "JOB.OCCURRENCE.STEP.INDEX".
std::string TaskText(const TaskName& aTask);

// Parses the text of a task's name. Returns nothing if it is malformed.
std::optional<TaskName> ParseTaskText(const std::string& aText);

} // namespace lycheestep

#endif
