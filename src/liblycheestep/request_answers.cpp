#include "request_answers.h"

#include <utility>

#include "core_parts.h"
#include "lycheestep/scheduler_error.h"
#include "peer.pb.h"
#include "rows.pb.h"

namespace lycheestep {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

proto::RecordRow::State StateOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kDone:
      return proto::RecordRow::DONE;
    case Outcome::kNotRun:
      return proto::RecordRow::NOT_RUN;
    case Outcome::kUnknown:
      break;
  }
  return proto::RecordRow::UNKNOWN;
}

std::error_code ErrorFromWire(std::uint32_t aValue)
{
  if (aValue == 0) {
    return {};
  }
  return { static_cast<int>(aValue), SchedulerCategory() };
}

} // namespace

RequestAnswers::RequestAnswers(CoreParts& aParts)
  : m_parts(aParts)
{
}

void RequestAnswers::Send(CoreContext& aContext,
                          const Asker& aAsker,
                          const Answer& aAnswer)
{
  if (aAsker.m_ticket != 0) {
    aContext.m_actions.emplace_back(AnswerCaller{ aAsker.m_ticket, aAnswer });
    return;
  }
  if (aAsker.m_peer.Empty()) {
    return;
  }
  proto::PeerMessage message;
  ToProto(aAnswer, message.mutable_forwarded_answer());
  m_parts.m_peers.Send(aContext, aAsker.m_peer, std::move(message));
}

void RequestAnswers::Refuse(CoreContext& aContext,
                            const Asker& aAsker,
                            const Request& aRequest,
                            std::error_code aError,
                            const std::string& aDetail,
                            Duration aRetryAfter)
{
  Answer answer;
  answer.m_request = aRequest.m_id;
  answer.m_outcome = OutcomeOfRefusal(aRequest);
  answer.m_error = aError;
  answer.m_detail = aDetail;
  answer.m_retryAfter = aRetryAfter;
  Send(aContext, aAsker, answer);
}

void RequestAnswers::SendPending(CoreContext& aContext, LiveRequest& aLive)
{
  Answer answer;
  answer.m_request = aLive.m_request.m_id;
  answer.m_pending = true;
  answer.m_detail = "accepted; ask for the result by id";
  SendToAll(aContext, aLive, answer);
  aLive.m_waiters.clear();
  aLive.m_forwarders.clear();
}

void RequestAnswers::SendToAll(CoreContext& aContext,
                               const LiveRequest& aLive,
                               const Answer& aAnswer)
{
  for (CallerTicket ticket : aLive.m_waiters) {
    Send(aContext, Asker{ ticket, EntryId() }, aAnswer);
  }
  for (const EntryId& peer : aLive.m_forwarders) {
    Send(aContext, Asker{ 0, peer }, aAnswer);
  }
}

void RequestAnswers::HandOver(CoreContext& aContext,
                              const RequestId& aRequest,
                              const Answer& aAnswer)
{
  if (const LiveRequest* live = m_parts.m_requests.Find(aRequest)) {
    SendToAll(aContext, *live, aAnswer);
    m_parts.m_requests.Drop(RequestId(live->m_request.m_id));
  }
}

void RequestAnswers::Finish(CoreContext& aContext,
                            LiveRequest& aLive,
                            Answer aAnswer)
{
  aAnswer.m_request = aLive.m_request.m_id;
  if (aAnswer.m_outcome == Outcome::kNotRun && aLive.m_mayHaveRun) {
    CorrectNotRun(aLive, aAnswer);
  }
  if (aAnswer.m_outcome == Outcome::kNotRun && !aLive.m_recorded) {
    aAnswer.m_outcome = OutcomeOfRefusal(aLive.m_request);
  }
  if (!aLive.m_recorded) {
    Deliver(aContext, aAnswer);
    return;
  }
  aLive.m_stage = RequestStage::kFinishing;
  m_parts.m_records.Finish(
    aContext,
    aLive.m_request.m_id,
    StateOf(aAnswer.m_outcome),
    aAnswer.m_error,
    aAnswer.m_detail,
    aAnswer.m_body,
    [this, aAnswer](
      CoreContext& aLater, RecordStatus aStatus, const proto::RecordRow*) {
      Answer answer = aAnswer;
      if (aStatus != RecordStatus::kDone &&
          answer.m_outcome == Outcome::kNotRun) {
        // Another host looks after the record now and may run it.
        answer.m_outcome = Outcome::kUnknown;
        answer.m_detail = "another host took the request over; ask by id";
      }
      Deliver(aLater, answer);
    });
}

Outcome RequestAnswers::OutcomeOfRefusal(const Request& aRequest)
{
  return aRequest.m_firstTry ? Outcome::kNotRun : Outcome::kUnknown;
}

void RequestAnswers::CorrectNotRun(const LiveRequest& aLive, Answer& aAnswer)
{
  aAnswer.m_outcome = Outcome::kUnknown;
  for (const LiveTask& task : aLive.m_tasks) {
    if (task.m_report.m_state == AttemptState::kEnded) {
      aAnswer.m_outcome = Outcome::kDone;
      aAnswer.m_body = task.m_report.m_body;
      aAnswer.m_target = task.m_target;
    }
  }
  if (aAnswer.m_error != SchedulerError::kCancelled) {
    aAnswer.m_error = aAnswer.m_outcome == Outcome::kDone
                        ? SchedulerError::kTaskFailed
                        : SchedulerError::kTargetLost;
  }
}

void RequestAnswers::Deliver(CoreContext& aContext, const Answer& aAnswer)
{
  LiveRequest* live = m_parts.m_requests.Find(aAnswer.m_request);
  if (live == nullptr) {
    return;
  }
  Answer answer = aAnswer;
  if (live->m_firstStart != TimePoint{}) {
    answer.m_waited = live->m_firstStart - live->m_arrived;
  }
  SendToAll(aContext, *live, answer);
  ForgetAtTargets(*live);
  LogDecision line;
  line.m_decision = DecisionKind::kFinished;
  line.m_request = answer.m_request;
  line.m_kind = live->m_kind.m_name;
  line.m_target = answer.m_target;
  line.m_why = ToString(answer.m_outcome);
  if (answer.m_error) {
    line.m_why += ", " + answer.m_error.message();
  }
  line.m_waited = answer.m_waited;
  aContext.m_actions.emplace_back(std::move(line));
  // A request that was refused before it had a record may be sent again under
  // its id, and then run elsewhere.
  const bool final = answer.m_outcome != Outcome::kNotRun || live->m_recorded;
  m_parts.m_requests.Close(answer.m_request,
                           answer,
                           final,
                           aContext.m_now,
                           aContext.m_settings.m_recordRetention);
}

void RequestAnswers::ForgetAtTargets(const LiveRequest& aLive)
{
  for (const LiveTask& task : aLive.m_tasks) {
    if (task.m_stage == TaskStage::kEnded) {
      m_parts.m_leases.Forget(task.m_target, task.m_attempt);
    }
  }
}

Answer RequestAnswers::FromRecord(const proto::RecordRow& aRecord)
{
  Answer answer;
  answer.m_request = RequestId(aRecord.id());
  answer.m_error = ErrorFromWire(aRecord.error());
  answer.m_detail = aRecord.detail();
  answer.m_body = aRecord.answer();
  if (aRecord.attempts_size() > 0) {
    answer.m_target = TargetId(aRecord.attempts(0).target());
  }
  switch (aRecord.state()) {
    case proto::RecordRow::DONE:
      answer.m_outcome = Outcome::kDone;
      break;
    case proto::RecordRow::NOT_RUN:
      answer.m_outcome = Outcome::kNotRun;
      break;
    case proto::RecordRow::UNKNOWN:
      answer.m_outcome = Outcome::kUnknown;
      break;
    default:
      answer.m_pending = true;
      answer.m_detail = "accepted; ask for the result by id";
      break;
  }
  return answer;
}

void RequestAnswers::ToProto(const Answer& aAnswer, proto::ForwardedAnswer* aTo)
{
  aTo->set_id(aAnswer.m_request.Text());
  aTo->set_outcome(static_cast<std::uint32_t>(aAnswer.m_outcome));
  aTo->set_pending(aAnswer.m_pending);
  aTo->set_error(static_cast<std::uint32_t>(aAnswer.m_error.value()));
  aTo->set_detail(aAnswer.m_detail);
  aTo->set_body(aAnswer.m_body);
  aTo->set_retry_after_us(static_cast<std::uint64_t>(
    duration_cast<microseconds>(aAnswer.m_retryAfter).count()));
  aTo->set_target(aAnswer.m_target.Text());
  aTo->set_waited_us(static_cast<std::uint64_t>(
    duration_cast<microseconds>(aAnswer.m_waited).count()));
}

Answer RequestAnswers::FromProto(const proto::ForwardedAnswer& aFrom)
{
  Answer answer;
  answer.m_request = RequestId(aFrom.id());
  const bool known =
    aFrom.outcome() <= static_cast<std::uint32_t>(Outcome::kUnknown);
  answer.m_outcome =
    known ? static_cast<Outcome>(aFrom.outcome()) : Outcome::kUnknown;
  answer.m_pending = aFrom.pending();
  answer.m_error = ErrorFromWire(aFrom.error());
  answer.m_detail = aFrom.detail();
  answer.m_body = aFrom.body();
  answer.m_retryAfter = microseconds(aFrom.retry_after_us());
  answer.m_target = TargetId(aFrom.target());
  answer.m_waited = microseconds(aFrom.waited_us());
  return answer;
}

} // namespace lycheestep
