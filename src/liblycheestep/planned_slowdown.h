#ifndef LYCHEESTEP_PLANNED_SLOWDOWN_H
#define LYCHEESTEP_PLANNED_SLOWDOWN_H

#include <vector>

#include "lycheestep/id.h"

namespace lycheestep {

struct Catalogue;

// The kinds whose work a change of the catalogue may slow down: those that it
// removes, gives a later class or deadline, less to take, fewer tasks or a
// lower limit, makes checkpointable or hands to another team, those of teams
// with a lower quota or floor, those of classes with a lower floor, and those
// on which a customer depends who loses a promise: the call comes before the
// promise goes. In the order of the former catalogue.
std::vector<KindName> SlowedKinds(const Catalogue& aFormer,
                                  const Catalogue& aNext);

} // namespace lycheestep

#endif
