#ifndef LYCHEESTEP_RUN_TOTALS_H
#define LYCHEESTEP_RUN_TOTALS_H

#include <cstddef>

namespace lycheestep {

// What a leader knows of runs and targets, counted for its log.
struct RunTotals
{
  std::size_t m_targets = 0;
  // Targets that are taken and whose runs are known.
  std::size_t m_heldTargets = 0;
  // Runs that are or may be on a target.
  std::size_t m_runs = 0;
  // Those that are to end.
  std::size_t m_toStop = 0;
  // Those on targets whose address is not known.
  std::size_t m_withoutAddress = 0;
};

} // namespace lycheestep

#endif
