#ifndef LYCHEESTEP_BASE64_H
#define LYCHEESTEP_BASE64_H

#include <optional>
#include <string>

namespace lycheestep {

// Bytes as padded base64 without line breaks.
std::string EncodeBase64(const std::string& aBytes);

// The bytes, or nothing when the text is not padded base64.
std::optional<std::string> DecodeBase64(const std::string& aText);

} // namespace lycheestep

#endif
