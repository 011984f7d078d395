#include "request_intake.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core_parts.h"
#include "lycheestep/scheduler_error.h"
#include "peer.pb.h"
#include "request_answers.h"
#include "rows.pb.h"
#include "waiting_work.h"

namespace lycheestep {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::seconds;

// A peer that forwarded work answers within this long after its end.
constexpr Duration kForwardGrace = seconds(5);

// When a refused caller may try again if nothing better is known.
constexpr Duration kRetryAfter = seconds(1);

// A request that found no room for this long, or for a quarter of its
// deadline if that is shorter, goes to a peer that has room.
constexpr Duration kForwardAfter = seconds(1);

int TasksOf(const WorkKind& aKind)
{
  const bool many =
    aKind.m_form == WorkForm::kGang || aKind.m_form == WorkForm::kService;
  return many ? std::max(1, aKind.m_tasks) : 1;
}

bool MustBeRecorded(const WorkKind& aKind)
{
  // What is answered later has to be found later, at any host.
  return aKind.m_durable || !aKind.m_repeatable ||
         aKind.m_form != WorkForm::kRequest;
}

LiveRequest MakeLive(Request aRequest, const WorkKind& aKind, TimePoint aNow)
{
  LiveRequest live;
  if (aRequest.m_deadline <= Duration::zero()) {
    aRequest.m_deadline = aKind.m_deadline;
  }
  live.m_request = std::move(aRequest);
  live.m_kind = aKind;
  live.m_arrived = aNow;
  // A service has to be kept running, however late it starts.
  live.m_deadline = aKind.m_form == WorkForm::kService
                      ? TimePoint::max()
                      : aNow + live.m_request.m_deadline;
  live.m_tasks.resize(static_cast<std::size_t>(TasksOf(aKind)));
  return live;
}

} // namespace

RequestIntake::RequestIntake(CoreParts& aParts, RequestAnswers& aAnswers)
  : m_parts(aParts)
  , m_answers(aAnswers)
{
}

void RequestIntake::Submit(CoreContext& aContext,
                           const Asker& aAsker,
                           Request aRequest)
{
  if (aRequest.m_id.Empty()) {
    aRequest.m_id = GenerateId(aContext);
    aRequest.m_firstTry = true;
  }
  if (AnswerRepeated(aContext, aAsker, aRequest.m_id) ||
      RefuseInvalid(aContext, aAsker, aRequest)) {
    return;
  }
  const auto catalogue = m_parts.m_catalogue.Current();
  const WorkKind* kind = catalogue->FindKind(aRequest.m_kind);
  Admit(aContext, aAsker, MakeLive(std::move(aRequest), *kind, aContext.m_now));
}

bool RequestIntake::AnswerRepeated(CoreContext& aContext,
                                   const Asker& aAsker,
                                   const RequestId& aId)
{
  if (const Answer* known = m_parts.m_requests.FindFinalAnswer(aId)) {
    m_answers.Send(aContext, aAsker, *known);
    return true;
  }
  LiveRequest* live = m_parts.m_requests.Find(aId);
  if (live == nullptr) {
    return false;
  }
  AddAsker(*live, aAsker);
  const bool acknowledged = live->m_stage != RequestStage::kRecording &&
                            live->m_stage != RequestStage::kForwarded &&
                            live->m_stage != RequestStage::kFinishing;
  if (acknowledged && live->IsAnsweredLater()) {
    m_answers.SendPending(aContext, *live);
  }
  return true;
}

bool RequestIntake::RefuseInvalid(CoreContext& aContext,
                                  const Asker& aAsker,
                                  const Request& aRequest)
{
  const auto refuse = [&](SchedulerError aError,
                          const std::string& aDetail,
                          Duration aRetryAfter) {
    m_answers.Refuse(aContext, aAsker, aRequest, aError, aDetail, aRetryAfter);
    return true;
  };
  if (aRequest.m_id.Text().size() > kIdLimit) {
    return refuse(SchedulerError::kInvalidRequest,
                  "the id is longer than 128 bytes",
                  Duration::zero());
  }
  const auto catalogue = m_parts.m_catalogue.Current();
  if (catalogue == nullptr) {
    return refuse(SchedulerError::kPlatformUnreachable,
                  "no catalogue is in force at this host yet",
                  kRetryAfter);
  }
  const WorkKind* kind = catalogue->FindKind(aRequest.m_kind);
  if (kind == nullptr) {
    return refuse(SchedulerError::kUnknownKind,
                  "the catalogue has no kind '" + aRequest.m_kind.Text() + "'",
                  Duration::zero());
  }
  if (m_parts.m_switches.Get(kind->m_name).m_stopped) {
    return refuse(SchedulerError::kWorkStopped,
                  "an operator stopped '" + kind->m_name.Text() + "'",
                  Duration::zero());
  }
  const std::string never =
    m_parts.m_fleet.Targets().empty()
      ? std::string()
      : Placer::NeverRunnable(m_parts.m_fleet, kind->m_demand, TasksOf(*kind));
  if (!never.empty()) {
    return refuse(SchedulerError::kNeverRunnable,
                  never + "; told to " + kind->m_owner,
                  Duration::zero());
  }
  return false;
}

void RequestIntake::Admit(CoreContext& aContext,
                          const Asker& aAsker,
                          LiveRequest aLive)
{
  if (m_parts.m_stop >= StopStage::kFinishing) {
    ForwardOrRefuse(aContext, aAsker, std::move(aLive));
    return;
  }
  const AdmissionVerdict verdict =
    m_parts.m_queue.Offer(ToWaiting(aLive, false), aContext.m_now);
  LiveRequest& live = m_parts.m_requests.Open(std::move(aLive));
  AddAsker(live, aAsker);
  LogDecision line;
  line.m_request = live.m_request.m_id;
  line.m_kind = live.m_kind.m_name;
  if (!verdict.m_accepted) {
    if (TryForward(aContext, live)) {
      return;
    }
    line.m_decision = DecisionKind::kRefused;
    line.m_why = verdict.m_detail;
    aContext.m_actions.emplace_back(std::move(line));
    m_answers.Refuse(aContext,
                     aAsker,
                     live.m_request,
                     verdict.m_error,
                     verdict.m_detail,
                     verdict.m_retryAfter);
    m_parts.m_requests.Drop(RequestId(live.m_request.m_id));
    return;
  }
  if (!HasShares(aContext.m_now) && TryForward(aContext, live)) {
    return;
  }
  line.m_decision = DecisionKind::kAdmitted;
  line.m_why = "admitted";
  aContext.m_actions.emplace_back(std::move(line));
  if (MustBeRecorded(live.m_kind)) {
    Record(aContext, live);
    return;
  }
  live.m_stage = RequestStage::kWaiting;
  m_parts.m_requests.SetTimer(
    live.m_request.m_id,
    aContext.m_now + std::min(kForwardAfter, live.m_request.m_deadline / 4));
  if (live.IsAnsweredLater()) {
    m_answers.SendPending(aContext, live);
  }
}

void RequestIntake::ForwardOrRefuse(CoreContext& aContext,
                                    const Asker& aAsker,
                                    LiveRequest aLive)
{
  LiveRequest& live = m_parts.m_requests.Open(std::move(aLive));
  AddAsker(live, aAsker);
  if (TryForward(aContext, live)) {
    return;
  }
  m_answers.Refuse(aContext,
                   aAsker,
                   live.m_request,
                   SchedulerError::kStopping,
                   "this entry host is stopping; send the request again",
                   kRetryAfter);
  m_parts.m_requests.Drop(RequestId(live.m_request.m_id));
}

bool RequestIntake::HasShares(TimePoint aNow) const
{
  const auto& targets = m_parts.m_fleet.Targets();
  return std::any_of(
    targets.begin(), targets.end(), [aNow](const FleetTarget& aTarget) {
      return aTarget.TakesWork() && !aTarget.m_grant.UsableAt(aNow).IsZero();
    });
}

void RequestIntake::Record(CoreContext& aContext, LiveRequest& aLive)
{
  // It waits for its record and not for a target, and takes its place in the
  // queue when the record is safe.
  m_parts.m_queue.Remove(aLive.m_request.m_id);
  aLive.m_stage = RequestStage::kRecording;
  const RequestId id = aLive.m_request.m_id;
  m_parts.m_records.Accept(aContext,
                           aLive.m_request,
                           [this, id](CoreContext& aLater,
                                      RecordStatus aStatus,
                                      const proto::RecordRow* aRecord) {
                             HandleRecorded(aLater, id, aStatus, aRecord);
                           });
}

void RequestIntake::HandleRecorded(CoreContext& aContext,
                                   const RequestId& aId,
                                   RecordStatus aStatus,
                                   const proto::RecordRow* aRecord)
{
  LiveRequest* live = m_parts.m_requests.Find(aId);
  if (live == nullptr) {
    return;
  }
  if (aStatus == RecordStatus::kNotSent) {
    Answer answer;
    answer.m_outcome = Outcome::kNotRun;
    answer.m_error = SchedulerError::kPlatformUnreachable;
    answer.m_detail = "the request has to be recorded first, and the "
                      "platform's table can't be reached";
    answer.m_retryAfter = kRetryAfter;
    m_answers.Finish(aContext, *live, answer);
    return;
  }
  if (aStatus != RecordStatus::kDone) {
    Answer answer;
    answer.m_request = aId;
    answer.m_detail = "another host looks after the request; ask by id";
    answer.m_pending = true;
    m_answers.HandOver(
      aContext,
      aId,
      aRecord == nullptr ? answer : RequestAnswers::FromRecord(*aRecord));
    return;
  }
  live->m_recorded = true;
  if (live->IsAnsweredLater()) {
    m_answers.SendPending(aContext, *live);
  }
  if (live->m_cancelled) {
    Answer answer;
    answer.m_outcome = Outcome::kNotRun;
    answer.m_error = SchedulerError::kCancelled;
    m_answers.Finish(aContext, *live, answer);
    return;
  }
  Requeue(aContext, *live);
}

void RequestIntake::Requeue(CoreContext& aContext, LiveRequest& aLive)
{
  aLive.m_stage = RequestStage::kWaiting;
  aLive.m_retryAt = TimePoint{};
  m_parts.m_queue.Offer(ToWaiting(aLive, true), aContext.m_now);
}

void RequestIntake::Result(CoreContext& aContext,
                           const Asker& aAsker,
                           const RequestId& aRequest)
{
  if (const Answer* known = m_parts.m_requests.FindFinalAnswer(aRequest)) {
    m_answers.Send(aContext, aAsker, *known);
    return;
  }
  if (const LiveRequest* live = m_parts.m_requests.Find(aRequest)) {
    Answer answer;
    answer.m_request = aRequest;
    // What has no record may still be refused, or be lost with this host.
    answer.m_pending = live->m_recorded;
    answer.m_detail = "not over yet; ask again";
    m_answers.Send(aContext, aAsker, answer);
    return;
  }
  m_parts.m_records.Find(
    aContext,
    aRequest,
    [this, aAsker, aRequest](
      CoreContext& aLater, bool aReached, const proto::RecordRow* aRecord) {
      Answer answer;
      answer.m_request = aRequest;
      if (aRecord != nullptr) {
        answer = RequestAnswers::FromRecord(*aRecord);
      } else if (aReached) {
        answer.m_notFound = true;
        answer.m_error = SchedulerError::kNotFound;
        answer.m_detail = "no record of that id, and not known at this host";
      } else {
        answer.m_error = SchedulerError::kPlatformUnreachable;
        answer.m_detail = "the platform's table can't be reached; ask again";
        answer.m_retryAfter = kRetryAfter;
      }
      m_answers.Send(aLater, aAsker, answer);
    });
}

void RequestIntake::CallerLeft(CallerTicket aTicket)
{
  LiveRequest* live =
    m_parts.m_requests.Find(m_parts.m_requests.TakeWaiter(aTicket));
  if (live == nullptr) {
    return;
  }
  auto& waiters = live->m_waiters;
  waiters.erase(std::remove(waiters.begin(), waiters.end(), aTicket),
                waiters.end());
}

bool RequestIntake::TryForward(CoreContext& aContext, LiveRequest& aLive)
{
  const bool free = !aLive.m_recorded && !aLive.m_mayHaveRun &&
                    aLive.m_forwarders.empty() && !aLive.AnyTaskOut();
  if (!free) {
    return false;
  }
  const Duration remaining = aLive.m_deadline - aContext.m_now;
  const auto peer = m_parts.m_peers.ChooseForward(
    aContext, aLive.m_kind.m_demand, aLive.m_request.m_hops, remaining);
  if (!peer) {
    return false;
  }
  m_parts.m_queue.Remove(aLive.m_request.m_id);
  proto::PeerMessage message;
  proto::ForwardedRequest* request = message.mutable_forwarded_request();
  request->set_id(aLive.m_request.m_id.Text());
  request->set_kind(aLive.m_kind.m_name.Text());
  request->set_customer(aLive.m_request.m_customer.Text());
  request->set_body(aLive.m_request.m_body);
  request->set_remaining_deadline_us(
    static_cast<std::uint64_t>(duration_cast<microseconds>(remaining).count()));
  request->set_hops(static_cast<std::uint32_t>(aLive.m_request.m_hops + 1));
  request->set_first_try(aLive.m_request.m_firstTry);
  m_parts.m_peers.Send(aContext, *peer, std::move(message));
  aLive.m_stage = RequestStage::kForwarded;
  aLive.m_forwardUntil =
    aLive.m_deadline + aLive.m_kind.m_runTime + kForwardGrace;
  m_parts.m_requests.SetTimer(aLive.m_request.m_id, aLive.m_forwardUntil);
  aLive.Note("forwarded to " + peer->Text());
  LogDecision line;
  line.m_decision = DecisionKind::kForwarded;
  line.m_request = aLive.m_request.m_id;
  line.m_kind = aLive.m_kind.m_name;
  line.m_why = "forwarded to " + peer->Text() + ", which has room";
  line.m_waited = aContext.m_now - aLive.m_arrived;
  aContext.m_actions.emplace_back(std::move(line));
  return true;
}

void RequestIntake::HandleForwarded(CoreContext& aContext,
                                    const EntryId& aFrom,
                                    const proto::ForwardedRequest& aRequest)
{
  Request request;
  request.m_id = RequestId(aRequest.id());
  request.m_kind = KindName(aRequest.kind());
  request.m_customer = CustomerName(aRequest.customer());
  request.m_body = aRequest.body();
  request.m_deadline = microseconds(aRequest.remaining_deadline_us());
  request.m_hops = static_cast<int>(aRequest.hops());
  request.m_firstTry = aRequest.first_try();
  Submit(aContext, Asker{ 0, aFrom }, std::move(request));
}

void RequestIntake::HandleForwardedAnswer(CoreContext& aContext,
                                          const proto::ForwardedAnswer& aAnswer)
{
  const Answer answer = RequestAnswers::FromProto(aAnswer);
  LiveRequest* live = m_parts.m_requests.Find(answer.m_request);
  if (live == nullptr || live->m_stage != RequestStage::kForwarded) {
    return;
  }
  if (answer.m_pending) {
    m_answers.HandOver(aContext, answer.m_request, answer);
    return;
  }
  m_answers.Finish(aContext, *live, answer);
}

void RequestIntake::HandleTimer(CoreContext& aContext, LiveRequest& aLive)
{
  const bool retryDue =
    aLive.m_retryAt != TimePoint{} && aLive.m_retryAt <= aContext.m_now;
  if (retryDue && !aLive.m_stopReason &&
      aLive.m_stage == RequestStage::kActive) {
    Requeue(aContext, aLive);
    return;
  }
  if (aLive.m_stage == RequestStage::kWaiting) {
    TryForward(aContext, aLive);
    return;
  }
  if (aLive.m_stage == RequestStage::kForwarded &&
      aLive.m_forwardUntil <= aContext.m_now) {
    Answer answer;
    answer.m_outcome = Outcome::kUnknown;
    answer.m_detail = "the host it was forwarded to did not answer";
    m_answers.Finish(aContext, aLive, answer);
  }
}

void RequestIntake::OnAdopted(CoreContext& aContext,
                              const proto::RecordRow& aRecord)
{
  const RequestId id(aRecord.id());
  if (m_parts.m_requests.Find(id) != nullptr) {
    return;
  }
  const auto catalogue = m_parts.m_catalogue.Current();
  const WorkKind* known =
    catalogue ? catalogue->FindKind(KindName(aRecord.kind())) : nullptr;
  WorkKind kind;
  if (known != nullptr) {
    kind = *known;
  } else {
    // The catalogue dropped the kind: what is out there is still looked
    // after, and nothing of it is run again.
    kind.m_name = KindName(aRecord.kind());
    kind.m_repeatable = false;
  }
  Request request;
  request.m_id = id;
  request.m_kind = kind.m_name;
  request.m_customer = CustomerName(aRecord.customer());
  request.m_body = aRecord.body();
  request.m_deadline = microseconds(aRecord.deadline_us());
  LiveRequest& live =
    m_parts.m_requests.Open(MakeLive(std::move(request), kind, aContext.m_now));
  live.m_recorded = true;
  live.m_cancelled = aRecord.cancelled();
  live.Note("taken over from another host");
  // A record whose outcome is unknown may have run: it is asked for, too.
  if (aRecord.state() != proto::RecordRow::ACCEPTED) {
    AdoptTasks(aContext, live, aRecord);
    return;
  }
  if (live.m_cancelled || known == nullptr) {
    Answer answer;
    answer.m_outcome = Outcome::kNotRun;
    answer.m_error = live.m_cancelled ? SchedulerError::kCancelled
                                      : SchedulerError::kUnknownKind;
    m_answers.Finish(aContext, live, answer);
    return;
  }
  Requeue(aContext, live);
}

void RequestIntake::OnRecordLost(CoreContext& aContext, const RequestId& aId)
{
  LiveRequest* live = m_parts.m_requests.Find(aId);
  if (live == nullptr) {
    return;
  }
  m_parts.m_queue.Remove(aId);
  for (const LiveTask& task : live->m_tasks) {
    const bool out =
      task.m_stage == TaskStage::kSent || task.m_stage == TaskStage::kRunning;
    if (task.m_stage == TaskStage::kPlaced) {
      m_parts.m_fleet.GiveBack(task.m_target, task.m_demand);
    }
    if (out) {
      m_parts.m_leases.Disown(task.m_attempt);
    }
    if (out || task.m_stage == TaskStage::kPlaced) {
      m_parts.m_queue.Ended(live->m_kind.m_name, task.m_demand, 1);
    }
  }
  Answer answer;
  answer.m_request = aId;
  answer.m_pending = true;
  answer.m_detail = "another host looks after the request; ask by id";
  m_answers.HandOver(aContext, aId, answer);
}

void RequestIntake::AdoptTasks(CoreContext& aContext,
                               LiveRequest& aLive,
                               const proto::RecordRow& aRecord)
{
  aLive.m_stage = RequestStage::kActive;
  // An earlier attempt may have run, failed and been forgotten at its target.
  aLive.m_mayHaveRun = true;
  for (const proto::RecordAttempt& attempt : aRecord.attempts()) {
    const std::size_t index = attempt.task_index();
    if (index >= aLive.m_tasks.size()) {
      aLive.m_tasks.resize(index + 1);
    }
    LiveTask& task = aLive.m_tasks[index];
    task.m_stage = TaskStage::kSent;
    task.m_attempt = AttemptId(attempt.attempt());
    task.m_target = TargetId(attempt.target());
    task.m_demand = lycheestep::FromProto(attempt.demand());
    m_parts.m_queue.Started(
      aLive.m_kind.m_name, task.m_demand, 1, aContext.m_now);
    TrackedTask tracked;
    tracked.m_attempt = task.m_attempt;
    tracked.m_request = aLive.m_request.m_id;
    tracked.m_kind = aLive.m_kind.m_name;
    tracked.m_target = task.m_target;
    tracked.m_address = attempt.address();
    tracked.m_demand = task.m_demand;
    tracked.m_index = static_cast<int>(index);
    tracked.m_adopted = true;
    // Its target may have been told to forget it, and would deny it then.
    tracked.m_started = aRecord.state() == proto::RecordRow::UNKNOWN;
    m_parts.m_leases.Adopt(aContext, tracked, aContext.m_now);
  }
}

RequestId RequestIntake::GenerateId(CoreContext& aContext)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  static constexpr int kIdDigits = 24;
  std::string text = aContext.m_settings.m_entry.Text() + "-";
  for (int i = 0; i < kIdDigits; ++i) {
    text += kDigits[aContext.m_random() % 16];
  }
  return RequestId(text);
}

void RequestIntake::AddAsker(LiveRequest& aLive, const Asker& aAsker)
{
  if (aAsker.m_ticket != 0) {
    m_parts.m_requests.NoteWaiter(aAsker.m_ticket, aLive.m_request.m_id);
    aLive.m_waiters.push_back(aAsker.m_ticket);
    return;
  }
  if (aAsker.m_peer.Empty()) {
    return;
  }
  auto& peers = aLive.m_forwarders;
  if (std::find(peers.begin(), peers.end(), aAsker.m_peer) == peers.end()) {
    peers.push_back(aAsker.m_peer);
  }
}

WaitingWork RequestIntake::ToWaiting(const LiveRequest& aLive, bool aResume)
{
  WaitingWork work;
  work.m_id = aLive.m_request.m_id;
  work.m_kind = aLive.m_kind.m_name;
  work.m_tasks = std::max(1, aLive.IdleTasks());
  work.m_arrived = aLive.m_arrived;
  work.m_deadline = aLive.m_deadline;
  work.m_hops = aLive.m_request.m_hops;
  work.m_resume = aResume;
  return work;
}

} // namespace lycheestep
