#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "virtual_cell.h"

// Measures on virtual time what an entry host spends: bytes by purpose,
// messages, table writes and the decision core's processor time, at rest and
// under load, against the number of hosts, targets and running tasks.

namespace {

using lycheestep::CellLayout;
using lycheestep::DataCentreName;
using lycheestep::Duration;
using lycheestep::EntryId;
using lycheestep::HostTraffic;
using lycheestep::KindName;
using lycheestep::RackName;
using lycheestep::Resources;
using lycheestep::TargetId;
using lycheestep::VirtualCell;
using lycheestep::WorkKind;

constexpr Duration kWarmUp = std::chrono::seconds(60);
constexpr Duration kMeasured = std::chrono::seconds(60);
constexpr int kTargetsPerRack = 6;

struct Point
{
  std::string m_name;
  int m_dataCentres = 1;
  int m_hosts = 2;
  int m_targets = 50;
  // Quick requests a second and long tasks that run, in the whole cell.
  int m_requestRate = 0;
  int m_longTasks = 0;
};

struct Totals
{
  HostTraffic m_traffic;
  std::uint64_t m_transactions = 0;
  std::uint64_t m_rowsWritten = 0;
  std::uint64_t m_reads = 0;
};

std::string CentreName(int aNumber)
{
  return "dc" + std::to_string(aNumber);
}

WorkKind Kind(const char* aName, lycheestep::WorkForm aForm)
{
  WorkKind kind;
  kind.m_name = KindName(aName);
  kind.m_owner = "owner";
  kind.m_form = aForm;
  kind.m_demand = Resources(500, 512, 0, 1, 1);
  kind.m_runTime = std::chrono::milliseconds(100);
  return kind;
}

CellLayout Layout(const Point& aPoint)
{
  CellLayout layout;
  layout.m_countBytes = true;
  layout.m_askPeriod = std::chrono::minutes(10);
  auto catalogue = std::make_shared<lycheestep::Catalogue>();
  catalogue->m_kinds.push_back(Kind("quick", lycheestep::WorkForm::kRequest));
  WorkKind lasting = Kind("long", lycheestep::WorkForm::kJob);
  lasting.m_durable = true;
  lasting.m_runTime = std::chrono::hours(2);
  lasting.m_deadline = std::chrono::minutes(5);
  lasting.m_queueLimit = 20000;
  catalogue->m_kinds.push_back(lasting);
  layout.m_catalogue = std::move(catalogue);
  for (int i = 0; i < aPoint.m_hosts; ++i) {
    lycheestep::SchedulerSettings settings;
    settings.m_entry = EntryId("e" + std::to_string(i));
    settings.m_dataCentre =
      DataCentreName(CentreName(i % aPoint.m_dataCentres));
    settings.m_peerAddress = "peer:" + settings.m_entry.Text();
    layout.m_hosts.push_back(std::move(settings));
  }
  for (int i = 0; i < aPoint.m_targets; ++i) {
    lycheestep::TargetListing listing;
    listing.m_id = TargetId("t" + std::to_string(i));
    const int centre = i % aPoint.m_dataCentres;
    listing.m_dataCentre = DataCentreName(CentreName(centre));
    listing.m_rack = RackName(
      "r" + std::to_string(i / aPoint.m_dataCentres / kTargetsPerRack));
    listing.m_address = "10.0.0.1:9001";
    listing.m_capacity = Resources(30000, 133120, 0, 64, 64);
    layout.m_targets.push_back(std::move(listing));
  }
  return layout;
}

Totals Collect(VirtualCell& aCell)
{
  Totals totals;
  for (const auto& host : aCell.Hosts()) {
    const HostTraffic& one = host->Traffic();
    HostTraffic& all = totals.m_traffic;
    all.m_events += one.m_events;
    all.m_processorTime += one.m_processorTime;
    all.m_peerMessagesOut += one.m_peerMessagesOut;
    all.m_peerBytesOut += one.m_peerBytesOut;
    all.m_peerBytesIn += one.m_peerBytesIn;
    all.m_tableBytes += one.m_tableBytes;
    all.m_hostListBytes += one.m_hostListBytes;
    all.m_renewalBytes += one.m_renewalBytes;
    all.m_renewals += one.m_renewals;
    all.m_taskBytes += one.m_taskBytes;
  }
  const lycheestep::TableCounts& counts = aCell.Platform().Table().Counts();
  totals.m_transactions = counts.m_transactions;
  totals.m_rowsWritten = counts.m_rowsWritten;
  totals.m_reads = counts.m_reads;
  return totals;
}

void Load(VirtualCell& aCell, const Point& aPoint)
{
  const auto& hosts = aCell.Layout().m_hosts;
  const auto submit = [&aCell, &hosts](const char* aKind, int aNumber) {
    const auto index = static_cast<std::size_t>(aNumber) % hosts.size();
    aCell.Callers().Submit(KindName(aKind), hosts[index].m_dataCentre);
  };
  for (int i = 0; i < aPoint.m_longTasks; ++i) {
    const Duration at =
      std::chrono::seconds(10) +
      Duration(std::chrono::seconds(30)) * i / aPoint.m_longTasks;
    aCell.Time().At(VirtualCell::Beginning() + at,
                    [submit, i] { submit("long", i); });
  }
  const int requests =
    aPoint.m_requestRate *
    static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(
                       kWarmUp + kMeasured - std::chrono::seconds(40))
                       .count());
  for (int i = 0; i < requests; ++i) {
    const Duration at =
      std::chrono::seconds(40) +
      Duration(std::chrono::seconds(1)) * i / aPoint.m_requestRate;
    aCell.Time().At(VirtualCell::Beginning() + at,
                    [submit, i] { submit("quick", i); });
  }
}

void Measure(const Point& aPoint)
{
  VirtualCell cell(Layout(aPoint), nullptr);
  Load(cell, aPoint);
  cell.RunUntil(kWarmUp);
  const Totals before = Collect(cell);
  cell.RunUntil(kWarmUp + kMeasured);
  const Totals after = Collect(cell);
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  const double each = seconds * aPoint.m_hosts;
  const auto rate = [](auto aAfter, auto aBefore, double aPer) {
    return static_cast<double>(aAfter - aBefore) / aPer;
  };
  const HostTraffic& a = after.m_traffic;
  const HostTraffic& b = before.m_traffic;
  std::cout << std::left << std::setw(10) << aPoint.m_name << std::right
            << std::setw(4) << aPoint.m_dataCentres << std::setw(5)
            << aPoint.m_hosts << std::setw(6) << aPoint.m_targets
            << std::setw(6) << aPoint.m_requestRate << std::setw(7)
            << aPoint.m_longTasks << std::fixed << std::setprecision(0)
            << std::setw(8)
            << rate(a.m_peerBytesOut + a.m_peerBytesIn,
                    b.m_peerBytesOut + b.m_peerBytesIn,
                    each)
            << std::setw(8) << rate(a.m_tableBytes, b.m_tableBytes, each)
            << std::setw(8) << rate(a.m_hostListBytes, b.m_hostListBytes, each)
            << std::setw(8) << rate(a.m_renewalBytes, b.m_renewalBytes, each)
            << std::setw(8) << rate(a.m_taskBytes, b.m_taskBytes, each)
            << std::setprecision(1) << std::setw(8)
            << rate(after.m_transactions, before.m_transactions, seconds)
            << std::setw(8) << rate(after.m_reads, before.m_reads, seconds)
            << std::setprecision(3) << std::setw(9)
            << rate(a.m_processorTime.count(),
                    b.m_processorTime.count(),
                    each * 1e7)
            << '\n';
}

} // namespace

int main()
{
  std::cout
    << "Bytes a second of one entry host, in and out, by purpose; table calls "
       "of the whole\ncell a second; processor time of one decision core in "
       "percent of a core. 60 s of\nvirtual time after 60 s of warm-up.\n\n"
    << "point       dc hosts targs  req/s   long   peers   table    list  "
       "leases   tasks  writes   reads   core-%\n";
  const std::vector<Point> points{
    { "hosts-2", 1, 2, 50, 0, 0 },
    { "hosts-4", 2, 4, 50, 0, 0 },
    { "hosts-8", 4, 8, 50, 0, 0 },
    { "hosts-16", 8, 16, 50, 0, 0 },
    { "hosts-24", 12, 24, 50, 0, 0 },
    { "targs-50", 1, 2, 50, 0, 0 },
    { "targs-100", 1, 2, 100, 0, 0 },
    { "targs-300", 3, 6, 300, 0, 0 },
    { "targs-1200", 12, 24, 1200, 0, 0 },
    { "tasks-100", 1, 2, 100, 0, 100 },
    { "tasks-400", 1, 2, 100, 0, 400 },
    { "tasks-830", 1, 2, 100, 0, 830 },
    { "reqs-10", 1, 2, 100, 10, 0 },
    { "reqs-50", 1, 2, 100, 50, 0 },
    { "reqs-110", 1, 2, 100, 110, 0 },
    { "two-years", 12, 24, 1200, 110, 2000 },
  };
  for (const Point& point : points) {
    Measure(point);
  }
  return EXIT_SUCCESS;
}
