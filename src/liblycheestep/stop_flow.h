#ifndef LYCHEESTEP_STOP_FLOW_H
#define LYCHEESTEP_STOP_FLOW_H

#include "core_context.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

struct CoreParts;
class RequestAnswers;
class RequestIntake;

// The graceful stop of this host. It is not ready from the first moment, but
// still takes the requests that are on their way to it. Later ones go to a
// peer or are refused. Requests whose callers wait are finished, recorded ones
// that wait are left to the peers with their records. Then free shares are
// released, and the session is closed so that peers take over tasks that go
// on running.
class StopFlow
{
public:
  StopFlow(CoreParts& aParts, RequestAnswers& aAnswers, RequestIntake& aIntake);

  // Begins to stop; a second call changes nothing.
  void Begin(CoreContext& aContext);

  // Goes on when the step at hand is complete.
  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const;

private:
  void LeaveRecordedToPeers();
  void Leave(CoreContext& aContext);
  void AnswerWaiting(CoreContext& aContext);
  void CloseIfIdle(CoreContext& aContext);
  bool CallersWait() const;
  void CloseSession(CoreContext& aContext);
  void Complete(CoreContext& aContext);

  CoreParts& m_parts;
  RequestAnswers& m_answers;
  RequestIntake& m_intake;
  bool m_released = false;
  bool m_closing = false;
  bool m_completed = false;
  TimePoint m_acceptUntil;
  TimePoint m_limit;
  TimePoint m_nextCheck;
};

} // namespace lycheestep

#endif
