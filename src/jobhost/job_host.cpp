#include "job_host.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <random>
#include <utility>

#include "boot_clock.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "leader_row.h"
#include "peer_probe.h"

namespace lycheestep {

namespace {

// A host first reads the leader row at most this long after its start or
// after it stepped down.
constexpr Duration kMaxElectionDelay = std::chrono::milliseconds(300);

// Timeout of a read of the leader row.
constexpr Duration kCallTimeout = std::chrono::milliseconds(600);

// Timeout of the check whether a silent leader's process has ended.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(60);

// The iterations of a leader's control loop start at least this far apart.
constexpr Duration kMinTurnInterval = std::chrono::milliseconds(3);

// The control thread of a host that does not lead wakes at least this often.
constexpr Duration kMaxIdleWait = std::chrono::milliseconds(100);

// A host that has not reached the store for this long cannot serve callers.
constexpr Duration kStoreContactLimit = std::chrono::milliseconds(3500);

// Number of calls to the store that are made for other hosts at the same time.
constexpr std::size_t kRelayThreads = 16;

// Number of rows that a host reads at the same time after notices of others.
constexpr std::size_t kRowReadThreads = 4;

// A leader that stops waits at most this long for its last write.
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(1200);

// Returns the longest time by this host's clock that a lease of aLease by a
// target's clock can last.
Duration WithClockMargin(Duration aLease)
{
  return aLease + aLease / 40 + std::chrono::milliseconds(200);
}

JobSchedulerSettings SchedulerSettingsOf(const JobHostSettings& aSettings)
{
  JobSchedulerSettings settings;
  settings.m_targets.m_lease = std::min(kLeaderLease, aSettings.m_longestLease);
  settings.m_targets.m_longestLease = WithClockMargin(aSettings.m_longestLease);
  settings.m_valueBytes = MaxValueBytes(aSettings.m_storeRowBytes);
  settings.m_retention = aSettings.m_jobRetention;
  return settings;
}

JobRequestSettings RequestSettingsOf(const JobHostSettings& aSettings)
{
  JobRequestSettings settings;
  settings.m_maxValueBytes = MaxValueBytes(aSettings.m_storeRowBytes);
  return settings;
}

LeaderIdentity IdentityOf(const JobHostSettings& aSettings,
                          std::uint64_t aIncarnation)
{
  LeaderIdentity identity;
  identity.m_host = aSettings.m_host;
  identity.m_incarnation = aIncarnation;
  identity.m_lease = std::min(kLeaderLease, aSettings.m_longestLease);
  identity.m_validity = kLeaderValidity;
  identity.m_valueBytes = MaxValueBytes(aSettings.m_storeRowBytes);
  return identity;
}

std::string EncodeHostRow(const JobHostSettings& aSettings,
                          std::uint64_t aIncarnation)
{
  proto::HostRow row;
  row.set_peer_address(aSettings.m_peers.Text());
  row.set_data_centre(aSettings.m_dataCentre);
  row.set_processor_share(aSettings.m_processorShare);
  row.set_incarnation(aIncarnation);
  return row.SerializeAsString();
}

std::uint64_t NewIncarnation()
{
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

} // namespace

JobHost::JobHost(const JobHostSettings& aSettings,
                 const HostDependencies& aDependencies)
  : m_settings(aSettings)
  , m_dependencies(aDependencies)
  , m_incarnation(NewIncarnation())
  , m_log(aSettings.m_host, m_metrics)
  , m_store(
      aDependencies.m_store,
      m_log,
      [this](const std::string& aAddress, proto::JobPeerMessage aMessage) {
        m_peers.Send(aAddress, std::move(aMessage));
      })
  , m_requestHandler(m_store,
                     m_log,
                     m_metrics,
                     RequestSettingsOf(aSettings),
                     [this](const JobId& aJob) { OnCancellationStored(aJob); })
  , m_advice(aDependencies.m_advisor, m_metrics)
  , m_storeRelayPool("relay", kRelayThreads)
  , m_rowReads("row-read", kRowReadThreads)
  , m_carrier(
      aDependencies.m_orders,
      m_log,
      m_metrics,
      [this](const std::string& aAddress, proto::JobPeerMessage aMessage) {
        m_peers.Send(aAddress, std::move(aMessage));
      })
  , m_peers(aSettings.m_host,
            m_incarnation,
            aSettings.m_peers.Text(),
            aSettings.m_peerKey,
            m_log,
            [this](const proto::JobPeerMessage& aMessage) {
              OnPeerMessage(aMessage);
            })
  , m_writer(
      IdentityOf(aSettings, m_incarnation),
      m_store,
      m_log,
      m_metrics,
      [this](std::uint64_t aTerm,
             std::uint64_t aVersion,
             Duration aStoreClock) {
        AddForTerm(aTerm, [this, aVersion, aStoreClock] {
          m_leader->OnCommitted(aVersion, aStoreClock);
        });
      },
      [this](std::uint64_t aTerm) {
        AddForTerm(aTerm, [this] { StepDown("another host leads"); });
      },
      [this](std::uint64_t aTerm) {
        AddForTerm(aTerm, [this] { m_leader->OnCommitRejected(); });
      })
  , m_election(aSettings.m_host, m_incarnation)
  , m_registration(aSettings.m_host,
                   EncodeHostRow(aSettings, m_incarnation),
                   m_store)
{
}

JobHost::~JobHost()
{
  m_queue.Stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
  m_configWatch.reset();
  m_storeRelayPool.Stop();
  m_rowReads.Stop();
  m_carrier.Stop();
  if (m_leader) {
    m_leader->Retire();
  }
}

bool JobHost::Start()
{
  if (!m_peers.Start()) {
    return false;
  }
  m_log.WriteUnlimited("host-started",
                       "data_centre=" + m_settings.m_dataCentre +
                         " incarnation=" + std::to_string(m_incarnation));
  m_configWatch = std::make_unique<TableWatch>(
    m_dependencies.m_documents.ConfigTable(),
    std::vector<std::string>{ "" },
    TableWatch::Pace(),
    m_store,
    m_log,
    [this](const std::vector<Row>& aRows) { OnConfigRows(aRows); });
  std::minstd_rand random(static_cast<std::uint32_t>(m_incarnation));
  std::uniform_int_distribution<Duration::rep> delay(0,
                                                     kMaxElectionDelay.count());
  m_election.Begin(BootClockNow(), Duration(delay(random)));
  m_thread = std::thread([this] { RunControlLoop(); });
  pthread_setname_np(m_thread.native_handle(), "control");
  return true;
}

void JobHost::StopLeading()
{
  std::promise<void> done;
  m_queue.Add([this, &done] {
    m_leadershipDisabled = true;
    ReleaseLead("this host stops");
    m_registration.Remove();
    done.set_value();
  });
  done.get_future().wait();
}

void JobHost::AddForTerm(std::uint64_t aTerm, std::function<void()> aTask)
{
  m_queue.Add([this, aTerm, task = std::move(aTask)] {
    if (m_leader && m_writer.Term() == aTerm) {
      task();
    }
  });
}

void JobHost::ReleaseLead(const char* aReason)
{
  if (m_leader) {
    m_writer.ReleaseLeadership(kReleaseTimeout);
    m_leader->AnnounceRelease();
    StepDown(aReason);
  }
}

bool JobHost::CanServe() const
{
  return m_config.Get() != nullptr && m_configWatch &&
         BootClockNow() - m_configWatch->LastAnswer() < kStoreContactLimit;
}

void JobHost::RunControlLoop()
{
  TimePoint iterationStart;
  while (!m_queue.IsStopped()) {
    const Duration wait = m_leader ? m_leader->MaxWait() : kMaxIdleWait;
    if (m_leader) {
      // Lets tasks that arrive in quick succession be handled in one iteration.
      std::this_thread::sleep_for(iterationStart + kMinTurnInterval -
                                  BootClockNow());
    }
    const std::vector<TaskQueue::Task> tasks = m_queue.Take(wait);
    iterationStart = BootClockNow();
    if (m_leader) {
      m_leader->SetTime(BootClockNow(), WallClockNow());
    }
    for (const TaskQueue::Task& task : tasks) {
      task();
    }
    DeleteFinishedLeaders();
    SendCancellationNotices();
    if (m_leadershipDisabled) {
      continue;
    }
    m_registration.Tick(m_leader != nullptr, BootClockNow());
    if (m_leader) {
      m_leader->SetTime(BootClockNow(), WallClockNow());
      m_leader->Tick();
      ReportControlLoad(iterationStart, tasks.size());
      if (m_leader->IsBetterLedByAnother()) {
        ReleaseLead("a larger host can lead");
      }
      continue;
    }
    if (const auto fields = m_leaderSighting.CheckSilence(BootClockNow())) {
      m_log.WriteUnlimited("leader-silent", *fields);
    }
    if (m_election.ShouldReadRow(BootClockNow())) {
      TryToLead();
    }
  }
}

void JobHost::ReportControlLoad(TimePoint aBegun, std::size_t aTasks)
{
  const TimePoint now = BootClockNow();
  m_controlLoad.Note(aBegun, now, aTasks);
  if (const auto fields = m_controlLoad.TakeReport(now)) {
    m_log.WriteUnlimited("control-load", *fields);
  }
}

void JobHost::TryToLead()
{
  RowRange range;
  range.m_table = LeaderKey().m_table;
  range.m_first = LeaderKey().m_key;
  range.m_limit = 1;
  const TimePoint sent = BootClockNow();
  const RowAnswer answer = m_store.Read(range, kCallTimeout);
  if (answer.m_status != RowStatus::kOk) {
    m_election.OnReadFailed(BootClockNow());
    return;
  }
  LeaderRecord record = DecodeLeaderRow(answer);
  record.m_readAt = std::min(BootClockNow(), sent + kCallTimeout);
  record.m_readLatency = BootClockNow() - sent;
  record.m_readByRelay = !m_store.IsDirect();
  if (!m_election.IsRanked() && !RankHosts()) {
    m_election.OnReadFailed(BootClockNow());
    return;
  }
  record.m_processEnded = record.m_incarnation == m_leaderIncarnation &&
                          HasProcessEnded(m_leaderAddress, kProbeTimeout);
  if (!m_election.OnRowRead(record, BootClockNow())) {
    return;
  }
  m_log.WriteUnlimited(
    "lead-attempt",
    "former=" + record.m_host +
      " row_version=" + std::to_string(record.m_version) +
      " row_age_ms=" + std::to_string(ToMilliseconds(record.m_renewalAge)) +
      " released=" + (record.m_released ? "yes" : "no") +
      " process_gone=" + (record.m_processEnded ? "yes" : "no"));
  LeadClaim claim;
  claim.m_version = record.m_version;
  claim.m_storeClock = record.m_storeClock;
  claim.m_clockAt = record.m_readAt;
  claim.m_formerLeaseExpiry =
    BootClockNow() + LeaderElection::RemainingFormerLease(record);
  if (m_writer.AcquireLeadership(claim)) {
    BecomeLeader(record, claim.m_formerLeaseExpiry);
  } else {
    m_election.OnAttemptLost(BootClockNow());
  }
}

bool JobHost::RankHosts()
{
  RowRange range;
  range.m_table = kHostTable;
  const RowAnswer answer = m_store.Read(range, kCallTimeout);
  if (answer.m_status != RowStatus::kOk) {
    return false;
  }
  std::vector<ElectionHost> hosts;
  for (const Row& row : answer.m_rows) {
    proto::HostRow host;
    if (host.ParseFromString(row.m_value)) {
      hosts.push_back(ElectionHost{ row.m_key.m_key, host.processor_share() });
    }
  }
  m_election.SetHosts(std::move(hosts));
  return true;
}

void JobHost::BecomeLeader(const LeaderRecord& aRecord,
                           TimePoint aFormerLeaseExpiry)
{
  const std::uint64_t term = ++m_term;
  const TimePoint now = BootClockNow();
  m_log.WriteUnlimited(
    "leading",
    "term=" + std::to_string(term) +
      " incarnation=" + std::to_string(m_incarnation) +
      " former=" + aRecord.m_host + " former_leases_ms=" +
      std::to_string(ToMilliseconds(aFormerLeaseExpiry - now)));
  m_leaderSighting.OnOwnLead(m_settings.m_host, m_incarnation);
  m_controlLoad.Begin(now);
  m_leader = std::make_unique<Leader>(MakeLeaderDependencies(term),
                                      SchedulerSettingsOf(m_settings),
                                      term,
                                      aFormerLeaseExpiry,
                                      now);
}

void JobHost::StepDown(const char* aReason)
{
  if (!m_leader) {
    return;
  }
  const Duration ordersLeft = m_writer.OrdersValidUntil() - BootClockNow();
  m_log.WriteUnlimited(
    "lead-lost",
    std::string("reason=\"") + aReason + "\" term=" + std::to_string(m_term) +
      " orders_left_ms=" + std::to_string(ToMilliseconds(ordersLeft)));
  m_writer.StopWithoutRelease();
  m_leader->Retire();
  m_retiredLeaders.push_back(std::move(m_leader));
  m_leader.reset();
  m_election.Begin(BootClockNow(), kMaxElectionDelay);
}

void JobHost::DeleteFinishedLeaders()
{
  m_retiredLeaders.erase(
    std::remove_if(m_retiredLeaders.begin(),
                   m_retiredLeaders.end(),
                   [](const auto& aLeader) { return aLeader->IsFinished(); }),
    m_retiredLeaders.end());
}

LeaderDependencies JobHost::MakeLeaderDependencies(std::uint64_t aTerm)
{
  return LeaderDependencies{ m_settings,
                             m_store,
                             m_dependencies.m_orders,
                             m_dependencies.m_documents,
                             m_config,
                             m_log,
                             m_metrics,
                             m_writer,
                             m_peers,
                             m_advice,
                             m_rowReads,
                             [this, aTerm](std::function<void()> aTask) {
                               m_queue.Add(
                                 [this, aTerm, task = std::move(aTask)] {
                                   if (m_leader && m_term == aTerm) {
                                     task();
                                   }
                                 });
                             } };
}

} // namespace lycheestep
