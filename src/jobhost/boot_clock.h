#ifndef LYCHEESTEP_BOOT_CLOCK_H
#define LYCHEESTEP_BOOT_CLOCK_H

#include "lycheestep/job_spec.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Returns the time of a monotonic clock that advances while the machine is
// suspended. The leader reads all times from this clock, so that a host that
// resumes from suspension detects that its right to lead has expired.
TimePoint BootClockNow();

// Returns the time of the system clock since the Unix epoch.
WallTime WallClockNow();

} // namespace lycheestep

#endif
