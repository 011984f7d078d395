#include "dispatcher.h"

#include <algorithm>
#include <utility>

#include "attempt_name.h"
#include "core_parts.h"
#include "lycheestep/scheduler_error.h"
#include "placement.h"
#include "request_answers.h"
#include "request_intake.h"
#include "rows.pb.h"
#include "waiting_work.h"

namespace lycheestep {

namespace {

// Requests placed for one event, so that no event holds up the others long.
constexpr int kPlacementsPerEvent = 64;

// When a caller whose request found no room may try again.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

} // namespace

Dispatcher::Dispatcher(CoreParts& aParts,
                       RequestAnswers& aAnswers,
                       RequestIntake& aIntake)
  : m_parts(aParts)
  , m_answers(aAnswers)
  , m_intake(aIntake)
{
}

bool Dispatcher::Run(CoreContext& aContext)
{
  if (m_parts.m_stop == StopStage::kLeaving) {
    return false;
  }
  for (int i = 0; i < kPlacementsPerEvent; ++i) {
    const auto work = m_parts.m_queue.Next(aContext.m_now);
    if (!work) {
      return false;
    }
    Place(aContext, *work);
  }
  return true;
}

void Dispatcher::ExpireWaiting(CoreContext& aContext)
{
  for (const WaitingWork& work : m_parts.m_queue.TakeExpired(aContext.m_now)) {
    LiveRequest* live = m_parts.m_requests.Find(work.m_id);
    if (live == nullptr || live->AnyTaskOut()) {
      continue;
    }
    Answer answer;
    answer.m_outcome = Outcome::kNotRun;
    answer.m_error = work.m_reason;
    answer.m_detail = work.m_detail;
    answer.m_retryAfter = kRetryAfter;
    m_answers.Finish(aContext, *live, answer);
  }
}

void Dispatcher::Place(CoreContext& aContext, const WaitingWork& aWork)
{
  LiveRequest* live = m_parts.m_requests.Find(aWork.m_id);
  if (live == nullptr || live->m_stage != RequestStage::kWaiting) {
    return;
  }
  Placement placement;
  const std::vector<TargetId> targets =
    ChooseTargets(aContext, *live, placement);
  if (targets.empty()) {
    HandleUnplaced(aContext, aWork, *live, placement);
    return;
  }
  Assign(aContext, *live, targets);
  LogDecision line;
  line.m_decision = DecisionKind::kPlaced;
  line.m_request = live->m_request.m_id;
  line.m_kind = live->m_kind.m_name;
  line.m_target = targets.front();
  line.m_why = placement.m_why;
  line.m_candidates = placement.m_candidates;
  line.m_waited = aContext.m_now - live->m_arrived;
  live->Note("placed on " + targets.front().Text() + ": " + placement.m_why);
  aContext.m_actions.emplace_back(std::move(line));
  if (live->m_recorded) {
    RecordAttempts(aContext, *live);
    return;
  }
  SendPlaced(aContext, *live);
}

std::vector<TargetId> Dispatcher::ChooseTargets(CoreContext& aContext,
                                                LiveRequest& aLive,
                                                Placement& aPlacement)
{
  const auto catalogue = m_parts.m_catalogue.Current();
  const CellWeights weights = catalogue ? catalogue->m_weights : CellWeights();
  const Resources& demand = aLive.m_kind.m_demand;
  const int tasks = aLive.IdleTasks();
  if (tasks == 1) {
    aPlacement = m_parts.m_placer.Choose(m_parts.m_fleet,
                                         aLive.m_kind,
                                         demand,
                                         weights,
                                         aContext.m_now,
                                         aContext.m_random);
    if (!aPlacement.Found()) {
      return {};
    }
    return { aPlacement.m_target };
  }
  std::vector<TargetId> targets =
    m_parts.m_placer.ChooseGang(m_parts.m_fleet,
                                aLive.m_kind,
                                demand,
                                tasks,
                                weights,
                                aContext.m_now,
                                aContext.m_random);
  aPlacement.m_candidates = m_parts.m_fleet.Targets().size();
  aPlacement.m_why =
    targets.empty()
      ? "no room for all " + std::to_string(tasks) + " tasks at once"
      : "room for all " + std::to_string(tasks) + " tasks";
  return targets;
}

void Dispatcher::HandleUnplaced(CoreContext& aContext,
                                const WaitingWork& aWork,
                                LiveRequest& aLive,
                                const Placement& aPlacement)
{
  std::string why = aPlacement.m_why;
  for (const RejectedTarget& rejected : aPlacement.m_rejected) {
    why += "; " + rejected.m_target.Text() + " " + rejected.m_lacks;
  }
  aLive.Note(why);
  if (m_intake.TryForward(aContext, aLive)) {
    return;
  }
  m_parts.m_queue.PutBack(aWork, why, aContext.m_now);
}

void Dispatcher::Assign(CoreContext& aContext,
                        LiveRequest& aLive,
                        const std::vector<TargetId>& aTargets)
{
  std::size_t next = 0;
  for (LiveTask& task : aLive.m_tasks) {
    if (task.m_stage != TaskStage::kIdle || next == aTargets.size()) {
      continue;
    }
    task.m_stage = TaskStage::kPlaced;
    task.m_target = aTargets[next++];
    task.m_demand = aLive.m_kind.m_demand;
    task.m_attempt = NewAttempt(aContext);
    m_parts.m_fleet.Take(task.m_target, task.m_demand);
    if (m_parts.m_health.Placed(task.m_target)) {
      m_parts.m_fleet.Find(task.m_target)->m_ejected = true;
    }
  }
  m_parts.m_queue.Started(aLive.m_kind.m_name,
                          aLive.m_kind.m_demand,
                          static_cast<int>(next),
                          aContext.m_now);
}

void Dispatcher::RecordAttempts(CoreContext& aContext, LiveRequest& aLive)
{
  aLive.m_stage = RequestStage::kDispatching;
  std::vector<proto::RecordAttempt> attempts;
  for (std::size_t i = 0; i < aLive.m_tasks.size(); ++i) {
    const LiveTask& task = aLive.m_tasks[i];
    if (task.m_attempt.Empty()) {
      continue;
    }
    proto::RecordAttempt attempt;
    attempt.set_attempt(task.m_attempt.Text());
    attempt.set_target(task.m_target.Text());
    if (const FleetTarget* target = m_parts.m_fleet.Find(task.m_target)) {
      attempt.set_address(target->m_listing.m_address);
    }
    attempt.set_task_index(static_cast<std::uint32_t>(i));
    lycheestep::ToProto(task.m_demand, attempt.mutable_demand());
    attempts.push_back(std::move(attempt));
  }
  const RequestId id = aLive.m_request.m_id;
  m_parts.m_records.Dispatch(aContext,
                             id,
                             attempts,
                             [this, id](CoreContext& aLater,
                                        RecordStatus aStatus,
                                        const proto::RecordRow*) {
                               HandleRecorded(aLater, id, aStatus);
                             });
}

void Dispatcher::HandleRecorded(CoreContext& aContext,
                                const RequestId& aId,
                                RecordStatus aStatus)
{
  LiveRequest* live = m_parts.m_requests.Find(aId);
  if (live == nullptr || live->m_stage != RequestStage::kDispatching) {
    return;
  }
  if (aStatus == RecordStatus::kDone) {
    SendPlaced(aContext, *live);
    return;
  }
  // Nothing was sent from here.
  GiveBackPlaced(*live);
  Answer answer;
  answer.m_request = aId;
  if (live->m_cancelled) {
    answer.m_outcome = Outcome::kNotRun;
    answer.m_error = SchedulerError::kCancelled;
    m_answers.Finish(aContext, *live, answer);
    return;
  }
  answer.m_pending = true;
  answer.m_detail = "another host looks after the request; ask by id";
  m_answers.HandOver(aContext, aId, answer);
}

void Dispatcher::SendPlaced(CoreContext& aContext, LiveRequest& aLive)
{
  TimePoint notAfter = TimePoint::max();
  for (const LiveTask& task : aLive.m_tasks) {
    if (task.m_stage == TaskStage::kPlaced) {
      notAfter = std::min(notAfter, RightToStart(aLive, task, aContext.m_now));
    }
  }
  const bool lapsed = notAfter <= aContext.m_now;
  if (aLive.m_cancelled) {
    GiveBackPlaced(aLive);
    Answer answer;
    answer.m_outcome = Outcome::kNotRun;
    answer.m_error = SchedulerError::kCancelled;
    m_answers.Finish(aContext, aLive, answer);
    return;
  }
  const bool stopped = m_parts.m_stop == StopStage::kLeaving ||
                       m_parts.m_switches.Get(aLive.m_kind.m_name).m_stopped;
  if (lapsed || stopped) {
    GiveBackPlaced(aLive);
    aLive.Note("the right to start it ended before it was sent");
    m_intake.Requeue(aContext, aLive);
    return;
  }
  aLive.m_stage = RequestStage::kActive;
  for (LiveTask& task : aLive.m_tasks) {
    if (task.m_stage == TaskStage::kPlaced) {
      SendTask(aContext, aLive, task, notAfter);
    }
  }
}

void Dispatcher::SendTask(CoreContext& aContext,
                          LiveRequest& aLive,
                          LiveTask& aTask,
                          TimePoint aNotAfter)
{
  const FleetTarget* target = m_parts.m_fleet.Find(aTask.m_target);
  StartTask action;
  action.m_target = aTask.m_target;
  action.m_address = target->m_listing.m_address;
  action.m_notAfter = aNotAfter;
  action.m_start.m_attempt = aTask.m_attempt;
  action.m_start.m_request = aLive.m_request.m_id;
  action.m_start.m_kind = aLive.m_kind.m_name;
  action.m_start.m_demand = aTask.m_demand;
  action.m_start.m_leaseTerm = aContext.m_settings.m_leaseTerm;
  action.m_start.m_waitForEnd = aLive.m_kind.m_form == WorkForm::kRequest;
  action.m_start.m_resume = aTask.m_resume;
  action.m_start.m_body = aLive.m_request.m_body;
  TrackedTask tracked;
  tracked.m_attempt = aTask.m_attempt;
  tracked.m_request = aLive.m_request.m_id;
  tracked.m_kind = aLive.m_kind.m_name;
  tracked.m_target = aTask.m_target;
  tracked.m_address = action.m_address;
  tracked.m_demand = aTask.m_demand;
  tracked.m_index = static_cast<int>(&aTask - aLive.m_tasks.data());
  aTask.m_stage = TaskStage::kSent;
  aContext.m_actions.emplace_back(std::move(action));
  m_parts.m_leases.Track(aContext, tracked);
}

void Dispatcher::GiveBackPlaced(LiveRequest& aLive)
{
  for (LiveTask& task : aLive.m_tasks) {
    if (task.m_stage != TaskStage::kPlaced) {
      continue;
    }
    m_parts.m_fleet.GiveBack(task.m_target, task.m_demand);
    m_parts.m_queue.Ended(aLive.m_kind.m_name, task.m_demand, 1);
    task.m_stage = TaskStage::kIdle;
  }
}

TimePoint Dispatcher::RightToStart(const LiveRequest& aLive,
                                   const LiveTask& aTask,
                                   TimePoint aNow) const
{
  const FleetTarget* target = m_parts.m_fleet.Find(aTask.m_target);
  if (target == nullptr || target->m_leaving) {
    return TimePoint{};
  }
  const TimePoint granted = target->m_grant.UsableUntil(target->m_used, aNow);
  return std::min(granted, aLive.m_deadline);
}

AttemptId Dispatcher::NewAttempt(CoreContext& aContext)
{
  return MakeAttemptId(
    aContext.m_settings.m_entry, m_parts.m_session.Epoch(), m_nextAttempt++);
}

} // namespace lycheestep
