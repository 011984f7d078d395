#include <cstddef>
#include <cstdlib>
#include <iostream>
#include <string>

#include "cost_case.h"

// Usage: cost_probe place|start|cancel SIZE COUNT. Runs one hot path COUNT
// times at a size, to be counted by callgrind: SIZE targets for place, SIZE
// waiting requests for start and cancel.
int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::cerr << "usage: cost_probe place|start|cancel SIZE COUNT\n";
    return 2;
  }
  const std::string path = aArguments[1];
  const std::size_t size = std::strtoul(aArguments[2], nullptr, 10);
  const std::size_t count = std::strtoul(aArguments[3], nullptr, 10);
  const bool place = path == "place";
  lycheestep::bench::CostCase cost(place ? size : 50, place ? 0 : size);
  if (place) {
    std::cout << cost.PlaceMany(count) << " compared for each\n";
  } else if (path == "start") {
    std::cout << cost.StartMany(count) << " compared for each\n";
  } else {
    cost.CancelMany(count);
  }
  return 0;
}
