#include "bench_report.h"

#include <cstdio>
#include <utility>

#include <nlohmann/json.hpp>

namespace lycheestep::bench {

namespace {

// Rows of a series have this in their name.
constexpr const char* kSeries = "/series/";

std::string Short(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", aValue);
  return text;
}

std::string Padded(std::string aText, std::size_t aWidth)
{
  aText.resize(std::max(aWidth, aText.size()), ' ');
  return aText;
}

} // namespace

void BenchReport::Add(const std::string& aName,
                      const std::string& aUnit,
                      double aValue)
{
  m_rows.push_back({ aName, aUnit, aValue, "", std::nullopt });
}

void BenchReport::AddAtMost(const std::string& aName,
                            const std::string& aUnit,
                            double aValue,
                            double aMost)
{
  m_rows.push_back(
    { aName, aUnit, aValue, "<= " + Short(aMost), aValue <= aMost });
}

void BenchReport::AddAtLeast(const std::string& aName,
                             const std::string& aUnit,
                             double aValue,
                             double aLeast)
{
  m_rows.push_back(
    { aName, aUnit, aValue, ">= " + Short(aLeast), aValue >= aLeast });
}

std::string BenchReport::Table() const
{
  std::string table;
  for (const BenchRow& row : m_rows) {
    if (row.m_name.find(kSeries) != std::string::npos) {
      continue;
    }
    std::string holds;
    if (row.m_holds) {
      holds = *row.m_holds ? "holds" : "RED";
    }
    table += Padded(row.m_name, 62) + Padded(Short(row.m_value), 11) +
             Padded(row.m_unit, 14) + Padded(row.m_target, 10) + holds + "\n";
  }
  return table;
}

std::string BenchReport::Json() const
{
  nlohmann::json rows = nlohmann::json::array();
  for (const BenchRow& row : m_rows) {
    nlohmann::json entry{ { "name", row.m_name },
                          { "unit", row.m_unit },
                          { "value", row.m_value },
                          { "target", nullptr },
                          { "holds", nullptr } };
    if (row.m_holds) {
      entry["target"] = row.m_target;
      entry["holds"] = *row.m_holds;
    }
    rows.push_back(std::move(entry));
  }
  return rows.dump(1) + "\n";
}

} // namespace lycheestep::bench
