#include "lycheestep/document.h"

namespace lycheestep {

std::string DocumentProblem::Describe() const
{
  std::string text = m_file + ": ";
  if (!m_pointer.empty()) {
    text += m_pointer + ": ";
  }
  if (!m_value.empty()) {
    text += m_value + ": ";
  }
  return text + m_allowed;
}

} // namespace lycheestep
