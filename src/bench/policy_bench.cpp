#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "bench_cases.h"
#include "lycheestep/document.h"

namespace {

using namespace lycheestep;
using namespace lycheestep::bench;

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::shared_ptr<const Catalogue> Example(const std::string& aUser)
{
  const std::string path =
    std::string(LYCHEESTEP_EXAMPLES) + "/" + aUser + "/catalogue.json";
  return ReadCatalogue(ReadFile(path), path).m_catalogue;
}

} // namespace

// Usage: policy_bench OUTPUT. Runs every case, prints the table and writes the
// rows to OUTPUT.
int main(int aCount, char** aArguments)
{
  const auto phanViet = Example("phan-viet");
  const auto ozolins = Example("ozolins");
  if (aCount != 2 || !phanViet || !ozolins) {
    std::cerr << "usage: policy_bench OUTPUT\n";
    return 2;
  }
  BenchReport report;
  AddCostRows(report);
  const auto length = std::chrono::seconds(20);
  for (const BenchCell& cell :
       { PhanVietCell(*phanViet), OzolinsCell(*ozolins) }) {
    AddPackingRows(report, cell);
    for (const Flood flood : { Flood::kNone,
                               Flood::kLeastUrgent,
                               Flood::kMostUrgent,
                               Flood::kBoth }) {
      AddFloodRows(report, cell, flood, length, true, flood == Flood::kBoth);
    }
  }
  for (const Flood flood :
       { Flood::kNone, Flood::kLeastUrgent, Flood::kMostUrgent }) {
    AddFloodRows(report,
                 TwoYearCell(),
                 flood,
                 std::chrono::seconds(60),
                 flood == Flood::kLeastUrgent,
                 false);
  }
  std::cout << report.Table();
  std::ofstream(aArguments[1]) << report.Json();
  return 0;
}
