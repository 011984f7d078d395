#ifndef LYCHEESTEP_CATALOGUE_CODEC_H
#define LYCHEESTEP_CATALOGUE_CODEC_H

#include <cstdint>
#include <memory>
#include <string>

namespace lycheestep {

struct Catalogue;

// The serialized form of a catalogue; the same catalogue always gives the
// same bytes.
std::string EncodeCatalogue(const Catalogue& aCatalogue);

// The catalogue of a serialized form, or null when the bytes are broken.
std::shared_ptr<const Catalogue> DecodeCatalogue(const std::string& aBytes);

// xxHash64 of the serialized form.
std::uint64_t DigestOf(const std::string& aBytes);

// The parts of aTo that differ from aFrom, in a form that ApplyDelta takes.
// Empty when only the whole catalogue can say the difference.
std::string EncodeDelta(const Catalogue& aFrom, const Catalogue& aTo);

// The catalogue that the delta makes of aFrom, or null when the bytes are
// broken. The caller checks the digest of the result.
std::shared_ptr<const Catalogue> ApplyDelta(const Catalogue& aFrom,
                                            const std::string& aDelta);

} // namespace lycheestep

#endif
