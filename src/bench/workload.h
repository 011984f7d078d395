#ifndef LYCHEESTEP_BENCH_WORKLOAD_H
#define LYCHEESTEP_BENCH_WORKLOAD_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lycheestep/catalogue.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"

namespace lycheestep::bench {

// One request of a workload; times count from the start of the run.
struct Arrival
{
  Duration m_at = Duration::zero();
  // Index into the catalogue's kinds.
  std::size_t m_kind = 0;
  Duration m_runTime = Duration::zero();
  bool m_flood = false;
};

// A steady load of a kind: arrivals a second, at random times.
struct KindRate
{
  std::size_t m_kind = 0;
  double m_perSecond = 0.0;
};

// The input of a policy run: the same for every policy that is compared.
struct Workload
{
  // "phan-viet/flood-both".
  std::string m_name;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::vector<TargetListing> m_targets;
  std::vector<Arrival> m_arrivals;
  Duration m_floodStart = Duration::zero();
  Duration m_floodEnd = Duration::zero();
  // Kinds that flood.
  std::set<std::size_t> m_flooding;
};

// A cell to run workloads in: a user's of today, or the size in two years.
struct BenchCell
{
  std::string m_name;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::vector<TargetListing> m_targets;
  std::vector<KindRate> m_rates;
  // Indices of the least and the most urgent kind that flood.
  std::size_t m_leastUrgent = 0;
  std::size_t m_mostUrgent = 0;
  double m_leastFlood = 0.0;
  double m_mostFlood = 0.0;
  Duration m_floodStart = Duration::zero();
};

// Which kinds flood.
enum class Flood
{
  kNone,
  kLeastUrgent,
  kMostUrgent,
  kBoth,
};

// aCount targets of aCapacity, aPerRack to a rack.
std::vector<TargetListing> MakeTargets(std::size_t aCount,
                                       std::size_t aPerRack,
                                       const Resources& aCapacity);

// The cells of the two users and of the size in two years. The users' kinds,
// floors and weights are those of their example catalogues; quotas and running
// limits are lifted, so that nothing but the floors holds a flood back.
BenchCell PhanVietCell(const Catalogue& aExample);
BenchCell OzolinsCell(const Catalogue& aExample);
BenchCell TwoYearCell();

// The cell's load with one flood of the given length, or as long without one.
Workload MakeWorkload(const BenchCell& aCell,
                      Flood aFlood,
                      Duration aFloodLength,
                      std::uint64_t aSeed);

} // namespace lycheestep::bench

#endif
