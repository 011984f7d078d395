#ifndef LYCHEESTEP_OUTPUT_H
#define LYCHEESTEP_OUTPUT_H

#include <iosfwd>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace lycheestep {

// Where a command prints: results go to the first stream, errors in one line
// each to the second.
class Output
{
public:
  Output(std::ostream& aOut, std::ostream& aError);

  // One line of the result.
  void Line(const std::string& aText);
  // Text that brings its own line ends.
  void Text(const std::string& aText);
  // The result as indented JSON.
  void Json(const nlohmann::json& aJson);
  // "lycheestep: aText" as one line, whatever line ends aText holds.
  void Error(const std::string& aText);

private:
  std::ostream& m_out;
  std::ostream& m_error;
};

} // namespace lycheestep

#endif
