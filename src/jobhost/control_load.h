#ifndef LYCHEESTEP_CONTROL_LOAD_H
#define LYCHEESTEP_CONTROL_LOAD_H

#include <cstddef>
#include <optional>
#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Sums up how busy the control thread of a leader is. A leader that is busy all
// the time decides late.
class ControlLoad
{
public:
  // Starts anew at aNow.
  void Begin(TimePoint aNow);

  // Counts one iteration of the control loop that handled aTasks queued tasks.
  void Note(TimePoint aBegun, TimePoint aEnded, std::size_t aTasks);

  // Returns the fields of a log line about the time since the last report, and
  // nothing while that is less than a second.
  std::optional<std::string> TakeReport(TimePoint aNow);

private:
  TimePoint m_since;
  std::size_t m_iterations = 0;
  std::size_t m_tasks = 0;
  Duration m_busy = Duration::zero();
  Duration m_longest = Duration::zero();
};

} // namespace lycheestep

#endif
