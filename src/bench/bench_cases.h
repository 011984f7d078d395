#ifndef LYCHEESTEP_BENCH_BENCH_CASES_H
#define LYCHEESTEP_BENCH_BENCH_CASES_H

#include <cstddef>
#include <cstdint>

#include "bench_report.h"
#include "workload.h"

namespace lycheestep::bench {

// The seed of every run of the bench.
constexpr std::uint64_t kSeed = 20250601;

// Runs a cell's load under one flood with the scheduler's policy, and with the
// baselines on the same input when aBaselines is set. Adds waiting times, kept
// share and use of the fleet; the second-by-second series when aSeries is set.
void AddFloodRows(BenchReport& aReport,
                  const BenchCell& aCell,
                  Flood aFlood,
                  Duration aFloodLength,
                  bool aBaselines,
                  bool aSeries);

// The hosts that the same job list needs under each policy, against the lower
// bound that follows from the sum of the demands.
void AddPackingRows(BenchReport& aReport, const BenchCell& aCell);

// Candidates and index nodes compared for a placement in fleets of 50, 300 and
// 1,200 targets, and lane heads compared for a start with 100, 10,000 and
// 100,000 requests waiting.
void AddCostRows(BenchReport& aReport);

} // namespace lycheestep::bench

#endif
