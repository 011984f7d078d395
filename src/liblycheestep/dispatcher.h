#ifndef LYCHEESTEP_DISPATCHER_H
#define LYCHEESTEP_DISPATCHER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core_context.h"
#include "lycheestep/id.h"
#include "record_keeper.h"

namespace lycheestep {

struct CoreParts;
struct LiveRequest;
struct LiveTask;
struct Placement;
struct WaitingWork;
class RequestAnswers;
class RequestIntake;

// Takes work out of the admission queue, places its tasks on targets and
// sends them. Recorded work is sent only after the table holds its attempts,
// and every right to start is checked again right before the sending.
class Dispatcher
{
public:
  Dispatcher(CoreParts& aParts,
             RequestAnswers& aAnswers,
             RequestIntake& aIntake);

  // Places what can be placed now, a bounded number of requests; true when
  // more may be placed at once.
  bool Run(CoreContext& aContext);

  // Answers the requests whose deadline came while they waited.
  void ExpireWaiting(CoreContext& aContext);

private:
  void Place(CoreContext& aContext, const WaitingWork& aWork);
  std::vector<TargetId> ChooseTargets(CoreContext& aContext,
                                      LiveRequest& aLive,
                                      Placement& aPlacement);
  void HandleUnplaced(CoreContext& aContext,
                      const WaitingWork& aWork,
                      LiveRequest& aLive,
                      const Placement& aPlacement);
  void Assign(CoreContext& aContext,
              LiveRequest& aLive,
              const std::vector<TargetId>& aTargets);
  void RecordAttempts(CoreContext& aContext, LiveRequest& aLive);
  void HandleRecorded(CoreContext& aContext,
                      const RequestId& aId,
                      RecordStatus aStatus);
  void SendPlaced(CoreContext& aContext, LiveRequest& aLive);
  void SendTask(CoreContext& aContext,
                LiveRequest& aLive,
                LiveTask& aTask,
                TimePoint aNotAfter);
  void GiveBackPlaced(LiveRequest& aLive);
  TimePoint RightToStart(const LiveRequest& aLive,
                         const LiveTask& aTask,
                         TimePoint aNow) const;
  AttemptId NewAttempt(CoreContext& aContext);

  CoreParts& m_parts;
  RequestAnswers& m_answers;
  RequestIntake& m_intake;
  std::uint64_t m_nextAttempt = 1;
};

} // namespace lycheestep

#endif
