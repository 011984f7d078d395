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

// Returns the fields of a log line that name a run and its target:
// "task=TASK run=NUMBER target=ID".
std::string RunFields(const RunName& aRun, const TargetId& aTarget);

// Parses the text of a task's name. Returns nothing if it is malformed.
std::optional<TaskName> ParseTaskText(const std::string& aText);

} // namespace lycheestep

#endif
