#ifndef LYCHEESTEP_USAGE_ESTIMATE_H
#define LYCHEESTEP_USAGE_ESTIMATE_H

#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// What one task of a kind is expected to take and how long to run.
struct UsageEstimate
{
  Resources m_demand;
  Duration m_runTime = Duration::zero();
};

// What to do with a task that takes more than it was given.
enum class OverrunVerdict
{
  kNone,
  kThrottle, // over its processors: hold it to them
  kStop,     // over its memory or its time: stop it before neighbours suffer
};

} // namespace lycheestep

#endif
