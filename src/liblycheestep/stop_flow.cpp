#include "stop_flow.h"

#include <algorithm>
#include <vector>

#include "core_parts.h"
#include "lycheestep/scheduler_error.h"
#include "request_answers.h"
#include "request_intake.h"

namespace lycheestep {

namespace {

// Time between looks at whether the callers have their answers.
constexpr Duration kCheckPeriod = std::chrono::milliseconds(100);

// Requests that were on their way when the stop began arrive within this time.
constexpr Duration kAcceptTime = std::chrono::seconds(1);

// Kept free at the end of the stop limit to release shares, and to close the
// session.
constexpr Duration kLeaveTime = std::chrono::seconds(6);
constexpr Duration kCloseTime = std::chrono::seconds(3);

constexpr Duration kRetryAfter = std::chrono::seconds(1);

} // namespace

StopFlow::StopFlow(CoreParts& aParts,
                   RequestAnswers& aAnswers,
                   RequestIntake& aIntake)
  : m_parts(aParts)
  , m_answers(aAnswers)
  , m_intake(aIntake)
{
}

void StopFlow::Begin(CoreContext& aContext)
{
  if (m_parts.m_stop != StopStage::kNone) {
    return;
  }
  m_parts.m_stop = StopStage::kAccepting;
  m_acceptUntil = aContext.m_now + kAcceptTime;
  m_limit = aContext.m_now + aContext.m_settings.m_stopLimit;
  m_nextCheck = aContext.m_now;
}

void StopFlow::LeaveRecordedToPeers()
{
  for (const auto& [id, live] : m_parts.m_requests.Live()) {
    if (live.m_stage == RequestStage::kWaiting && live.m_recorded) {
      m_parts.m_queue.Remove(id);
    }
  }
}

void StopFlow::Leave(CoreContext& aContext)
{
  m_parts.m_stop = StopStage::kLeaving;
  AnswerWaiting(aContext);
  m_parts.m_grants.ReleaseAll(aContext,
                              [this](CoreContext&) { m_released = true; });
}

void StopFlow::AnswerWaiting(CoreContext& aContext)
{
  std::vector<RequestId> waiting;
  for (const auto& [id, live] : m_parts.m_requests.Live()) {
    if (live.m_stage == RequestStage::kWaiting && !live.m_recorded) {
      waiting.push_back(id);
    }
  }
  for (const RequestId& id : waiting) {
    LiveRequest* live = m_parts.m_requests.Find(id);
    if (live->AnyTaskOut() || m_intake.TryForward(aContext, *live)) {
      continue;
    }
    m_parts.m_queue.Remove(id);
    Answer answer;
    answer.m_outcome = Outcome::kNotRun;
    answer.m_error = SchedulerError::kStopping;
    answer.m_detail = "this entry host is stopping; send the request again";
    answer.m_retryAfter = kRetryAfter;
    m_answers.Finish(aContext, *live, answer);
  }
}

bool StopFlow::CallersWait() const
{
  const auto& live = m_parts.m_requests.Live();
  return std::any_of(live.begin(), live.end(), [](const auto& aEntry) {
    const LiveRequest& request = aEntry.second;
    const bool asked =
      !request.m_waiters.empty() || !request.m_forwarders.empty();
    // What waits with a record is looked after by the peers from here on.
    const bool leftToPeers =
      request.m_recorded && request.m_stage == RequestStage::kWaiting;
    return asked && !leftToPeers;
  });
}

void StopFlow::Tick(CoreContext& aContext)
{
  if (m_parts.m_stop == StopStage::kNone || m_completed ||
      aContext.m_now < m_nextCheck) {
    return;
  }
  m_nextCheck = aContext.m_now + kCheckPeriod;
  if (aContext.m_now >= m_limit) {
    Complete(aContext);
    return;
  }
  const bool late = aContext.m_now >= m_limit - kLeaveTime;
  switch (m_parts.m_stop) {
    case StopStage::kNone:
      return;
    case StopStage::kAccepting:
      if (aContext.m_now >= m_acceptUntil) {
        m_parts.m_stop = StopStage::kFinishing;
      }
      return;
    case StopStage::kFinishing:
      LeaveRecordedToPeers();
      if (!CallersWait() || late) {
        Leave(aContext);
      }
      return;
    case StopStage::kLeaving:
      CloseIfIdle(aContext);
      return;
  }
}

void StopFlow::CloseIfIdle(CoreContext& aContext)
{
  if (m_closing) {
    return;
  }
  const bool late = aContext.m_now >= m_limit - kCloseTime;
  // Tasks that nobody waits for go on under a peer, and so do their shares.
  const bool idle = !CallersWait() && m_parts.m_records.Waiting() == 0 &&
                    (m_released || m_parts.m_leases.Running() > 0);
  if (idle || late) {
    CloseSession(aContext);
  }
}

void StopFlow::CloseSession(CoreContext& aContext)
{
  m_closing = true;
  m_parts.m_session.Close(aContext,
                          [this](CoreContext& aLater) { Complete(aLater); });
}

void StopFlow::Complete(CoreContext& aContext)
{
  if (m_completed) {
    return;
  }
  m_completed = true;
  // Whoever still waits is told the truth: it may have run.
  for (const auto& [id, live] : m_parts.m_requests.Live()) {
    Answer answer;
    answer.m_request = id;
    answer.m_pending = live.m_recorded;
    answer.m_detail = "this entry host stopped; ask another one by id";
    m_answers.SendToAll(aContext, live, answer);
  }
  aContext.m_actions.emplace_back(StopCompleted());
}

TimePoint StopFlow::NextWakeup() const
{
  const bool active = m_parts.m_stop != StopStage::kNone && !m_completed;
  return active ? m_nextCheck : TimePoint::max();
}

} // namespace lycheestep
