#include <benchmark/benchmark.h>

#include "cost_case.h"

namespace {

using lycheestep::bench::CostCase;

// One placement in a fleet of the given size that is four fifths full.
void PlaceOne(benchmark::State& aState)
{
  CostCase cost(static_cast<std::size_t>(aState.range(0)), 0);
  for (auto round : aState) {
    (void)round;
    benchmark::DoNotOptimize(cost.PlaceMany(1));
  }
  aState.SetItemsProcessed(aState.iterations());
}

// One request out of the queue, placed and started, while others wait.
void StartOne(benchmark::State& aState)
{
  CostCase cost(50, static_cast<std::size_t>(aState.range(0)));
  for (auto round : aState) {
    (void)round;
    benchmark::DoNotOptimize(cost.StartMany(1));
  }
  aState.SetItemsProcessed(aState.iterations());
}

BENCHMARK(PlaceOne)->Arg(50)->Arg(300)->Arg(1200);
BENCHMARK(StartOne)->Arg(100)->Arg(10000)->Arg(100000);

} // namespace

BENCHMARK_MAIN();
