#include "leader.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "advice_worker.h"
#include "boot_clock.h"
#include "commit_writer.h"
#include "config_holder.h"
#include "event_log.h"
#include "jobs.pb.h"
#include "lycheestep/job_host_settings.h"
#include "lycheestep/platform_documents.h"
#include "order_messages.h"
#include "peer_messenger.h"
#include "relayed_store.h"

namespace lycheestep {

namespace {

// Time between heartbeats to all hosts.
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(250);

// No heartbeats are sent, and the lead is not handed over, if the last renewal
// is older than this.
constexpr Duration kMaxRenewalAge = std::chrono::milliseconds(1500);

// Time between counts of the waiting jobs.
constexpr Duration kPendingCountPeriod = std::chrono::milliseconds(150);

// The row of a host that has not replied to heartbeats for this long is
// removed.
constexpr Duration kHostRemovalTimeout = std::chrono::minutes(2);

// Longest time between two calls of Tick, while the scheduler is busy and while
// it is idle.
constexpr Duration kBusyWait = std::chrono::milliseconds(4);
constexpr Duration kIdleWait = std::chrono::milliseconds(25);

// The bits of a carried order's id above the lowest kOrderIdBits contain the
// term, so that orders of different terms never share an id.
constexpr int kOrderIdBits = 40;

// Changes of the host and target tables, or of cancellations, that come within
// this time after others are read in one call. Targets write often, mostly as a
// heartbeat, and a cancellation may take seconds to take effect.
constexpr Duration kListBatchDelay = std::chrono::milliseconds(150);
constexpr Duration kCancelBatchDelay = std::chrono::milliseconds(50);

// A feed call for cancellations is held so long by the store. A run has to end
// 3.9 s after its job's cancellation, also if two calls get no answer.
constexpr Duration kCancelFeedWait = std::chrono::milliseconds(400);

// A feed call for the list of targets is held so long by the store. Targets
// write often, so that it seldom waits.
constexpr Duration kTargetFeedWait = std::chrono::milliseconds(400);

// Number of hosts that each heartbeat lists as relays for calls to the store.
constexpr int kMaxRelaysInHeartbeat = 5;

// Number of hosts that each heartbeat lists as successors.
constexpr std::size_t kMaxSuccessors = 5;

std::vector<std::string> JobPartitions()
{
  std::vector<std::string> partitions;
  for (std::size_t i = 0; i < kJobPartitionCount; ++i) {
    partitions.push_back(JobPartitionName(i));
  }
  return partitions;
}

} // namespace

Leader::Leader(const LeaderDependencies& aDependencies,
               const JobSchedulerSettings& aScheduler,
               std::uint64_t aTerm,
               TimePoint aFormerLeaseExpiry,
               TimePoint aNow)
  : m_dependencies(aDependencies)
  , m_scheduler(aScheduler, *this)
  , m_adviceDispatcher(
      [this](const std::string& aHost,
             const AdviceRequest& aRequest,
             Duration aTimeout) { SendAdvice(aHost, aRequest, aTimeout); },
      [this](const AdviceAnswer& aAnswer) {
        m_scheduler.OnAdvice(aAnswer, m_now);
      })
  , m_orderDispatcher(
      [this](const std::string& aHost, proto::CarriedOrders aOrders) {
        SendCarriedOrders(aHost, std::move(aOrders));
      },
      MakeAnswerHandlers([](const std::function<void()>& aTask) { aTask(); }),
      aTerm << kOrderIdBits)
  , m_now(aNow)
  , m_leadingSince(aNow)
{
  m_scheduler.Targets().SetFormerLeaseExpiry(aFormerLeaseExpiry);
  OnConfig();
  StartWatches();
}

Leader::~Leader() = default;

void Leader::SetTime(TimePoint aNow, WallTime aWallNow)
{
  m_now = aNow;
  m_wallNow = aWallNow;
  m_scheduler.SetTime(aNow, aWallNow);
}

void Leader::OnConfig()
{
  const auto config = m_dependencies.m_config.Get();
  if (config) {
    m_scheduler.SetConfig(*config);
    std::set<ServiceName> services;
    for (const ServiceConfig& service : config->m_services) {
      services.insert(service.m_name);
    }
    ApplyTargets(m_targets.SetServices(std::move(services)));
  }
}

void Leader::OnCommitted(std::uint64_t aVersion, Duration aStoreClock)
{
  CheckFeeds();
  m_scheduler.OnCommitted(aVersion, aStoreClock, m_now);
}

void Leader::OnCommitRejected()
{
  m_scheduler.OnCommitRejected(m_now);
}

void Leader::OnAdvice(const AdviceAnswer& aAnswer)
{
  m_adviceDispatcher.OnAnswer(aAnswer, m_now);
}

void Leader::OnCarriedAnswers(const std::string& aHost,
                              const proto::CarriedAnswers& aAnswers)
{
  m_orderDispatcher.OnAnswers(aHost, aAnswers, m_now);
}

void Leader::OnHostAlive(const std::string& aHost,
                         Duration aClock,
                         bool aReachesStore,
                         bool aCanCarry)
{
  m_orderDispatcher.OnCarrierAlive(aHost, aClock, aCanCarry, m_now);
  const auto host = m_hosts.find(aHost);
  if (host != m_hosts.end()) {
    host->second.m_lastSeen = m_now;
    host->second.m_answeredHeartbeat = true;
    std::optional<TimePoint>& since = host->second.m_reachesStoreSince;
    since = aReachesStore ? since.value_or(m_now) : std::optional<TimePoint>();
  }
}

void Leader::Tick()
{
  const bool valid = m_now < m_dependencies.m_writer.OrdersValidUntil();
  if (valid == m_suspended) {
    m_suspended = !valid;
    LogUnlimited(valid ? "leading-resumed" : "leading-suspended",
                 "reason=renewal renewed_ago_ms=" +
                   std::to_string(ToMilliseconds(RenewalAge())));
  }
  if (m_heartbeatDue <= m_now) {
    m_heartbeatDue = m_now + kHeartbeatPeriod;
    SendHeartbeats();
    DropDeadHosts();
  }
  m_adviceDispatcher.Tick(m_now);
  m_orderDispatcher.Tick(m_now);
  if (m_loaded && m_pendingCountDue <= m_now) {
    m_pendingCountDue = m_now + kPendingCountPeriod;
    m_dependencies.m_writer.SetPending(m_scheduler.Pending());
  }
  ReportStateIfDue();
  if (valid && CanSendOrders()) {
    CheckFeeds();
    m_scheduler.Tick(m_now);
  }
  m_orderDispatcher.Flush(m_dependencies.m_writer.OrdersValidUntil(),
                          StartsValidUntil());
  m_closedConnections.erase(std::remove_if(m_closedConnections.begin(),
                                           m_closedConnections.end(),
                                           [](const auto& aConnection) {
                                             return aConnection->IsFinished();
                                           }),
                            m_closedConnections.end());
}

Duration Leader::MaxWait() const
{
  return m_scheduler.IsBusy() ? kBusyWait : kIdleWait;
}

void Leader::StartWatches()
{
  const std::vector<std::string> unpartitioned = { "" };
  const std::vector<std::string> jobPartitions = JobPartitions();
  m_watches.push_back(Watch(kProgressTable,
                            unpartitioned,
                            TableWatch::Pace(),
                            &Leader::OnProgressRows));
  m_progressWatch = m_watches.back().get();
  m_watches.push_back(Watch(kTargetAddressTable,
                            unpartitioned,
                            TableWatch::Pace(),
                            &Leader::OnAddressRows));
  m_addressWatch = m_watches.back().get();
  m_watches.push_back(
    Watch(kJobTable, jobPartitions, TableWatch::Pace(), &Leader::OnJobRows));
  m_watches.push_back(Watch(kCancelTable,
                            jobPartitions,
                            { kCancelBatchDelay, kCancelFeedWait },
                            &Leader::OnCancelRows,
                            &Leader::OnCancelsCurrent));
  m_watches.push_back(Watch(m_dependencies.m_documents.TargetTable(),
                            unpartitioned,
                            { kListBatchDelay, kTargetFeedWait },
                            &Leader::OnTargetRows,
                            &Leader::OnTargetsCurrent));
  m_watches.push_back(Watch(kHostTable,
                            unpartitioned,
                            { kListBatchDelay, TableWatch::Pace().m_feedWait },
                            &Leader::OnHostRows));
}

std::unique_ptr<TableWatch> Leader::Watch(
  const std::string& aTable,
  const std::vector<std::string>& aPartitions,
  TableWatch::Pace aPace,
  void (Leader::*aOnRows)(const std::vector<Row>&),
  void (Leader::*aOnCurrent)(TimePoint))
{
  const auto post = m_dependencies.m_post;
  return std::make_unique<TableWatch>(
    aTable,
    aPartitions,
    aPace,
    m_dependencies.m_store,
    m_dependencies.m_log,
    [this, post, aOnRows](std::vector<Row> aRows) {
      post(
        [this, aOnRows, rows = std::move(aRows)] { (this->*aOnRows)(rows); });
    },
    [this, post, aOnCurrent](TimePoint aAsOf) {
      if (aOnCurrent != nullptr) {
        post([this, aOnCurrent, aAsOf] { (this->*aOnCurrent)(aAsOf); });
      }
    });
}

void Leader::SendHeartbeats()
{
  const Duration renewedAgo = RenewalAge();
  if (renewedAgo > kMaxRenewalAge) {
    return;
  }
  proto::JobPeerMessage message;
  proto::LeaderHeartbeat* heartbeat = message.mutable_leader_heartbeat();
  heartbeat->set_renewed_ago_ms(ToMilliseconds(renewedAgo));
  heartbeat->set_config_version(m_dependencies.m_config.Version());
  for (const std::string& host : Successors()) {
    heartbeat->add_successor(host);
  }
  std::vector<std::string> live;
  for (const auto& [name, host] : m_hosts) {
    if (host.IsLive(m_now)) {
      live.push_back(name);
    }
  }
  std::vector<std::string> relays = Relays();
  for (const std::string& relay : relays) {
    if (heartbeat->relay_address_size() < kMaxRelaysInHeartbeat) {
      heartbeat->add_relay_address(relay);
    }
  }
  for (const auto& [name, host] : m_hosts) {
    m_dependencies.m_peers.Send(host.m_address, message);
  }
  m_dependencies.m_store.SetRelays(std::move(relays));
  m_adviceDispatcher.SetHosts(live);
  std::vector<CarrierHost> carriers;
  for (const auto& [name, host] : m_hosts) {
    carriers.push_back(
      CarrierHost{ name, host.m_dataCentre, host.m_processorShare });
  }
  m_orderDispatcher.SetHosts(carriers);
}

void Leader::DropDeadHosts()
{
  for (auto it = m_hosts.begin(); it != m_hosts.end();) {
    if (m_now - it->second.m_lastSeen < kHostRemovalTimeout) {
      ++it;
      continue;
    }
    Log("host-row-removed", "peer=" + it->first);
    m_scheduler.RemoveRow(HostKey(it->first));
    it = m_hosts.erase(it);
  }
}

std::vector<std::string> Leader::Successors() const
{
  std::vector<std::string> successors = RankSuccessors(m_hosts, m_now);
  successors.resize(std::min(successors.size(), kMaxSuccessors));
  return successors;
}

std::vector<std::string> Leader::Relays() const
{
  std::vector<std::string> relays;
  std::vector<std::string> others;
  for (const auto& [name, host] : m_hosts) {
    if (host.IsLive(m_now)) {
      (host.m_reachesStoreSince ? relays : others).push_back(host.m_address);
    }
  }
  relays.insert(relays.end(), others.begin(), others.end());
  return relays;
}

bool Leader::IsBetterLedByAnother() const
{
  return RenewalAge() <= kMaxRenewalAge &&
         ShouldHandOver(m_hosts,
                        m_dependencies.m_settings.m_processorShare,
                        m_leadingSince,
                        m_now);
}

Duration Leader::RenewalAge() const
{
  const TimePoint renewed = m_dependencies.m_writer.OrdersValidUntil() -
                            m_dependencies.m_writer.OrderValidity();
  return m_now - renewed;
}

void Leader::AnnounceRelease()
{
  proto::JobPeerMessage message;
  proto::LeaderHeartbeat* heartbeat = message.mutable_leader_heartbeat();
  heartbeat->set_released(true);
  for (const std::string& host : Successors()) {
    heartbeat->add_successor(host);
  }
  for (const auto& [name, host] : m_hosts) {
    m_dependencies.m_peers.Send(host.m_address, message);
  }
}

void Leader::Retire()
{
  for (const auto& watch : m_watches) {
    watch->Stop();
  }
  for (const auto& [id, connection] : m_directConnections) {
    connection->Close();
  }
}

bool Leader::IsFinished() const
{
  const auto isFinished = [](const auto& aConnection) {
    return aConnection->IsFinished();
  };
  return std::all_of(m_watches.begin(),
                     m_watches.end(),
                     [](const auto& aWatch) { return aWatch->IsFinished(); }) &&
         std::all_of(m_closedConnections.begin(),
                     m_closedConnections.end(),
                     isFinished) &&
         std::all_of(
           m_directConnections.begin(),
           m_directConnections.end(),
           [&](const auto& aEntry) { return isFinished(aEntry.second); });
}

void Leader::Commit(std::vector<RowWrite> aWrites,
                    std::vector<RowKey> aRemovals)
{
  m_dependencies.m_writer.SetSuccession(m_scheduler.HasSegmentedJobs()
                                          ? LeaderSuccession::kThisRelease
                                          : LeaderSuccession::kAnyRelease);
  m_dependencies.m_writer.Commit(std::move(aWrites), std::move(aRemovals));
}

bool Leader::CanAsk() const
{
  return m_adviceDispatcher.CanAsk(m_now);
}

AdvisorUse Leader::GetAdvisorUse() const
{
  return m_adviceDispatcher.Use(m_now);
}

void Leader::Ask(const AdviceRequest& aRequest, Duration aServiceTime)
{
  m_adviceDispatcher.Ask(aRequest, aServiceTime, m_now);
}

void Leader::SendAdvice(const std::string& aHost,
                        const AdviceRequest& aRequest,
                        Duration aTimeout)
{
  const auto host = m_hosts.find(aHost);
  if (aHost.empty() || host == m_hosts.end()) {
    const auto post = m_dependencies.m_post;
    m_dependencies.m_advice.Ask(
      aRequest, aTimeout, [this, post](const AdviceAnswer& aAnswer) {
        post([this, aAnswer] { OnAdvice(aAnswer); });
      });
    return;
  }
  Log("advice-sent",
      "peer=" + aHost + " call=" + std::to_string(aRequest.m_ticket));
  proto::JobPeerMessage message;
  proto::AdviceCall* call = message.mutable_advice_call();
  call->set_ticket(aRequest.m_ticket);
  EncodeStepName(aRequest.m_step, *call->mutable_step());
  for (const TargetId& target : aRequest.m_targets) {
    call->add_target(target.Text());
  }
  call->set_timeout_ms(ToMilliseconds(aTimeout));
  m_dependencies.m_peers.Send(host->second.m_address, std::move(message));
}

void Leader::Log(const std::string& aEvent, const std::string& aFields)
{
  m_dependencies.m_log.Write(aEvent, aFields);
}

void Leader::LogNotable(const std::string& aEvent, const std::string& aFields)
{
  m_dependencies.m_log.WriteNotable(aEvent, aFields);
}

void Leader::LogUnlimited(const std::string& aEvent, const std::string& aFields)
{
  m_dependencies.m_log.WriteUnlimited(aEvent, aFields);
}

} // namespace lycheestep
