#ifndef LYCHEESTEP_CORE_CONTEXT_H
#define LYCHEESTEP_CORE_CONTEXT_H

#include <random>

#include "lycheestep/action.h"
#include "lycheestep/scheduler_settings.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The generator of the core; seeded from the settings.
using RandomGenerator = std::mt19937_64;

// What every part of the decision core needs while it handles one event.
// Lives only for the length of one Scheduler::Handle call: no part keeps it.
struct CoreContext
{
  const SchedulerSettings& m_settings;
  // The time of the event.
  TimePoint m_now;
  // Where actions are appended.
  ActionList& m_actions;
  RandomGenerator& m_random;
};

} // namespace lycheestep

#endif
