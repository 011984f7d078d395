#ifndef LYCHEESTEP_TASK_FLOW_H
#define LYCHEESTEP_TASK_FLOW_H

#include <map>
#include <optional>
#include <string>
#include <system_error>

#include "asker.h"
#include "core_context.h"
#include "lease_keeper.h"
#include "lycheestep/id.h"
#include "lycheestep/request.h"
#include "retry_budget.h"

namespace lycheestep {

namespace proto {
class RecordRow;
}

struct CoreParts;
struct LiveRequest;
struct LiveTask;
class RequestAnswers;

// Follows the tasks that are at targets: what a started, ended, refused or
// lost task means for its request, when it is tried again, and how tasks are
// stopped.
class TaskFlow : public TaskListener
{
public:
  // Times a request is tried again after its first try.
  static constexpr int kRetryLimit = 5;

  TaskFlow(CoreParts& aParts, RequestAnswers& aAnswers);

  // Takes a request back. aAsker is answered at once when the request is
  // over with that, and otherwise told that it is being stopped.
  void Cancel(CoreContext& aContext,
              const Asker& aAsker,
              const RequestId& aRequest);

  // Stops all tasks of a request gracefully. The request ends when the last
  // one has ended, with aReason unless all of them succeeded.
  void StopTasks(CoreContext& aContext,
                 LiveRequest& aLive,
                 std::error_code aReason);

  // A timer of the request is due: stops tasks that ran for longer than their
  // kind allows.
  void HandleTimer(CoreContext& aContext, LiveRequest& aLive);

  void OnTaskStarted(CoreContext& aContext, const TrackedTask& aTask) override;
  void OnTaskEnded(CoreContext& aContext,
                   const TrackedTask& aTask,
                   const TaskReport& aReport) override;
  void OnTaskNeverStarted(CoreContext& aContext,
                          const TrackedTask& aTask,
                          const std::string& aWhy) override;
  void OnTaskLost(CoreContext& aContext, const TrackedTask& aTask) override;
  bool IsKeptAlive(const KindName& aKind) override;

private:
  // How one task went, for the decision what its request does next.
  enum class TaskEnd
  {
    kSucceeded,
    kFailed,
    kStopped,      // by the scheduler or by a lapsed lease
    kNeverStarted, // it did not run
    kLost,         // it may have run
  };

  void HandleEnd(CoreContext& aContext,
                 const TrackedTask& aTask,
                 TaskEnd aEnd,
                 const TaskReport& aReport,
                 const std::string& aWhy);
  void CountHealth(const TargetId& aTarget, TaskEnd aEnd, TimePoint aNow);
  void HandleServiceEnd(CoreContext& aContext,
                        LiveRequest& aLive,
                        LiveTask& aTask);
  std::optional<Duration> TakeRetry(CoreContext& aContext,
                                    LiveRequest& aLive,
                                    TaskEnd aEnd);
  bool MayRunAgain(const LiveRequest& aLive,
                   TaskEnd aEnd,
                   TimePoint aNow) const;
  void RunAgain(CoreContext& aContext,
                LiveRequest& aLive,
                LiveTask& aTask,
                Duration aDelay);
  void RestartGang(CoreContext& aContext, LiveRequest& aLive);
  void RestartGangIfOver(CoreContext& aContext, LiveRequest& aLive);
  void StopAll(CoreContext& aContext, LiveRequest& aLive);
  void FinishIfOver(CoreContext& aContext, LiveRequest& aLive);
  Answer AnswerOf(const LiveRequest& aLive) const;
  void CancelRecorded(CoreContext& aContext,
                      const Asker& aAsker,
                      const RequestId& aRequest);
  void NotifyHolder(CoreContext& aContext, const proto::RecordRow& aRecord);

  CoreParts& m_parts;
  RequestAnswers& m_answers;
  // What the kinds may still spend on retries of work that is not recorded.
  std::map<KindName, RetryBudget> m_budgets;
};

} // namespace lycheestep

#endif
