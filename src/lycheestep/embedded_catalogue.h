#ifndef LYCHEESTEP_EMBEDDED_CATALOGUE_H
#define LYCHEESTEP_EMBEDDED_CATALOGUE_H

namespace lycheestep {

// The text of examples/phan-viet/catalogue.json, which `lycheestep local`
// uses when no other catalogue is named.
const char* EmbeddedCatalogue();

} // namespace lycheestep

#endif
