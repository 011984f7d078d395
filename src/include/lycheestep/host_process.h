#ifndef LYCHEESTEP_HOST_PROCESS_H
#define LYCHEESTEP_HOST_PROCESS_H

#include <memory>

namespace lycheestep {

struct Catalogue;
struct ProcessSettings;

// Runs one entry host until SIGTERM or SIGINT and returns its exit code: 0
// after a graceful stop, 1 when a service could not start or the stop took
// longer than its limit.
int RunEntry(const ProcessSettings& aSettings);

// The same process with an in-memory platform and in-process targets, to try
// it on one machine. aCatalogue is in force from the start.
int RunLocal(const ProcessSettings& aSettings,
             std::shared_ptr<const Catalogue> aCatalogue);

} // namespace lycheestep

#endif
