#ifndef LYCHEESTEP_DECISION_LOG_H
#define LYCHEESTEP_DECISION_LOG_H

#include "lycheestep/action.h"

namespace lycheestep {

// Writes log lines. No function waits for the disk or the terminal.
class DecisionLog
{
public:
  virtual ~DecisionLog() = default;

  // One line for one routing or placement decision.
  virtual void Write(const LogDecision& aDecision) = 0;

  // One line under the prefix of the note's part.
  virtual void Write(const LogNote& aNote) = 0;
};

} // namespace lycheestep

#endif
