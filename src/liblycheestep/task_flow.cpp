#include "task_flow.h"

#include <algorithm>
#include <utility>

#include "backoff.h"
#include "core_parts.h"
#include "lycheestep/scheduler_error.h"
#include "peer.pb.h"
#include "request_answers.h"
#include "rows.pb.h"

namespace lycheestep {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Delays before a request is tried again.
constexpr Duration kFirstRetry = milliseconds(50);
constexpr Duration kMostRetry = seconds(10);

// When a caller may try again after all tries failed.
constexpr Duration kRetryAfter = seconds(5);

bool IsService(const LiveRequest& aLive)
{
  return aLive.m_kind.m_form == WorkForm::kService;
}

} // namespace

TaskFlow::TaskFlow(CoreParts& aParts, RequestAnswers& aAnswers)
  : m_parts(aParts)
  , m_answers(aAnswers)
{
}

void TaskFlow::OnTaskStarted(CoreContext& aContext, const TrackedTask& aTask)
{
  LiveRequest* live = m_parts.m_requests.Find(aTask.m_request);
  LiveTask* task = live == nullptr ? nullptr : live->FindTask(aTask.m_attempt);
  if (task == nullptr) {
    return;
  }
  task->m_stage = TaskStage::kRunning;
  task->m_startedAt = aContext.m_now;
  if (live->m_firstStart == TimePoint{}) {
    live->m_firstStart = aContext.m_now;
  }
  const Duration limit = live->m_kind.m_runTimeLimit;
  if (limit > Duration::zero()) {
    m_parts.m_requests.SetTimer(aTask.m_request, aContext.m_now + limit);
  }
}

void TaskFlow::HandleTimer(CoreContext& aContext, LiveRequest& aLive)
{
  const Duration limit = aLive.m_kind.m_runTimeLimit;
  if (limit <= Duration::zero() || aLive.m_stopReason) {
    return;
  }
  for (const LiveTask& task : aLive.m_tasks) {
    const bool over = task.m_stage == TaskStage::kRunning &&
                      task.m_startedAt + limit <= aContext.m_now;
    if (over) {
      aLive.Note("ran for longer than its kind allows");
      StopTasks(aContext, aLive, SchedulerError::kTaskFailed);
      return;
    }
  }
}

void TaskFlow::OnTaskEnded(CoreContext& aContext,
                           const TrackedTask& aTask,
                           const TaskReport& aReport)
{
  TaskEnd end = TaskEnd::kFailed;
  std::string why = "the task failed";
  if (aReport.m_succeeded) {
    end = TaskEnd::kSucceeded;
    why = "the task ended";
  } else if (aReport.m_stopped) {
    end = TaskEnd::kStopped;
    why = "the task was stopped";
  }
  HandleEnd(aContext, aTask, end, aReport, why);
}

void TaskFlow::OnTaskNeverStarted(CoreContext& aContext,
                                  const TrackedTask& aTask,
                                  const std::string& aWhy)
{
  HandleEnd(aContext, aTask, TaskEnd::kNeverStarted, TaskReport(), aWhy);
}

void TaskFlow::OnTaskLost(CoreContext& aContext, const TrackedTask& aTask)
{
  HandleEnd(aContext,
            aTask,
            TaskEnd::kLost,
            TaskReport(),
            "the target can't be reached and the lease lapsed");
}

bool TaskFlow::IsKeptAlive(const KindName& aKind)
{
  const auto catalogue = m_parts.m_catalogue.Current();
  const WorkKind* kind = catalogue ? catalogue->FindKind(aKind) : nullptr;
  return kind != nullptr && !kind->m_repeatable;
}

void TaskFlow::HandleEnd(CoreContext& aContext,
                         const TrackedTask& aTask,
                         TaskEnd aEnd,
                         const TaskReport& aReport,
                         const std::string& aWhy)
{
  m_parts.m_queue.Ended(aTask.m_kind, aTask.m_demand, 1);
  m_parts.m_queue.CapacityChanged();
  CountHealth(aTask.m_target, aEnd, aContext.m_now);
  LiveRequest* live = m_parts.m_requests.Find(aTask.m_request);
  LiveTask* task = live == nullptr ? nullptr : live->FindTask(aTask.m_attempt);
  if (task == nullptr) {
    m_parts.m_leases.Forget(aTask.m_target, aTask.m_attempt);
    return;
  }
  const bool wasCheckpointed =
    task->m_checkpointing && aEnd == TaskEnd::kStopped;
  live->m_mayHaveRun = live->m_mayHaveRun || aEnd != TaskEnd::kNeverStarted;
  const bool ran =
    aEnd != TaskEnd::kNeverStarted && live->m_firstStart == TimePoint{};
  if (ran && aEnd != TaskEnd::kLost) {
    live->m_firstStart = aContext.m_now - aReport.m_ranFor;
  }
  task->m_stage = TaskStage::kEnded;
  if (aEnd != TaskEnd::kNeverStarted && aEnd != TaskEnd::kLost) {
    task->m_report = aReport;
  }
  live->Note(aTask.m_target.Text() + ": " + aWhy);
  if (IsService(*live) && !live->m_stopReason) {
    HandleServiceEnd(aContext, *live, *task);
    return;
  }
  if (wasCheckpointed && !live->m_stopReason) {
    // It has started in time; from here on it is only held up.
    task->m_resume = true;
    live->m_deadline = TimePoint::max();
    RunAgain(aContext, *live, *task, kFirstRetry);
    return;
  }
  if (live->m_restarting) {
    RestartGangIfOver(aContext, *live);
    return;
  }
  if (aEnd == TaskEnd::kSucceeded) {
    m_budgets[live->m_kind.m_name].Succeeded();
  } else if (const auto delay = TakeRetry(aContext, *live, aEnd)) {
    if (live->m_kind.m_form == WorkForm::kGang &&
        aEnd != TaskEnd::kNeverStarted) {
      RestartGang(aContext, *live);
      return;
    }
    RunAgain(aContext, *live, *task, *delay);
    return;
  }
  if (aEnd != TaskEnd::kSucceeded && !live->m_stopReason) {
    const bool unknown = aEnd == TaskEnd::kLost ||
                         (aEnd == TaskEnd::kStopped && !task->m_stopping);
    SchedulerError error = SchedulerError::kTaskFailed;
    if (unknown) {
      error = SchedulerError::kTargetLost;
    } else if (aEnd == TaskEnd::kNeverStarted) {
      error = SchedulerError::kTargetRefused;
    }
    // The members of a gang end together.
    StopTasks(aContext, *live, error);
  }
  FinishIfOver(aContext, *live);
}

void TaskFlow::CountHealth(const TargetId& aTarget,
                           TaskEnd aEnd,
                           TimePoint aNow)
{
  const FleetTarget* target = std::as_const(m_parts.m_fleet).Find(aTarget);
  // A target that is about to leave refuses work as it should.
  if (target == nullptr || target->m_leaving || aEnd == TaskEnd::kStopped) {
    return;
  }
  if (aEnd == TaskEnd::kSucceeded) {
    m_parts.m_health.Succeeded(aTarget, aNow);
  } else {
    m_parts.m_health.Failed(aTarget, aNow);
  }
}

void TaskFlow::HandleServiceEnd(CoreContext& aContext,
                                LiveRequest& aLive,
                                LiveTask& aTask)
{
  m_parts.m_leases.Forget(aTask.m_target, aTask.m_attempt);
  ++aLive.m_retries;
  // A replica that ran well for a while starts the count of failures anew.
  if (aTask.m_report.m_ranFor > kMostRetry) {
    aLive.m_retries = 1;
  }
  const Duration delay =
    BackoffDelay(aContext.m_random, kFirstRetry, kMostRetry, aLive.m_retries);
  RunAgain(aContext, aLive, aTask, delay);
}

std::optional<Duration> TaskFlow::TakeRetry(CoreContext& aContext,
                                            LiveRequest& aLive,
                                            TaskEnd aEnd)
{
  if (!MayRunAgain(aLive, aEnd, aContext.m_now)) {
    return std::nullopt;
  }
  const int before = aLive.m_retries++;
  if (aLive.m_recorded) {
    // What was accepted for good is not given up to save a retry.
    return BackoffDelay(
      aContext.m_random, kFirstRetry, kMostRetry, aLive.m_retries);
  }
  return m_budgets[aLive.m_kind.m_name].Take(
    before, aLive.m_deadline - aContext.m_now, aContext.m_random);
}

bool TaskFlow::MayRunAgain(const LiveRequest& aLive,
                           TaskEnd aEnd,
                           TimePoint aNow) const
{
  if (aLive.m_stopReason || aLive.m_cancelled ||
      m_parts.m_stop == StopStage::kLeaving) {
    return false;
  }
  if (aEnd != TaskEnd::kNeverStarted && !aLive.m_kind.m_repeatable) {
    return false;
  }
  return aLive.m_retries < kRetryLimit && aNow < aLive.m_deadline;
}

void TaskFlow::RunAgain(CoreContext& aContext,
                        LiveRequest& aLive,
                        LiveTask& aTask,
                        Duration aDelay)
{
  if (!aTask.m_resume) {
    m_parts.m_leases.Forget(aTask.m_target, aTask.m_attempt);
  }
  aTask.m_stage = TaskStage::kIdle;
  aTask.m_stopping = false;
  aTask.m_checkpointing = false;
  aLive.m_retryAt = aContext.m_now + aDelay;
  m_parts.m_requests.SetTimer(aLive.m_request.m_id, aLive.m_retryAt);
  LogDecision line;
  line.m_decision = DecisionKind::kRetried;
  line.m_request = aLive.m_request.m_id;
  line.m_kind = aLive.m_kind.m_name;
  line.m_target = aTask.m_target;
  line.m_why = aLive.m_history.empty() ? "" : aLive.m_history.back();
  aContext.m_actions.emplace_back(std::move(line));
}

void TaskFlow::RestartGang(CoreContext& aContext, LiveRequest& aLive)
{
  aLive.m_restarting = true;
  StopAll(aContext, aLive);
  RestartGangIfOver(aContext, aLive);
}

void TaskFlow::RestartGangIfOver(CoreContext& aContext, LiveRequest& aLive)
{
  if (aLive.AnyTaskOut()) {
    return;
  }
  aLive.m_restarting = false;
  m_parts.m_queue.Remove(aLive.m_request.m_id);
  if (!MayRunAgain(aLive, TaskEnd::kFailed, aContext.m_now)) {
    if (!aLive.m_stopReason) {
      aLive.m_stopReason = SchedulerError::kTaskFailed;
    }
    FinishIfOver(aContext, aLive);
    return;
  }
  for (LiveTask& task : aLive.m_tasks) {
    m_parts.m_leases.Forget(task.m_target, task.m_attempt);
    task.m_stage = TaskStage::kIdle;
    task.m_stopping = false;
    task.m_resume = false;
  }
  const Duration delay =
    BackoffDelay(aContext.m_random, kFirstRetry, kMostRetry, aLive.m_retries);
  RunAgain(aContext, aLive, aLive.m_tasks.front(), delay);
}

void TaskFlow::StopTasks(CoreContext& aContext,
                         LiveRequest& aLive,
                         std::error_code aReason)
{
  if (!aLive.m_stopReason) {
    aLive.m_stopReason = aReason;
  }
  StopAll(aContext, aLive);
}

void TaskFlow::StopAll(CoreContext& aContext, LiveRequest& aLive)
{
  for (LiveTask& task : aLive.m_tasks) {
    const bool out =
      task.m_stage == TaskStage::kSent || task.m_stage == TaskStage::kRunning;
    if (out && !task.m_stopping) {
      task.m_stopping = true;
      m_parts.m_leases.Control(aContext, task.m_attempt, TaskControl::kStop);
    }
  }
}

void TaskFlow::FinishIfOver(CoreContext& aContext, LiveRequest& aLive)
{
  if (aLive.AnyTaskOut() || aLive.m_stage == RequestStage::kFinishing) {
    return;
  }
  if (!aLive.m_stopReason && aLive.IdleTasks() > 0) {
    return;
  }
  m_parts.m_queue.Remove(aLive.m_request.m_id);
  m_answers.Finish(aContext, aLive, AnswerOf(aLive));
}

Answer TaskFlow::AnswerOf(const LiveRequest& aLive) const
{
  Answer answer;
  bool allSucceeded = true;
  bool anyRan = aLive.m_firstStart != TimePoint{};
  for (const LiveTask& task : aLive.m_tasks) {
    const bool succeeded =
      task.m_stage == TaskStage::kEnded && task.m_report.m_succeeded;
    allSucceeded = allSucceeded && succeeded;
    if (succeeded && answer.m_body.empty()) {
      answer.m_body = task.m_report.m_body;
      answer.m_target = task.m_target;
    }
  }
  answer.m_outcome = Outcome::kDone;
  if (allSucceeded) {
    return answer;
  }
  answer.m_error = aLive.m_stopReason;
  answer.m_detail = aLive.m_history.empty() ? "" : aLive.m_history.back();
  if (aLive.m_stopReason == SchedulerError::kTargetLost) {
    answer.m_outcome = Outcome::kUnknown;
  } else if (!anyRan) {
    answer.m_outcome = Outcome::kNotRun;
    answer.m_retryAfter = kRetryAfter;
  }
  if (answer.m_outcome == Outcome::kDone && !aLive.m_tasks.empty()) {
    answer.m_target = aLive.m_tasks.front().m_target;
    answer.m_body = aLive.m_tasks.front().m_report.m_body;
  }
  return answer;
}

void TaskFlow::Cancel(CoreContext& aContext,
                      const Asker& aAsker,
                      const RequestId& aRequest)
{
  LiveRequest* live = m_parts.m_requests.Find(aRequest);
  if (live == nullptr) {
    CancelRecorded(aContext, aAsker, aRequest);
    return;
  }
  Answer answer;
  answer.m_request = aRequest;
  live->m_cancelled = true;
  live->Note("cancelled");
  const bool waits =
    live->m_stage == RequestStage::kWaiting && !live->AnyTaskOut();
  if (waits) {
    m_parts.m_queue.Remove(aRequest);
    answer.m_outcome =
      live->m_firstStart == TimePoint{} ? Outcome::kNotRun : Outcome::kDone;
    answer.m_error = SchedulerError::kCancelled;
    if (aAsker.m_ticket != 0) {
      live->m_waiters.push_back(aAsker.m_ticket);
    }
    m_answers.Finish(aContext, *live, answer);
    return;
  }
  StopTasks(aContext, *live, SchedulerError::kCancelled);
  answer.m_pending = live->m_recorded;
  answer.m_detail = "being stopped; ask for the result by id";
  m_answers.Send(aContext, aAsker, answer);
  if (live->m_stage == RequestStage::kActive) {
    FinishIfOver(aContext, *live);
  }
}

void TaskFlow::CancelRecorded(CoreContext& aContext,
                              const Asker& aAsker,
                              const RequestId& aRequest)
{
  if (const Answer* known = m_parts.m_requests.FindFinalAnswer(aRequest)) {
    m_answers.Send(aContext, aAsker, *known);
    return;
  }
  m_parts.m_records.Cancel(
    aContext,
    aRequest,
    [this, aAsker, aRequest](CoreContext& aLater,
                             RecordStatus aStatus,
                             const proto::RecordRow* aRecord) {
      Answer answer;
      answer.m_request = aRequest;
      if (aRecord != nullptr) {
        answer = RequestAnswers::FromRecord(*aRecord);
        NotifyHolder(aLater, *aRecord);
      } else if (aStatus == RecordStatus::kNotSent) {
        answer.m_error = SchedulerError::kPlatformUnreachable;
        answer.m_detail = "the platform's table can't be reached; ask again";
      } else {
        answer.m_notFound = true;
        answer.m_error = SchedulerError::kNotFound;
        answer.m_detail = "no record of that id, and not known at this host";
      }
      m_answers.Send(aLater, aAsker, answer);
    });
}

void TaskFlow::NotifyHolder(CoreContext& aContext,
                            const proto::RecordRow& aRecord)
{
  const EntryId holder(aRecord.holder());
  if (holder.Empty() || holder == aContext.m_settings.m_entry) {
    return;
  }
  proto::PeerMessage message;
  message.mutable_cancel_notice()->set_id(aRecord.id());
  m_parts.m_peers.Send(aContext, holder, std::move(message));
}

} // namespace lycheestep
