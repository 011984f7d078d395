#ifndef LYCHEESTEP_LINE_LIMIT_H
#define LYCHEESTEP_LINE_LIMIT_H

#include <cstddef>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Bounds the number of log lines per second. Not thread-safe.
class LineLimit
{
public:
  explicit LineLimit(std::size_t aLinesPerSecond);

  // Returns true and counts the line if one more line is allowed in the second
  // to which aNow belongs. A second begins with the first line after the last
  // one has passed.
  bool Admit(TimePoint aNow);

private:
  const std::size_t m_linesPerSecond;
  TimePoint m_secondStart;
  std::size_t m_linesInSecond = 0;
};

} // namespace lycheestep

#endif
