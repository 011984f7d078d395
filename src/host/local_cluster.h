#ifndef LYCHEESTEP_LOCAL_CLUSTER_H
#define LYCHEESTEP_LOCAL_CLUSTER_H

#include <memory>
#include <vector>

#include "lycheestep/target_protocol.h"
#include "target_model.h"

namespace lycheestep {

struct Catalogue;
struct ProcessSettings;

// Returns the targets that "lycheestep local" simulates: one rack of targets
// with the capacity of the users' workers.
std::vector<TargetListing> MakeLocalTargets(const ProcessSettings& aSettings);

// Returns the behaviour of a task on a simulated target. The task runs for the
// time that its kind declares, at most one second; a task of a service does not
// end by itself. The task uses exactly the resources it demands and repeats its
// body in the reply.
TaskBehaviour MakeLocalTaskBehaviour(const Catalogue& aCatalogue,
                                     const TaskStart& aStart);

} // namespace lycheestep

#endif
