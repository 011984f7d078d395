#ifndef LYCHEESTEP_PLANNED_SLOWDOWN_H
#define LYCHEESTEP_PLANNED_SLOWDOWN_H

#include <vector>

#include "lycheestep/id.h"

namespace lycheestep {

struct Catalogue;

// The kinds whose work a change of the catalogue may slow down: those that it
// removes, gives a later class or deadline, less to take, fewer tasks or a
// lower limit, those of teams with a lower quota or floor, and those of
// classes with a lower floor. In the order of the former catalogue.
std::vector<KindName> SlowedKinds(const Catalogue& aFormer,
                                  const Catalogue& aNext);

} // namespace lycheestep

#endif
