#ifndef LYCHEESTEP_STANDIN_WORK_H
#define LYCHEESTEP_STANDIN_WORK_H

#include "lycheestep/target_protocol.h"
#include "target_model.h"

namespace lycheestep {

// What a task does at a stand-in. A body that is a JSON object may say so:
// {"run_ms": 50, "fail": true}; any other body runs for aRunTime. The answer
// names the request and repeats the body.
TaskBehaviour BehaviourOf(const TaskStart& aStart, Duration aRunTime);

} // namespace lycheestep

#endif
