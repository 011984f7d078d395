#include "line_limit.h"

#include <chrono>

namespace lycheestep {

LineLimit::LineLimit(std::size_t aLinesPerSecond)
  : m_linesPerSecond(aLinesPerSecond)
{
}

bool LineLimit::Admit(TimePoint aNow)
{
  if (aNow - m_secondStart >= std::chrono::seconds(1)) {
    m_secondStart = aNow;
    m_linesInSecond = 0;
  }
  if (m_linesInSecond >= m_linesPerSecond) {
    return false;
  }
  ++m_linesInSecond;
  return true;
}

} // namespace lycheestep
