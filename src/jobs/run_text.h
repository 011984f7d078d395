#ifndef LYCHEESTEP_RUN_TEXT_H
#define LYCHEESTEP_RUN_TEXT_H

#include <optional>
#include <string>

#include "lycheestep/task_run.h"

namespace lycheestep {

// "JOB.OCCURRENCE.STEP", as logs and the advisor name a step.
std::string StepText(const StepName& aStep);

// "JOB.OCCURRENCE.STEP.INDEX", as logs and targets name a task.
std::string TaskText(const TaskName& aTask);

// The task that such a text names; nothing when it is malformed.
std::optional<TaskName> ParseTaskText(const std::string& aText);

} // namespace lycheestep

#endif
