#include "workload.h"

#include <algorithm>
#include <random>

namespace lycheestep::bench {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

constexpr std::size_t kTeams = 25;
constexpr std::size_t kKindsPerTeam = 5;
// Time after the flood in which late work may still start.
constexpr Duration kAfterFlood = seconds(15);
// A service runs longer than any run of the bench.
constexpr Duration kForever = std::chrono::hours(1000);

Duration ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(Seconds(aSeconds));
}

// The example with nothing but floors to hold work back.
std::shared_ptr<Catalogue> WithoutLimits(const Catalogue& aExample)
{
  auto catalogue = std::make_shared<Catalogue>(aExample);
  for (Team& team : catalogue->m_teams) {
    team.m_quota = 1.0;
  }
  for (WorkKind& kind : catalogue->m_kinds) {
    kind.m_runningLimit = 0;
  }
  return catalogue;
}

std::size_t IndexOf(const Catalogue& aCatalogue, const char* aKind)
{
  for (std::size_t i = 0; i < aCatalogue.m_kinds.size(); ++i) {
    if (aCatalogue.m_kinds[i].m_name == KindName(aKind)) {
      return i;
    }
  }
  return 0;
}

WorkKind MakeKind(const std::string& aName,
                  const TeamName& aTeam,
                  WorkClass aClass,
                  WorkForm aForm,
                  const Resources& aDemand,
                  Duration aRunTime)
{
  WorkKind kind;
  kind.m_name = KindName(aName);
  kind.m_team = aTeam;
  kind.m_class = aClass;
  kind.m_form = aForm;
  kind.m_demand = aDemand;
  kind.m_runTime = aRunTime;
  kind.m_deadline = aClass == WorkClass::kUrgent
                      ? Duration(std::chrono::milliseconds(8500))
                      : Duration(minutes(10));
  return kind;
}

// Urgent requests, standard and batch jobs, gangs and services of one team.
void AddTeamKinds(Catalogue& aCatalogue, std::size_t aTeam)
{
  const std::string number = std::to_string(aTeam);
  const TeamName team("team" + number);
  aCatalogue.m_teams.push_back({ team, 1.0, 0.015 });
  auto& kinds = aCatalogue.m_kinds;
  kinds.push_back(MakeKind("urgent" + number,
                           team,
                           WorkClass::kUrgent,
                           WorkForm::kRequest,
                           Resources(1000, 2048, 0, 1, 1),
                           seconds(5)));
  kinds.push_back(MakeKind("standard" + number,
                           team,
                           WorkClass::kStandard,
                           WorkForm::kJob,
                           Resources(2000, 6144, 0, 1, 1),
                           seconds(60)));
  kinds.push_back(MakeKind("batch" + number,
                           team,
                           WorkClass::kBatch,
                           WorkForm::kJob,
                           Resources(3000, 12288, 0, 1, 1),
                           seconds(300)));
  kinds.back().m_checkpointable = aTeam % 2 == 1;
  kinds.push_back(MakeKind("gang" + number,
                           team,
                           WorkClass::kBatch,
                           WorkForm::kGang,
                           Resources(2000, 8192, 0, 1, 2),
                           seconds(300)));
  kinds.back().m_tasks = 16;
  kinds.push_back(MakeKind("service" + number,
                           team,
                           WorkClass::kStandard,
                           WorkForm::kService,
                           Resources(2000, 8192, 0, 1, 4),
                           kForever));
  kinds.back().m_tasks = 4;
  kinds.back().m_deadline = kForever;
}

void AddArrivals(Workload& aWorkload,
                 std::size_t aKind,
                 double aPerSecond,
                 Duration aFrom,
                 Duration aTo,
                 bool aFlood,
                 std::mt19937_64& aRandom)
{
  if (aPerSecond <= 0.0) {
    return;
  }
  const WorkKind& kind = aWorkload.m_catalogue->m_kinds[aKind];
  std::exponential_distribution<double> gap(aPerSecond);
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  double at = Seconds(aFrom).count() + gap(aRandom);
  while (at < Seconds(aTo).count()) {
    Arrival arrival;
    arrival.m_at = ToDuration(at);
    arrival.m_kind = aKind;
    arrival.m_runTime =
      ToDuration(Seconds(kind.m_runTime).count() * factor(aRandom));
    arrival.m_flood = aFlood;
    aWorkload.m_arrivals.push_back(arrival);
    at += gap(aRandom);
  }
}

// The services of the cell, all there at the start.
void AddServices(Workload& aWorkload)
{
  constexpr int kServicesOfTeam = 20;
  const auto& kinds = aWorkload.m_catalogue->m_kinds;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (kinds[i].m_form != WorkForm::kService) {
      continue;
    }
    for (int service = 0; service < kServicesOfTeam; ++service) {
      Arrival arrival;
      arrival.m_kind = i;
      arrival.m_runTime = kForever;
      aWorkload.m_arrivals.push_back(arrival);
    }
  }
}

const char* ToString(Flood aFlood)
{
  switch (aFlood) {
    case Flood::kNone:
      return "steady";
    case Flood::kLeastUrgent:
      return "flood-least";
    case Flood::kMostUrgent:
      return "flood-most";
    case Flood::kBoth:
      return "flood-both";
  }
  return "";
}

} // namespace

std::vector<TargetListing> MakeTargets(std::size_t aCount,
                                       std::size_t aPerRack,
                                       const Resources& aCapacity)
{
  std::vector<TargetListing> targets;
  for (std::size_t i = 0; i < aCount; ++i) {
    TargetListing target;
    target.m_id = TargetId("t" + std::to_string(i));
    target.m_rack = RackName("r" + std::to_string(i / aPerRack));
    target.m_capacity = aCapacity;
    targets.push_back(target);
  }
  return targets;
}

BenchCell PhanVietCell(const Catalogue& aExample)
{
  BenchCell cell;
  cell.m_name = "phan-viet";
  cell.m_catalogue = WithoutLimits(aExample);
  cell.m_targets = MakeTargets(50, 6, Resources(30000, 133120, 0, 8, 64));
  const std::size_t quote = IndexOf(aExample, "tender-quote");
  cell.m_leastUrgent = IndexOf(aExample, "restock-plan");
  cell.m_mostUrgent = IndexOf(aExample, "stock-check");
  cell.m_rates = { { quote, 60.0 },
                   { cell.m_leastUrgent, 15.0 },
                   { cell.m_mostUrgent, 400.0 } };
  cell.m_leastFlood = 400.0;
  cell.m_mostFlood = 20000.0;
  cell.m_floodStart = seconds(20);
  return cell;
}

BenchCell OzolinsCell(const Catalogue& aExample)
{
  BenchCell cell;
  cell.m_name = "ozolins";
  cell.m_catalogue = WithoutLimits(aExample);
  cell.m_targets = MakeTargets(50, 8, Resources(16000, 32768, 0, 8, 64));
  const std::size_t round = IndexOf(aExample, "weekly-grooming");
  cell.m_leastUrgent = IndexOf(aExample, "season-resurfacing");
  cell.m_mostUrgent = IndexOf(aExample, "morning-check");
  cell.m_rates = { { round, 40.0 },
                   { cell.m_leastUrgent, 5.0 },
                   { cell.m_mostUrgent, 200.0 } };
  cell.m_leastFlood = 100.0;
  cell.m_mostFlood = 10000.0;
  cell.m_floodStart = seconds(20);
  return cell;
}

BenchCell TwoYearCell()
{
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->m_cell = "two-year";
  // A little above what each class takes when nothing floods.
  catalogue->m_classFloors = { 0.05, 0.37, 0.4 };
  for (std::size_t team = 0; team < kTeams; ++team) {
    AddTeamKinds(*catalogue, team);
  }
  BenchCell cell;
  cell.m_name = "two-year";
  cell.m_targets = MakeTargets(1200, 6, Resources(30000, 133120, 0, 10, 64));
  for (std::size_t team = 0; team < kTeams; ++team) {
    const std::size_t first = team * kKindsPerTeam;
    const auto share = 1.0 / static_cast<double>(kTeams);
    cell.m_rates.push_back({ first, 60.0 * share });
    cell.m_rates.push_back({ first + 1, 35.0 * share });
    cell.m_rates.push_back({ first + 2, 14.0 * share });
    cell.m_rates.push_back({ first + 3, 0.06 * share });
  }
  cell.m_catalogue = catalogue;
  cell.m_leastUrgent = 2;
  cell.m_mostUrgent = kKindsPerTeam;
  cell.m_leastFlood = 400.0;
  cell.m_mostFlood = 6000.0;
  cell.m_floodStart = seconds(400);
  return cell;
}

Workload MakeWorkload(const BenchCell& aCell,
                      Flood aFlood,
                      Duration aFloodLength,
                      std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  Workload workload;
  workload.m_name = aCell.m_name + "/" + ToString(aFlood);
  workload.m_catalogue = aCell.m_catalogue;
  workload.m_targets = aCell.m_targets;
  workload.m_floodStart = aCell.m_floodStart;
  workload.m_floodEnd = aCell.m_floodStart + aFloodLength;
  const Duration end = workload.m_floodEnd + kAfterFlood;
  AddServices(workload);
  for (const KindRate& rate : aCell.m_rates) {
    AddArrivals(workload,
                rate.m_kind,
                rate.m_perSecond,
                Duration::zero(),
                end,
                false,
                random);
  }
  const auto flood = [&](std::size_t aKind, double aPerSecond) {
    workload.m_flooding.insert(aKind);
    AddArrivals(workload,
                aKind,
                aPerSecond,
                workload.m_floodStart,
                workload.m_floodEnd,
                true,
                random);
  };
  if (aFlood == Flood::kLeastUrgent || aFlood == Flood::kBoth) {
    flood(aCell.m_leastUrgent, aCell.m_leastFlood);
  }
  if (aFlood == Flood::kMostUrgent || aFlood == Flood::kBoth) {
    flood(aCell.m_mostUrgent, aCell.m_mostFlood);
  }
  std::stable_sort(workload.m_arrivals.begin(),
                   workload.m_arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.m_at < aRight.m_at;
                   });
  return workload;
}

} // namespace lycheestep::bench
