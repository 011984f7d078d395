#include "scheduler_state.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "lycheestep/scheduler_error.h"
#include "peer.pb.h"

namespace lycheestep {

namespace {

// Shortest time between two looks at how much of the fleet is usable here.
constexpr Duration kCapacityPeriod = std::chrono::milliseconds(100);

} // namespace

SchedulerState::SchedulerState(const SchedulerSettings& aSettings, TimePoint)
  : m_settings(aSettings)
  , m_random(aSettings.m_seed)
  , m_parts(m_settings)
  , m_answers(m_parts)
  , m_intake(m_parts, m_answers)
  , m_tasks(m_parts, m_answers)
  , m_dispatcher(m_parts, m_answers, m_intake)
  , m_operators(m_parts, m_intake, m_tasks)
  , m_overruns(m_parts, m_tasks)
  , m_roomMaker(m_parts)
  , m_stop(m_parts, m_answers, m_intake)
{
  m_parts.m_session.SetListener(this);
  m_parts.m_watch.SetListener(this);
  m_parts.m_records.SetListener(&m_intake);
  m_parts.m_leases.SetListener(&m_tasks);
  m_parts.m_catalogue.SetListener(this);
  m_parts.m_switches.SetListener(&m_operators);
  m_parts.m_leases.SetOwnerMayBeDead(
    [this](const EntryId& aEntry, std::uint64_t aEpoch) {
      return !m_parts.m_session.IsTableReachable() &&
             !m_parts.m_watch.IsLive(aEntry, aEpoch);
    });
}

void SchedulerState::Handle(const Event& aEvent,
                            TimePoint aNow,
                            ActionList& aActions)
{
  CoreContext context{ m_settings, aNow, aActions, m_random };
  if (!m_started) {
    m_started = true;
    m_parts.m_session.Start(context);
  }
  const std::size_t firstAction = aActions.size();
  m_tickets.Open(aEvent);
  std::visit([this, &context](const auto& aValue) { On(context, aValue); },
             aEvent);
  Tick(context);
  m_dispatcher.ExpireWaiting(context);
  RefreshCapacity(context);
  m_morePlacements = m_dispatcher.Run(context);
  m_roomMaker.Tick(context);
  m_tickets.Close(aActions, firstAction);
}

void SchedulerState::Tick(CoreContext& aContext)
{
  FetchHostListIfDue(aContext);
  UpdateOwnLoad(aContext);
  m_parts.m_session.Tick(aContext);
  m_parts.m_watch.Tick(aContext);
  m_parts.m_catalogue.Tick(aContext);
  m_parts.m_switches.Tick(aContext);
  m_parts.m_grants.Tick(aContext);
  m_parts.m_leases.Tick(aContext);
  m_parts.m_records.Tick(aContext);
  m_parts.m_peers.Tick(aContext);
  HandleTimers(aContext);
  m_parts.m_requests.Expire(aContext.m_now);
  m_stop.Tick(aContext);
}

void SchedulerState::HandleTimers(CoreContext& aContext)
{
  for (const RequestId& id : m_parts.m_requests.TakeDue(aContext.m_now)) {
    if (LiveRequest* live = m_parts.m_requests.Find(id)) {
      m_tasks.HandleTimer(aContext, *live);
      m_intake.HandleTimer(aContext, *live);
    }
  }
}

TimePoint SchedulerState::NextWakeup() const
{
  if (!m_started || m_morePlacements) {
    return TimePoint{};
  }
  return std::min({ m_nextHostList,
                    m_parts.m_session.NextWakeup(),
                    m_parts.m_watch.NextWakeup(),
                    m_parts.m_catalogue.NextWakeup(),
                    m_parts.m_switches.NextWakeup(),
                    m_parts.m_grants.NextWakeup(),
                    m_parts.m_leases.NextWakeup(),
                    m_parts.m_records.NextWakeup(),
                    m_parts.m_peers.NextWakeup(),
                    m_parts.m_requests.NextTimer(),
                    m_parts.m_queue.NextExpiry(),
                    m_stop.NextWakeup() });
}

bool SchedulerState::IsReady() const
{
  if (m_parts.m_stop != StopStage::kNone ||
      m_parts.m_catalogue.Current() == nullptr) {
    return false;
  }
  // A host without shares can still hand requests to its peers.
  return !m_capacity.IsZero() || m_hasPeers;
}

void SchedulerState::FetchHostListIfDue(CoreContext& aContext)
{
  if (aContext.m_now < m_nextHostList) {
    return;
  }
  m_nextHostList = aContext.m_now + aContext.m_settings.m_hostListPeriod;
  if (m_fetchingHosts) {
    return;
  }
  m_fetchingHosts = true;
  aContext.m_actions.emplace_back(FetchHostList());
}

void SchedulerState::RefreshCapacity(CoreContext& aContext)
{
  if (aContext.m_now < m_nextCapacity) {
    return;
  }
  m_nextCapacity = aContext.m_now + kCapacityPeriod;
  for (const HealthChange& change : m_parts.m_health.Update(aContext.m_now)) {
    if (FleetTarget* target = m_parts.m_fleet.Find(change.m_target)) {
      target->m_ejected = change.m_ejected;
    }
  }
  Resources wanted;
  Resources largestTask;
  m_parts.m_queue.BlockedDemand(&wanted, &largestTask);
  m_parts.m_grants.SetDemand(wanted, largestTask);
  Resources usable;
  for (const FleetTarget& target : m_parts.m_fleet.Targets()) {
    if (target.TakesWork()) {
      usable += target.m_grant.UsableAt(aContext.m_now);
    }
  }
  if (usable != m_capacity) {
    m_capacity = usable;
    m_parts.m_queue.SetCellCapacity(usable);
    m_parts.m_queue.CapacityChanged();
  }
}

void SchedulerState::UpdateOwnLoad(CoreContext& aContext)
{
  if (aContext.m_now < m_parts.m_peers.NextWakeup()) {
    return;
  }
  m_hasPeers = !m_parts.m_peers.Alive(aContext.m_now).empty();
  PeerLoad load;
  load.m_catalogueVersion = m_parts.m_catalogue.Version();
  load.m_leaving = m_parts.m_stop != StopStage::kNone;
  load.m_free = m_parts.m_fleet.TotalFree(aContext.m_now);
  load.m_largestFree = m_parts.m_fleet.LargestFree(aContext.m_now);
  load.m_waiting = static_cast<std::uint32_t>(m_parts.m_queue.Waiting());
  m_parts.m_peers.SetOwnLoad(load);
}

void SchedulerState::On(CoreContext& aContext, const RequestSubmitted& aEvent)
{
  m_intake.Submit(
    aContext, Asker{ aEvent.m_ticket, EntryId() }, aEvent.m_request);
}

void SchedulerState::On(CoreContext& aContext, const ResultRequested& aEvent)
{
  m_intake.Result(
    aContext, Asker{ aEvent.m_ticket, EntryId() }, aEvent.m_request);
}

void SchedulerState::On(CoreContext& aContext, const CancelRequested& aEvent)
{
  m_tasks.Cancel(
    aContext, Asker{ aEvent.m_ticket, EntryId() }, aEvent.m_request);
}

void SchedulerState::On(CoreContext& aContext, const ExplainRequested& aEvent)
{
  AnswerExplain answer;
  answer.m_ticket = aEvent.m_ticket;
  if (const LiveRequest* live = m_parts.m_requests.Find(aEvent.m_request)) {
    answer.m_lines.assign(live->m_history.begin(), live->m_history.end());
    std::string waits =
      m_parts.m_queue.Explain(aEvent.m_request, aContext.m_now);
    if (!waits.empty()) {
      answer.m_lines.push_back(std::move(waits));
    }
    if (answer.m_lines.empty()) {
      answer.m_lines.emplace_back("its record is being written");
    }
  } else if (const Answer* known =
               m_parts.m_requests.FindAnswer(aEvent.m_request)) {
    std::string line = ToString(known->m_outcome);
    if (known->m_error) {
      line += ", " + known->m_error.message();
    }
    if (!known->m_detail.empty()) {
      line += ": " + known->m_detail;
    }
    if (!known->m_target.Empty()) {
      line += " (on " + known->m_target.Text() + ")";
    }
    answer.m_lines.push_back(std::move(line));
  }
  aContext.m_actions.emplace_back(std::move(answer));
}

void SchedulerState::On(CoreContext&, const CallerLeft& aEvent)
{
  m_intake.CallerLeft(aEvent.m_ticket);
}

void SchedulerState::On(CoreContext& aContext, const OperatorAsked& aEvent)
{
  m_operators.Handle(aContext, aEvent.m_ticket, aEvent.m_command);
}

void SchedulerState::On(CoreContext& aContext, const TableAnswered& aEvent)
{
  m_parts.m_table.HandleAnswer(aContext, aEvent.m_ticket, aEvent.m_answer);
}

void SchedulerState::On(CoreContext& aContext, const HostListAnswered& aEvent)
{
  m_fetchingHosts = false;
  if (!aEvent.m_reached || aEvent.m_unchanged) {
    return;
  }
  std::vector<TargetListing> own;
  std::copy_if(aEvent.m_targets.begin(),
               aEvent.m_targets.end(),
               std::back_inserter(own),
               [this](const TargetListing& aListing) {
                 return aListing.m_dataCentre == m_settings.m_dataCentre;
               });
  m_parts.m_fleet.Replace(own);
  std::vector<TargetId> names;
  names.reserve(own.size());
  for (const TargetListing& listing : own) {
    names.push_back(listing.m_id);
  }
  m_parts.m_health.SetTargets(names);
  m_parts.m_grants.HandleFleetChanged(aContext);
}

void SchedulerState::On(CoreContext& aContext, const StartAnswered& aEvent)
{
  if (aEvent.m_leaving) {
    if (FleetTarget* target = m_parts.m_fleet.Find(aEvent.m_target)) {
      target->m_leaving = true;
    }
  }
  m_parts.m_leases.HandleStartAnswered(aContext, aEvent);
}

void SchedulerState::On(CoreContext& aContext, const TaskEnded& aEvent)
{
  m_overruns.HandleEnded(aEvent.m_report);
  m_parts.m_leases.HandleTaskEnded(aContext, aEvent);
}

void SchedulerState::On(CoreContext& aContext, const TargetReported& aEvent)
{
  const TargetReport& report = aEvent.m_report;
  if (report.m_reached && report.m_leaving) {
    if (FleetTarget* target = m_parts.m_fleet.Find(report.m_target)) {
      target->m_leaving = true;
    }
  }
  m_overruns.HandleReport(aContext, report);
  m_parts.m_leases.HandleTargetReported(aContext, report);
  m_parts.m_grants.HandleTargetReported(aContext, report);
}

void SchedulerState::On(CoreContext& aContext, const AttemptAnswered& aEvent)
{
  m_parts.m_leases.HandleAttemptAnswered(aContext, aEvent);
}

void SchedulerState::On(CoreContext& aContext,
                        const PeerMessageReceived& aEvent)
{
  const proto::PeerMessage& message = *aEvent.m_message;
  m_parts.m_peers.HandleMessage(aContext, aEvent.m_from, message);
  switch (message.body_case()) {
    case proto::PeerMessage::kHeartbeat:
      m_parts.m_catalogue.HandlePeerVersion(
        aContext, aEvent.m_from, message.heartbeat().catalogue_version());
      return;
    case proto::PeerMessage::kForwardedRequest:
      m_intake.HandleForwarded(
        aContext, aEvent.m_from, message.forwarded_request());
      return;
    case proto::PeerMessage::kForwardedAnswer:
      m_intake.HandleForwardedAnswer(aContext, message.forwarded_answer());
      return;
    case proto::PeerMessage::kCatalogueOffer:
      m_parts.m_catalogue.HandlePeerVersion(
        aContext, aEvent.m_from, message.catalogue_offer().version());
      return;
    case proto::PeerMessage::kCatalogueRequest:
      m_parts.m_catalogue.HandleRequest(
        aContext, aEvent.m_from, message.catalogue_request().have_version());
      return;
    case proto::PeerMessage::kCatalogueTransfer:
      m_parts.m_catalogue.HandleTransfer(
        aContext, aEvent.m_from, message.catalogue_transfer());
      return;
    case proto::PeerMessage::kShareRequest:
      m_parts.m_grants.HandleShareRequest(
        aContext, aEvent.m_from, message.share_request());
      return;
    case proto::PeerMessage::kCancelNotice:
      m_tasks.Cancel(
        aContext, Asker(), RequestId(message.cancel_notice().id()));
      return;
    case proto::PeerMessage::BODY_NOT_SET:
      return;
  }
}

void SchedulerState::On(CoreContext&, const TimePassed&) {}

void SchedulerState::On(CoreContext& aContext, const StopRequested&)
{
  m_stop.Begin(aContext);
}

void SchedulerState::OnSessionOpened(CoreContext& aContext, std::uint64_t)
{
  m_parts.m_grants.HandleSessionChanged(aContext);
  m_parts.m_records.HandleSessionOpened(aContext);
}

void SchedulerState::OnSessionLost(CoreContext& aContext, std::uint64_t)
{
  m_parts.m_grants.HandleSessionChanged(aContext);
}

void SchedulerState::OnSessionEnded(CoreContext& aContext,
                                    const EntryId& aEntry,
                                    std::uint64_t aEpoch)
{
  m_parts.m_records.TakeOver(aContext, aEntry, aEpoch);
  m_parts.m_grants.HandlePeerSessionEnded(aContext);
}

void SchedulerState::OnCatalogue(CoreContext&,
                                 std::shared_ptr<const Catalogue> aCatalogue)
{
  m_parts.m_queue.SetCatalogue(std::move(aCatalogue));
}

} // namespace lycheestep
