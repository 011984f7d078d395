#include "text_file.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace lycheestep {

namespace {

std::string ReadAll(std::istream& aStream)
{
  return { std::istreambuf_iterator<char>(aStream), {} };
}

} // namespace

std::optional<std::string> ReadTextFile(const std::string& aPath)
{
  if (aPath == "-") {
    return ReadAll(std::cin);
  }
  std::ifstream stream(aPath, std::ios::binary);
  // A folder opens but does not read.
  if (!stream || stream.peek() == std::ifstream::traits_type::eof()) {
    return stream.eof() && !stream.bad() ? std::optional<std::string>("")
                                         : std::nullopt;
  }
  return ReadAll(stream);
}

} // namespace lycheestep
