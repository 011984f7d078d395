#ifndef LYCHEESTEP_RUNNING_TASK_H
#define LYCHEESTEP_RUNNING_TASK_H

#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A task of this host that runs at a target, as pre-emption weighs it.
struct RunningTask
{
  AttemptId m_attempt;
  RequestId m_request;
  KindName m_kind;
  TargetId m_target;
  Resources m_demand;
  TimePoint m_started;
};

} // namespace lycheestep

#endif
