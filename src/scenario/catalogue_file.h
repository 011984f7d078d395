#ifndef LYCHEESTEP_CATALOGUE_FILE_H
#define LYCHEESTEP_CATALOGUE_FILE_H

#include <memory>
#include <string>

namespace lycheestep {

struct Catalogue;

// Reads a catalogue from a JSON file. Returns null and sets aError to all
// that is wrong when it can't.
std::shared_ptr<const Catalogue> ReadCatalogueFile(const std::string& aFile,
                                                   std::string& aError);

} // namespace lycheestep

#endif
