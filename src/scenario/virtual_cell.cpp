#include "virtual_cell.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <utility>

#include "peer.pb.h"
#include "wire_bytes.h"

namespace lycheestep {

namespace {

constexpr Duration kBeginning = std::chrono::hours(1);
// From a decision to the moment at which a traffic thread sends it.
constexpr Duration kSendDelay = std::chrono::microseconds(50);
// Calls to the table and to targets are given up after this long.
constexpr Duration kCallTimeout = std::chrono::seconds(2);
// A wake-up that is due already comes after this long.
constexpr Duration kLeastSleep = std::chrono::microseconds(50);
// Whether hosts reach the platform is noted this often.
constexpr Duration kReachPeriod = std::chrono::milliseconds(200);
constexpr std::int64_t kNanosecondsPerTick = 1000000000 / CLOCKS_PER_SEC;
constexpr int kClockOffsetHours = 1000;

} // namespace

// A call that a host waits for. It is answered once, at the latest by its
// timeout.
struct VirtualCell::Call
{
  VirtualHost* m_host = nullptr;
  std::uint64_t m_incarnation = 0;
  TimePoint m_sent;
  bool m_answered = false;
};

// The process that waits for the end of an attempt.
struct VirtualCell::Subscriber
{
  VirtualHost* m_host = nullptr;
  std::uint64_t m_incarnation = 0;
  TimePoint m_sent;
  // The call that started it; its end counts as an answer to it.
  std::shared_ptr<Call> m_call;
};

VirtualCell::VirtualCell(CellLayout aLayout, std::ostream* aTrace)
  : m_layout(std::move(aLayout))
  , m_trace(aTrace)
  , m_timeline(Beginning())
  , m_network(m_layout.m_network, m_layout.m_seed * 3 + 1)
  , m_random(m_layout.m_seed * 3 + 2)
  , m_platform(m_timeline, m_layout.m_listLag)
  , m_work(*m_layout.m_catalogue, m_layout.m_seed)
  , m_callers(*this, *m_layout.m_catalogue, m_layout.m_askPeriod)
  , m_operators(*this)
{
  m_platform.Table().KeepHistoryOf("catalogue/");
  AddTargets();
  AddHosts();
  m_timeline.After(std::chrono::milliseconds(500), [this] {
    m_operators.ApplyFirst(m_layout.m_catalogue);
    m_operators.WatchVersions();
    SampleReach();
  });
}

void VirtualCell::SampleReach()
{
  const Place platform{ kPlatformName, DataCentreName() };
  const TableFaults& faults = m_platform.Faults();
  const bool platformWorks = !faults.m_down && !faults.m_loseReplies &&
                             faults.m_delay == Duration::zero();
  for (const auto& host : m_hosts) {
    const bool reached = platformWorks && host->IsRunning() &&
                         !m_network.IsCut(host->At(), platform);
    if (!reached) {
      m_unreached[host->Name()].push_back(m_timeline.Now());
    }
  }
  m_timeline.After(kReachPeriod, [this] { SampleReach(); });
}

VirtualCell::~VirtualCell() = default;

TimePoint VirtualCell::Beginning()
{
  return TimePoint(kBeginning);
}

void VirtualCell::AddHosts()
{
  for (SchedulerSettings settings : m_layout.m_hosts) {
    settings.m_peers.clear();
    for (const SchedulerSettings& other : m_layout.m_hosts) {
      if (other.m_entry != settings.m_entry) {
        settings.m_peers.push_back(
          { other.m_entry, other.m_dataCentre, other.m_peerAddress });
      }
    }
    settings.m_seed = m_random();
    HostClock clock;
    clock.m_offset = std::chrono::minutes(m_random() % 60) +
                     std::chrono::hours(m_random() % kClockOffsetHours);
    const int skew = m_layout.m_clockSkewPpm;
    clock.m_skewPpm =
      static_cast<int>(m_random() % static_cast<unsigned>(2 * skew + 1)) - skew;
    m_hosts.push_back(std::make_unique<VirtualHost>(settings, clock));
    VirtualHost& host = *m_hosts.back();
    m_hostByAddress.emplace(settings.m_peerAddress, &host);
    StartHost(host);
  }
}

void VirtualCell::AddTargets()
{
  for (const TargetListing& listing : m_layout.m_targets) {
    m_platform.ListNow(listing);
    m_targets.emplace(listing.m_id,
                      std::make_unique<TargetModel>(
                        listing, m_layout.m_usageLag, m_checkpoints));
  }
}

void VirtualCell::Trace(const std::string& aLine)
{
  if (m_trace == nullptr) {
    return;
  }
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(Elapsed()).count();
  const std::string fraction = std::to_string(1000000 + microseconds % 1000000);
  *m_trace << std::setw(6) << microseconds / 1000000 << '.'
           << fraction.substr(1) << "  " << aLine << '\n';
}

void VirtualCell::RunUntil(Duration aElapsed)
{
  m_timeline.RunUntil(Beginning() + aElapsed);
}

VirtualHost* VirtualCell::FindHost(const std::string& aName)
{
  for (auto& host : m_hosts) {
    if (host->Name().Text() == aName) {
      return host.get();
    }
  }
  return nullptr;
}

TargetModel* VirtualCell::FindTarget(const std::string& aName)
{
  auto found = m_targets.find(TargetId(aName));
  return found == m_targets.end() ? nullptr : found->second.get();
}

void VirtualCell::KillHost(VirtualHost& aHost)
{
  if (!aHost.IsAlive()) {
    return;
  }
  aHost.Kill();
  m_callers.HostGone(aHost);
}

void VirtualCell::StartHost(VirtualHost& aHost)
{
  // A new process has to learn everything anew.
  m_unreached[aHost.Name()].push_back(m_timeline.Now());
  KillHost(aHost);
  aHost.Start(m_timeline.Now());
  Handle(aHost, TimePassed{});
}

void VirtualCell::PauseHost(VirtualHost& aHost)
{
  if (aHost.IsAlive()) {
    aHost.Pause();
  }
}

void VirtualCell::ResumeHost(VirtualHost& aHost)
{
  if (!aHost.IsAlive() || !aHost.IsPaused()) {
    return;
  }
  aHost.Resume();
  // The traffic threads and the control thread wake in any order.
  const bool sendFirst = m_random() % 2 == 0;
  const ActionList outbox = std::exchange(aHost.Outbox(), {});
  const std::vector<Event> inbox = std::exchange(aHost.Inbox(), {});
  const auto sendAll = [this, &aHost, &outbox] {
    for (const Action& action : outbox) {
      Send(aHost, action);
    }
  };
  if (sendFirst) {
    sendAll();
  }
  const std::uint64_t incarnation = aHost.Incarnation();
  for (const Event& event : inbox) {
    Deliver(aHost, incarnation, event);
  }
  if (!sendFirst) {
    sendAll();
  }
  Deliver(aHost, incarnation, TimePassed{});
}

void VirtualCell::StopHost(VirtualHost& aHost)
{
  if (!aHost.IsAlive()) {
    return;
  }
  aHost.SetStopping();
  Deliver(aHost, aHost.Incarnation(), StopRequested{});
}

void VirtualCell::KillTarget(TargetModel& aTarget)
{
  if (aTarget.IsAlive()) {
    aTarget.Die(m_timeline.Now());
    m_platform.Unlist(aTarget.Listing().m_id);
  }
}

void VirtualCell::RestartTarget(TargetModel& aTarget)
{
  aTarget.Restart();
  m_platform.List(aTarget.Listing());
}

void VirtualCell::LeaveTarget(TargetModel& aTarget, bool aByOwnWord)
{
  aTarget.Leave(aByOwnWord, m_timeline.Now());
  m_platform.List(aTarget.Listing());
}

void VirtualCell::SendToHost(VirtualHost& aHost, Event aEvent)
{
  DeliverAt(m_timeline.Now() + m_network.CallerDelay(),
            aHost,
            aHost.Incarnation(),
            std::move(aEvent));
}

void VirtualCell::DeliverAt(TimePoint aWhen,
                            VirtualHost& aHost,
                            std::uint64_t aIncarnation,
                            Event aEvent)
{
  m_timeline.At(aWhen, [this, &aHost, aIncarnation, event = std::move(aEvent)] {
    Deliver(aHost, aIncarnation, event);
  });
}

void VirtualCell::Deliver(VirtualHost& aHost,
                          std::uint64_t aIncarnation,
                          const Event& aEvent)
{
  if (!aHost.IsAlive() || aHost.Incarnation() != aIncarnation) {
    return;
  }
  if (aHost.IsPaused()) {
    aHost.Inbox().push_back(aEvent);
    return;
  }
  Handle(aHost, aEvent);
}

void VirtualCell::Handle(VirtualHost& aHost, const Event& aEvent)
{
  ++aHost.Traffic().m_events;
  ActionList actions;
  const TimePoint local = aHost.ClockOf().Local(m_timeline.Now());
  const std::clock_t begun = m_layout.m_countBytes ? std::clock() : 0;
  aHost.Core().Handle(aEvent, local, actions);
  if (m_layout.m_countBytes) {
    aHost.Traffic().m_processorTime +=
      std::chrono::nanoseconds((std::clock() - begun) * kNanosecondsPerTick);
  }
  const std::uint64_t incarnation = aHost.Incarnation();
  for (Action& action : actions) {
    m_timeline.After(
      kSendDelay, [this, &aHost, incarnation, sent = std::move(action)] {
        if (!aHost.IsAlive() || aHost.Incarnation() != incarnation) {
          return;
        }
        if (aHost.IsPaused()) {
          aHost.Outbox().push_back(sent);
          return;
        }
        Send(aHost, sent);
      });
  }
  ArmWakeup(aHost);
}

void VirtualCell::ArmWakeup(VirtualHost& aHost)
{
  const std::uint64_t number = ++aHost.WakeupNumber();
  const TimePoint due = aHost.ClockOf().Cell(aHost.Core().NextWakeup());
  if (due == TimePoint::max()) {
    return;
  }
  const TimePoint earliest = m_timeline.Now() + kLeastSleep;
  m_timeline.At(std::max(due, earliest), [this, &aHost, number] {
    if (aHost.IsRunning() && aHost.WakeupNumber() == number) {
      Handle(aHost, TimePassed{});
    }
  });
}

void VirtualCell::Send(VirtualHost& aHost, const Action& aAction)
{
  std::visit([this, &aHost](const auto& aOne) { Perform(aHost, aOne); },
             aAction);
}

void VirtualCell::Perform(VirtualHost& aHost, const AnswerCaller& aAction)
{
  m_callers.Answered(aHost, aAction);
}

void VirtualCell::Perform(VirtualHost& /*aHost*/,
                          const AnswerExplain& /*aAction*/)
{
}

void VirtualCell::Perform(VirtualHost& aHost, const AnswerOperator& aAction)
{
  m_operators.Answered(aHost, aAction);
}

void VirtualCell::Perform(VirtualHost& aHost, const TransactTable& aAction)
{
  const TableTransaction& transaction = aAction.m_transaction;
  if (m_layout.m_countBytes) {
    aHost.Traffic().m_tableBytes += QuestionBytes(transaction);
  }
  CallTable(aHost, aAction.m_ticket, true, [this, transaction] {
    return m_platform.Table().Transact(transaction, m_timeline.Now());
  });
}

void VirtualCell::Perform(VirtualHost& aHost, const ReadTable& aAction)
{
  const TableQuery& query = aAction.m_query;
  if (m_layout.m_countBytes) {
    aHost.Traffic().m_tableBytes += QuestionBytes(query);
  }
  CallTable(aHost, aAction.m_ticket, false, [this, query] {
    return m_platform.Table().Read(query);
  });
}

void VirtualCell::CallTable(VirtualHost& aHost,
                            TableTicket aTicket,
                            bool aWrite,
                            std::function<TableAnswer()> aEffect)
{
  ++aHost.Traffic().m_tableCalls;
  const auto answerWith = [aTicket](TableStatus aStatus) {
    TableAnswered answered;
    answered.m_ticket = aTicket;
    answered.m_answer.m_status = aStatus;
    return answered;
  };
  const auto call = OpenCall(aHost, answerWith(TableStatus::kUnknown));
  const Place platform{ kPlatformName, DataCentreName() };
  const auto there = m_network.Delay(aHost.At(), platform);
  if (!there || m_platform.Faults().m_down) {
    // The connection fails, or it hangs until the timeout.
    if (m_random() % 2 == 0) {
      Answer(call, answerWith(TableStatus::kNotSent));
    }
    return;
  }
  m_timeline.After(*there, [=, &aHost, effect = std::move(aEffect)] {
    const TimePoint turn =
      aWrite ? m_platform.TakeWriteTurn() : m_platform.TakeReadTurn();
    m_timeline.At(turn, [=, &aHost] {
      if (m_platform.Faults().m_down) {
        return;
      }
      TableAnswered answered;
      answered.m_ticket = aTicket;
      answered.m_answer = effect();
      if (m_layout.m_countBytes) {
        aHost.Traffic().m_tableBytes += AnswerBytes(answered.m_answer);
      }
      if (!m_platform.Faults().m_loseReplies) {
        AnswerAfter(call, platform, std::move(answered));
      }
    });
  });
}

void VirtualCell::Perform(VirtualHost& aHost, const FetchHostList& /*aAction*/)
{
  ++aHost.Traffic().m_hostLists;
  const auto call = OpenCall(aHost, HostListAnswered{});
  const Place platform{ kPlatformName, DataCentreName() };
  const auto there = m_network.Delay(aHost.At(), platform);
  if (!there || m_platform.Faults().m_down) {
    return;
  }
  m_timeline.After(*there + m_platform.Faults().m_delay, [=, &aHost] {
    HostListAnswered answered;
    answered.m_reached = true;
    answered.m_targets = m_platform.HostList();
    if (m_layout.m_countBytes) {
      aHost.Traffic().m_hostListBytes += HostListBytes(answered.m_targets);
    }
    if (!m_platform.Faults().m_loseReplies) {
      AnswerAfter(call, platform, std::move(answered));
    }
  });
}

void VirtualCell::Perform(VirtualHost& aHost, const StartTask& aAction)
{
  ++aHost.Traffic().m_taskCalls;
  if (m_layout.m_countBytes) {
    aHost.Traffic().m_taskBytes += QuestionBytes(aAction.m_start);
  }
  StartAnswered answered;
  answered.m_target = aAction.m_target;
  answered.m_attempt = aAction.m_start.m_attempt;
  answered.m_status = StartStatus::kLost;
  answered.m_latency = kCallTimeout;
  const auto call = OpenCall(aHost, answered);
  TargetModel* target = FindTarget(aAction.m_target.Text());
  answered.m_status = StartStatus::kNotSent;
  answered.m_latency = Duration::zero();
  if (target == nullptr ||
      aHost.ClockOf().Local(m_timeline.Now()) > aAction.m_notAfter) {
    Answer(call, answered);
    return;
  }
  m_starters[aAction.m_start.m_attempt] = aHost.Name();
  const auto there = m_network.Delay(aHost.At(), PlaceOf(*target));
  if (!there || !target->IsAlive()) {
    // No connection, or one that was open already and hangs.
    if (m_random() % 2 == 0) {
      Answer(call, answered);
    }
    return;
  }
  m_timeline.After(*there, [=, start = aAction.m_start] {
    if (!target->IsAlive()) {
      return;
    }
    const StartReply reply =
      target->Start(start, m_work.BehaviourOf(start), m_timeline.Now());
    StartAnswered told = answered;
    told.m_status = reply.m_status;
    told.m_detail = reply.m_detail;
    told.m_leaving = reply.m_leaving;
    told.m_latency = m_timeline.Now() + *there - call->m_sent;
    if (reply.m_status == StartStatus::kStarted && start.m_waitForEnd) {
      m_subscribers[start.m_attempt] = {
        call->m_host, call->m_incarnation, call->m_sent, call
      };
    }
    AnswerAfter(call, PlaceOf(*target), told);
    ArmTarget(*target);
  });
}

void VirtualCell::Perform(VirtualHost& aHost, const RenewLeases& aAction)
{
  ++aHost.Traffic().m_renewals;
  if (m_layout.m_countBytes) {
    aHost.Traffic().m_renewalBytes += QuestionBytes(aAction.m_renewal);
  }
  aHost.Traffic().m_renewedLeases += aAction.m_renewal.m_renew.size();
  TargetReported lost;
  lost.m_report.m_target = aAction.m_target;
  lost.m_report.m_latency = kCallTimeout;
  const auto call = OpenCall(aHost, lost);
  TargetModel* target = FindTarget(aAction.m_target.Text());
  const bool late =
    aHost.ClockOf().Local(m_timeline.Now()) > aAction.m_notAfter;
  if (target == nullptr || late) {
    Answer(call, lost);
    return;
  }
  const auto there = m_network.Delay(aHost.At(), PlaceOf(*target));
  if (!there || !target->IsAlive()) {
    return;
  }
  m_timeline.After(*there, [=, &aHost, renewal = aAction.m_renewal] {
    if (!target->IsAlive()) {
      return;
    }
    TargetReported reported;
    reported.m_report = target->Renew(renewal, m_timeline.Now());
    if (m_layout.m_countBytes) {
      aHost.Traffic().m_renewalBytes += AnswerBytes(reported.m_report);
    }
    reported.m_report.m_latency = m_timeline.Now() + *there - call->m_sent;
    AnswerAfter(call, PlaceOf(*target), std::move(reported));
    ArmTarget(*target);
  });
}

void VirtualCell::Perform(VirtualHost& aHost, const ControlTask& aAction)
{
  ++aHost.Traffic().m_taskCalls;
  TargetModel* target = FindTarget(aAction.m_target.Text());
  if (target == nullptr) {
    return;
  }
  const auto there = m_network.Delay(aHost.At(), PlaceOf(*target));
  if (!there) {
    return;
  }
  m_timeline.After(*there, [this, target, aAction] {
    if (target->IsAlive()) {
      target->Control(aAction.m_attempt, aAction.m_control, m_timeline.Now());
      ArmTarget(*target);
    }
  });
}

void VirtualCell::Perform(VirtualHost& aHost, const QueryAttempt& aAction)
{
  ++aHost.Traffic().m_taskCalls;
  AttemptAnswered lost;
  lost.m_target = aAction.m_target;
  lost.m_report.m_attempt = aAction.m_attempt;
  const auto call = OpenCall(aHost, lost);
  TargetModel* target = FindTarget(aAction.m_target.Text());
  if (target == nullptr) {
    Answer(call, lost);
    return;
  }
  const auto there = m_network.Delay(aHost.At(), PlaceOf(*target));
  if (!there || !target->IsAlive()) {
    return;
  }
  m_timeline.After(*there, [=, attempt = aAction.m_attempt] {
    if (!target->IsAlive()) {
      return;
    }
    AttemptAnswered answered = lost;
    answered.m_reached = true;
    answered.m_report = target->Query(attempt, m_timeline.Now());
    AnswerAfter(call, PlaceOf(*target), std::move(answered));
  });
}

void VirtualCell::Perform(VirtualHost& aHost, const SendPeerMessage& aAction)
{
  const std::uint64_t bytes = aAction.m_message->ByteSizeLong();
  ++aHost.Traffic().m_peerMessagesOut;
  aHost.Traffic().m_peerBytesOut += bytes;
  auto found = m_hostByAddress.find(aAction.m_address);
  if (found == m_hostByAddress.end()) {
    return;
  }
  VirtualHost& to = *found->second;
  const auto there = m_network.Delay(aHost.At(), to.At());
  if (!there || !to.IsAlive()) {
    return;
  }
  ++to.Traffic().m_peerMessagesIn;
  to.Traffic().m_peerBytesIn += bytes;
  DeliverAt(m_timeline.Now() + *there,
            to,
            to.Incarnation(),
            PeerMessageReceived{ aHost.Name(), aAction.m_message });
}

void VirtualCell::Perform(VirtualHost& aHost, const LogDecision& aAction)
{
  static constexpr const char* kNames[] = { "admitted",  "refused", "placed",
                                            "forwarded", "retried", "finished",
                                            "stopped" };
  std::string line = Name(aHost) + kNames[static_cast<int>(aAction.m_decision)];
  line += " " + aAction.m_request.Text();
  if (!aAction.m_target.Empty()) {
    line += " on " + aAction.m_target.Text();
  }
  Trace(line + ": " + aAction.m_why);
}

void VirtualCell::Perform(VirtualHost& aHost, const LogNote& aAction)
{
  Trace(Name(aHost) + aAction.m_part + ": " + aAction.m_text);
}

void VirtualCell::Perform(VirtualHost& aHost, const StopCompleted& /*aAction*/)
{
  const std::size_t open = m_callers.OpenCallsAt(aHost);
  if (open > 0) {
    m_cutByStops.push_back(aHost.Name().Text() + " stopped with " +
                           std::to_string(open) + " calls unanswered");
  }
  Trace(Name(aHost) + "stop completed");
  KillHost(aHost);
}

std::shared_ptr<VirtualCell::Call> VirtualCell::OpenCall(VirtualHost& aHost,
                                                         Event aTimeoutEvent)
{
  auto call = std::make_shared<Call>();
  call->m_host = &aHost;
  call->m_incarnation = aHost.Incarnation();
  call->m_sent = m_timeline.Now();
  m_timeline.After(
    kCallTimeout,
    [this, call, event = std::move(aTimeoutEvent)] { Answer(call, event); });
  return call;
}

void VirtualCell::Answer(const std::shared_ptr<Call>& aCall,
                         const Event& aEvent)
{
  if (aCall->m_answered) {
    return;
  }
  aCall->m_answered = true;
  Deliver(*aCall->m_host, aCall->m_incarnation, aEvent);
}

void VirtualCell::AnswerAfter(const std::shared_ptr<Call>& aCall,
                              const Place& aFrom,
                              Event aEvent)
{
  const auto back = m_network.Delay(aFrom, aCall->m_host->At());
  if (!back) {
    return;
  }
  m_timeline.After(
    *back, [this, aCall, event = std::move(aEvent)] { Answer(aCall, event); });
}

void VirtualCell::ArmTarget(TargetModel& aTarget)
{
  const TimePoint next = aTarget.NextEnd();
  const TargetId& id = aTarget.Listing().m_id;
  auto armed = m_armed.find(id);
  if (next == TimePoint::max() ||
      (armed != m_armed.end() && armed->second <= next)) {
    return;
  }
  m_armed[id] = next;
  m_timeline.At(next, [this, &aTarget, next] {
    auto current = m_armed.find(aTarget.Listing().m_id);
    if (current == m_armed.end() || current->second != next) {
      return;
    }
    m_armed.erase(current);
    PushEnds(aTarget);
    ArmTarget(aTarget);
  });
}

void VirtualCell::PushEnds(TargetModel& aTarget)
{
  for (TaskReport& report : aTarget.Advance(m_timeline.Now())) {
    auto found = m_subscribers.find(report.m_attempt);
    if (found == m_subscribers.end()) {
      continue;
    }
    const Subscriber subscriber = found->second;
    m_subscribers.erase(found);
    const auto back =
      m_network.Delay(PlaceOf(aTarget), subscriber.m_host->At());
    if (!back) {
      continue;
    }
    const TimePoint arrival = m_timeline.Now() + *back;
    if (m_layout.m_countBytes) {
      subscriber.m_host->Traffic().m_taskBytes += AnswerBytes(report);
    }
    TaskEnded ended;
    ended.m_target = aTarget.Listing().m_id;
    ended.m_report = std::move(report);
    ended.m_latency = arrival - subscriber.m_sent;
    m_timeline.At(arrival, [this, subscriber, event = std::move(ended)] {
      subscriber.m_call->m_answered = true;
      Deliver(*subscriber.m_host, subscriber.m_incarnation, event);
    });
  }
}

Place VirtualCell::PlaceOf(const TargetModel& aTarget)
{
  return { aTarget.Listing().m_id.Text(), aTarget.Listing().m_dataCentre };
}

std::string VirtualCell::Name(const VirtualHost& aHost) const
{
  return aHost.Name().Text() + "  ";
}

} // namespace lycheestep
