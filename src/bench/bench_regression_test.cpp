#include "bench_cases.h"

#include <fstream>
#include <iterator>

#include <gtest/gtest.h>

#include "lycheestep/document.h"

namespace lycheestep::bench {
namespace {

using std::chrono::seconds;

std::shared_ptr<const Catalogue> Example(const std::string& aUser)
{
  const std::string path =
    std::string(LYCHEESTEP_EXAMPLES) + "/" + aUser + "/catalogue.json";
  std::ifstream file(path);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  return ReadCatalogue(text, path).m_catalogue;
}

// Every row that has a target holds it.
void ExpectAllHold(const BenchReport& aReport)
{
  for (const BenchRow& row : aReport.Rows()) {
    EXPECT_TRUE(row.m_holds.value_or(true))
      << row.m_name << " is " << row.m_value << ", target " << row.m_target;
  }
}

TEST(BenchRegression, APlacementCostsTheSameInALargeFleet)
{
  BenchReport report;
  AddCostRows(report);
  ExpectAllHold(report);
}

TEST(BenchRegression, PhanVietKeepsItsFloors)
{
  BenchReport report;
  for (const Flood flood :
       { Flood::kLeastUrgent, Flood::kMostUrgent, Flood::kBoth }) {
    AddFloodRows(report,
                 PhanVietCell(*Example("phan-viet")),
                 flood,
                 seconds(4),
                 false,
                 false);
  }
  ExpectAllHold(report);
}

TEST(BenchRegression, OzolinsKeepsItsFloors)
{
  BenchReport report;
  for (const Flood flood :
       { Flood::kLeastUrgent, Flood::kMostUrgent, Flood::kBoth }) {
    AddFloodRows(report,
                 OzolinsCell(*Example("ozolins")),
                 flood,
                 seconds(4),
                 false,
                 false);
  }
  ExpectAllHold(report);
}

TEST(BenchRegression, PhanVietPacksHosts)
{
  BenchReport report;
  AddPackingRows(report, PhanVietCell(*Example("phan-viet")));
  ExpectAllHold(report);
}

TEST(BenchTargets, OzolinsPacksHosts)
{
  BenchReport report;
  AddPackingRows(report, OzolinsCell(*Example("ozolins")));
  ExpectAllHold(report);
}

TEST(BenchTargets, TwoYearFloodGetsAllThatIsLeft)
{
  BenchReport report;
  AddFloodRows(
    report, TwoYearCell(), Flood::kLeastUrgent, seconds(60), false, false);
  ExpectAllHold(report);
}

} // namespace
} // namespace lycheestep::bench
