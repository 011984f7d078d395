#ifndef LYCHEESTEP_TARGET_CLIENT_H
#define LYCHEESTEP_TARGET_CLIENT_H

#include "lycheestep/action.h"

namespace lycheestep {

// Carries calls to targets. No function waits: each call but ControlTask ends
// in an event.
class TargetClient
{
public:
  virtual ~TargetClient() = default;

  // Ends in StartAnswered, followed by TaskEnded if the end is waited for.
  // The clock is read right before the request is sent; past m_notAfter the
  // answer is kNotSent.
  virtual void StartOn(StartTask aCall) = 0;

  // Ends in TargetReported.
  virtual void Renew(RenewLeases aCall) = 0;

  // Best effort: the effect shows in later reports.
  virtual void Control(ControlTask aCall) = 0;

  // Ends in AttemptAnswered.
  virtual void Query(QueryAttempt aCall) = 0;
};

} // namespace lycheestep

#endif
