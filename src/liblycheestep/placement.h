#ifndef LYCHEESTEP_PLACEMENT_H
#define LYCHEESTEP_PLACEMENT_H

#include <cstddef>
#include <string>
#include <vector>

#include "lycheestep/id.h"

namespace lycheestep {

// Why one candidate could not take a task.
struct RejectedTarget
{
  TargetId m_target;
  // "lacks 2000 processors", "leaving", ...
  std::string m_lacks;
};

// Where a task goes, or why it goes nowhere.
struct Placement
{
  // Empty when no target was found.
  TargetId m_target;
  // Targets that were compared, and nodes of the index of free room.
  std::size_t m_candidates = 0;
  std::size_t m_visits = 0;
  // One sentence for the log and for explain.
  std::string m_why;
  // The first few candidates that were passed over.
  std::vector<RejectedTarget> m_rejected;

  bool Found() const { return !m_target.Empty(); }
};

} // namespace lycheestep

#endif
