#ifndef LYCHEESTEP_BASE64_H
#define LYCHEESTEP_BASE64_H

#include <optional>
#include <string>

namespace lycheestep {

// Encodes aBytes as padded base64 without line breaks.
std::string EncodeBase64(const std::string& aBytes);

// Decodes padded base64. Returns nothing when aText is malformed.
std::optional<std::string> DecodeBase64(const std::string& aText);

} // namespace lycheestep

#endif
