#ifndef LYCHEESTEP_BENCH_COST_CASE_H
#define LYCHEESTEP_BENCH_COST_CASE_H

#include <cstddef>
#include <memory>
#include <vector>

#include "admission_queue.h"
#include "core_context.h"
#include "fleet.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/target_protocol.h"
#include "placer.h"

namespace lycheestep::bench {

// A fleet whose every share is one host's for good.
Fleet WholeFleet(const std::vector<TargetListing>& aTargets);

// The hot paths of the decision core at a given size, for counting compared
// candidates and, under callgrind, instructions.
class CostCase
{
public:
  // aTargets targets, about four fifths full, and aWaiting requests of 30
  // kinds that wait.
  CostCase(std::size_t aTargets, std::size_t aWaiting);

  // Places and ends aCount tasks; returns candidates and index nodes compared
  // for each.
  double PlaceMany(std::size_t aCount);

  // Takes aCount requests out in their order, places and starts them, and
  // admits as many new ones; returns comparisons for each.
  double StartMany(std::size_t aCount);

  // Cancels aCount requests that wait.
  void CancelMany(std::size_t aCount);

private:
  void OfferOne();

  std::shared_ptr<Catalogue> m_catalogue;
  Fleet m_fleet;
  AdmissionQueue m_queue;
  Placer m_placer;
  RandomGenerator m_random;
  std::vector<std::pair<TargetId, Resources>> m_running;
  TimePoint m_now;
  std::size_t m_offered = 0;
  std::size_t m_cancelled = 0;
};

} // namespace lycheestep::bench

#endif
