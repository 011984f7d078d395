#ifndef LYCHEESTEP_PEER_PROBE_H
#define LYCHEESTEP_PEER_PROBE_H

#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

// True when nothing listens at aAddress ("10.1.0.13:7720") although its
// machine answers: the process that listened there has ended. False also when
// nothing is known within aTimeout.
bool HasProcessEnded(const std::string& aAddress, Duration aTimeout);

} // namespace lycheestep

#endif
