#ifndef LYCHEESTEP_BENCH_BENCH_REPORT_H
#define LYCHEESTEP_BENCH_BENCH_REPORT_H

#include <optional>
#include <string>
#include <vector>

namespace lycheestep::bench {

// One figure. A row without a target only informs.
struct BenchRow
{
  std::string m_name;
  std::string m_unit;
  double m_value = 0.0;
  // "<= 8.5": empty when there is none.
  std::string m_target;
  std::optional<bool> m_holds;
};

// Collects rows, prints them as a table and writes them as JSON.
class BenchReport
{
public:
  void Add(const std::string& aName, const std::string& aUnit, double aValue);
  void AddAtMost(const std::string& aName,
                 const std::string& aUnit,
                 double aValue,
                 double aMost);
  void AddAtLeast(const std::string& aName,
                  const std::string& aUnit,
                  double aValue,
                  double aLeast);

  const std::vector<BenchRow>& Rows() const { return m_rows; }

  // The table for people; rows of a series are left out.
  std::string Table() const;

  // An array of {"name","unit","value","target","holds"}.
  std::string Json() const;

private:
  std::vector<BenchRow> m_rows;
};

} // namespace lycheestep::bench

#endif
