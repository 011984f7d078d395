#include "output.h"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

namespace lycheestep {

Output::Output(std::ostream& aOut, std::ostream& aError)
  : m_out(aOut)
  , m_error(aError)
{
}

void Output::Line(const std::string& aText)
{
  m_out << aText << '\n';
}

void Output::Text(const std::string& aText)
{
  m_out << aText;
}

void Output::Json(const nlohmann::json& aJson)
{
  m_out << aJson.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
        << '\n';
}

void Output::Error(const std::string& aText)
{
  std::string line = aText;
  std::replace(line.begin(), line.end(), '\n', ' ');
  m_error << "lycheestep: " << line << '\n';
}

} // namespace lycheestep
