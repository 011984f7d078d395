#ifndef LYCHEESTEP_LOCAL_CLUSTER_H
#define LYCHEESTEP_LOCAL_CLUSTER_H

#include <memory>
#include <vector>

#include "lycheestep/target_protocol.h"
#include "target_model.h"

namespace lycheestep {

struct Catalogue;
struct ProcessSettings;

// The targets that "lycheestep local" plays: one rack of the size that the
// users' workers have.
std::vector<TargetListing> MakeLocalTargets(const ProcessSettings& aSettings);

// What a task does at a local target: it takes the run time that its kind
// declares, uses what it was given, and repeats its body as the answer.
TaskBehaviour MakeLocalTaskBehaviour(const Catalogue& aCatalogue,
                                     const TaskStart& aStart);

} // namespace lycheestep

#endif
