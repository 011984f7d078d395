#ifndef LYCHEESTEP_BOOT_CLOCK_H
#define LYCHEESTEP_BOOT_CLOCK_H

#include "lycheestep/job_spec.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// A monotonic clock that goes on while the machine is suspended. All times of
// the leader are read from it, so that a host which wakes knows that its right
// to lead is over.
TimePoint BootClockNow();

// The time of day.
WallTime WallClockNow();

} // namespace lycheestep

#endif
