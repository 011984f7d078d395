#ifndef LYCHEESTEP_PEER_PROBE_H
#define LYCHEESTEP_PEER_PROBE_H

#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Returns true if the machine refuses a TCP connection to aAddress, for example
// "10.1.0.13:7720": the process that listened there has ended. Returns false if
// the connection succeeds, if the attempt has another result, or if the machine
// does not answer within aTimeout.
bool HasProcessEnded(const std::string& aAddress, Duration aTimeout);

} // namespace lycheestep

#endif
