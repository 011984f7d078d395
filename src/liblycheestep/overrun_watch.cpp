#include "overrun_watch.h"

#include "core_parts.h"
#include "lycheestep/scheduler_error.h"
#include "task_flow.h"

namespace lycheestep {

OverrunWatch::OverrunWatch(CoreParts& aParts, TaskFlow& aTasks)
  : m_parts(aParts)
  , m_tasks(aTasks)
{
}

void OverrunWatch::HandleReport(CoreContext& aContext,
                                const TargetReport& aReport)
{
  for (const TaskReport& task : aReport.m_tasks) {
    if (task.m_state == AttemptState::kRunning) {
      HandleRunning(aContext, task);
    } else if (task.m_state == AttemptState::kEnded) {
      HandleEnded(task);
    }
  }
}

void OverrunWatch::HandleEnded(const TaskReport& aReport)
{
  // Each end counts once: a later report of it is no longer tracked.
  if (!m_parts.m_leases.Tracks(aReport.m_attempt) || !aReport.m_succeeded) {
    return;
  }
  const auto catalogue = m_parts.m_catalogue.Current();
  const WorkKind* kind =
    catalogue ? catalogue->FindKind(aReport.m_kind) : nullptr;
  if (kind == nullptr) {
    return;
  }
  Resources largest;
  for (const FleetTarget& target : m_parts.m_fleet.Targets()) {
    largest = Resources::Max(largest, target.m_listing.m_capacity);
  }
  m_estimator.TaskEnded(*kind, aReport);
  const UsageEstimate estimate = m_estimator.Estimate(*kind, largest);
  m_parts.m_queue.SetEstimate(
    kind->m_name, estimate.m_demand, estimate.m_runTime);
}

void OverrunWatch::HandleRunning(CoreContext& aContext,
                                 const TaskReport& aReport)
{
  LiveRequest* live = m_parts.m_requests.Find(aReport.m_request);
  LiveTask* task =
    live == nullptr ? nullptr : live->FindTask(aReport.m_attempt);
  if (task == nullptr || task->m_stopping || task->m_checkpointing) {
    return;
  }
  const auto catalogue = m_parts.m_catalogue.Current();
  const bool promised =
    catalogue != nullptr &&
    !catalogue->PromisedCustomersOf(live->m_kind.m_name).empty();
  switch (UsageEstimator::Judge(live->m_kind, aReport, promised)) {
    case OverrunVerdict::kNone:
      return;
    case OverrunVerdict::kThrottle:
      live->Note("throttled: it takes more processors than declared");
      m_parts.m_leases.Control(
        aContext, task->m_attempt, TaskControl::kThrottle);
      return;
    case OverrunVerdict::kStop:
      Stop(aContext, *live, *task);
      return;
  }
}

void OverrunWatch::Stop(CoreContext& aContext,
                        LiveRequest& aLive,
                        LiveTask& aTask)
{
  aLive.Note("stopped: it takes more memory or time than declared");
  LogNote note;
  note.m_part = "targets";
  note.m_text = "stopping " + aLive.m_request.m_id.Text() + " on " +
                aTask.m_target.Text() + ": over its declared size";
  note.m_warning = true;
  aContext.m_actions.emplace_back(note);
  if (aLive.m_kind.m_form == WorkForm::kService) {
    // The replica starts again; the service goes on.
    aTask.m_stopping = true;
    m_parts.m_leases.Control(aContext, aTask.m_attempt, TaskControl::kStop);
    return;
  }
  m_tasks.StopTasks(aContext, aLive, SchedulerError::kTaskFailed);
}

} // namespace lycheestep
