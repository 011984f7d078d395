#ifndef LYCHEESTEP_TEXT_FILE_H
#define LYCHEESTEP_TEXT_FILE_H

#include <optional>
#include <string>

namespace lycheestep {

// The whole text of a file, "-" for standard input; empty when it can't be
// read.
std::optional<std::string> ReadTextFile(const std::string& aPath);

} // namespace lycheestep

#endif
