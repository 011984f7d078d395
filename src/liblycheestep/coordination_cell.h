#ifndef LYCHEESTEP_COORDINATION_CELL_H
#define LYCHEESTEP_COORDINATION_CELL_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "attempt_name.h"
#include "catalogue_keeper.h"
#include "fleet.h"
#include "grant_book.h"
#include "lease_keeper.h"
#include "peer.pb.h"
#include "peer_directory.h"
#include "record_keeper.h"
#include "session_keeper.h"
#include "session_watch.h"
#include "table_calls.h"
#include "table_model.h"
#include "target_model.h"

namespace lycheestep {

// The coordination parts of one entry host without the policy, for tests.
// Notes what the listeners are told.
class CellHost
  : public SessionListener
  , public SessionWatchListener
  , public RecordListener
  , public TaskListener
  , public CatalogueListener
{
public:
  explicit CellHost(const SchedulerSettings& aSettings)
    : m_settings(aSettings)
    , m_random(aSettings.m_seed)
    , m_peers(aSettings)
    , m_session(m_table)
    , m_watch(m_table, m_peers)
    , m_leases(m_fleet, m_session)
    , m_grants(
        m_table,
        m_session,
        m_watch,
        m_peers,
        m_fleet,
        [this](const AttemptId& aAttempt) { return m_leases.Tracks(aAttempt); })
    , m_records(m_table, m_session)
    , m_catalogue(m_table, m_peers)
  {
    m_session.SetListener(this);
    m_watch.SetListener(this);
    m_records.SetListener(this);
    m_leases.SetListener(this);
    m_catalogue.SetListener(this);
    m_grants.SetAskTarget(
      [this](CoreContext& aContext, const TargetId& aTarget) {
        m_leases.AskSoon(aContext, aTarget);
      });
  }

  void Tick(CoreContext& aContext)
  {
    PeerLoad load;
    load.m_catalogueVersion = m_catalogue.Version();
    load.m_free = m_fleet.TotalFree(aContext.m_now);
    load.m_largestFree = m_fleet.LargestFree(aContext.m_now);
    m_peers.SetOwnLoad(load);
    m_session.Tick(aContext);
    m_watch.Tick(aContext);
    m_grants.Tick(aContext);
    m_records.Tick(aContext);
    m_leases.Tick(aContext);
    m_catalogue.Tick(aContext);
    m_peers.Tick(aContext);
  }

  TimePoint NextWakeup() const
  {
    return std::min({ m_session.NextWakeup(),
                      m_watch.NextWakeup(),
                      m_grants.NextWakeup(),
                      m_records.NextWakeup(),
                      m_leases.NextWakeup(),
                      m_catalogue.NextWakeup(),
                      m_peers.NextWakeup() });
  }

  void HandlePeer(CoreContext& aContext, const proto::PeerMessage& aMessage)
  {
    const EntryId from(aMessage.from());
    m_peers.HandleMessage(aContext, from, aMessage);
    if (aMessage.has_heartbeat()) {
      m_catalogue.HandlePeerVersion(
        aContext, from, aMessage.heartbeat().catalogue_version());
    } else if (aMessage.has_share_request()) {
      m_grants.HandleShareRequest(aContext, from, aMessage.share_request());
    } else if (aMessage.has_catalogue_offer()) {
      m_catalogue.HandlePeerVersion(
        aContext, from, aMessage.catalogue_offer().version());
    } else if (aMessage.has_catalogue_request()) {
      m_catalogue.HandleRequest(
        aContext, from, aMessage.catalogue_request().have_version());
    } else if (aMessage.has_catalogue_transfer()) {
      m_catalogue.HandleTransfer(aContext, from, aMessage.catalogue_transfer());
    }
  }

  // Starts a task within this host's share; false when it has no room.
  bool StartTaskAt(CoreContext& aContext,
                   const TargetId& aTarget,
                   const Resources& aDemand)
  {
    FleetTarget* target = m_fleet.Find(aTarget);
    const TimePoint until =
      target->m_grant.UsableUntil(target->m_used + aDemand, aContext.m_now);
    if (!target->TakesWork() || until <= aContext.m_now) {
      return false;
    }
    TrackedTask task;
    task.m_attempt =
      MakeAttemptId(m_settings.m_entry, m_session.Epoch(), ++m_lastAttempt);
    task.m_request = RequestId(task.m_attempt.Text());
    task.m_kind = KindName("kind");
    task.m_target = aTarget;
    task.m_demand = aDemand;
    m_fleet.Take(aTarget, aDemand);
    m_leases.Track(aContext, task);
    StartTask start;
    start.m_target = aTarget;
    start.m_notAfter = until;
    start.m_start.m_attempt = task.m_attempt;
    start.m_start.m_request = task.m_request;
    start.m_start.m_kind = task.m_kind;
    start.m_start.m_demand = aDemand;
    start.m_start.m_leaseTerm = m_settings.m_leaseTerm;
    aContext.m_actions.emplace_back(std::move(start));
    return true;
  }

  void OnSessionOpened(CoreContext& aContext, std::uint64_t) override
  {
    m_grants.HandleSessionChanged(aContext);
    m_records.HandleSessionOpened(aContext);
  }
  void OnSessionLost(CoreContext& aContext, std::uint64_t) override
  {
    ++m_sessionsLost;
    m_grants.HandleSessionChanged(aContext);
  }
  void OnSessionEnded(CoreContext& aContext,
                      const EntryId& aEntry,
                      std::uint64_t aEpoch) override
  {
    m_grants.HandlePeerSessionEnded(aContext);
    m_records.TakeOver(aContext, aEntry, aEpoch);
  }
  void OnAdopted(CoreContext&, const proto::RecordRow& aRecord) override
  {
    m_adopted.push_back(aRecord);
  }
  void OnRecordLost(CoreContext&, const RequestId& aId) override
  {
    m_recordsLost.push_back(aId);
  }
  void OnTaskStarted(CoreContext&, const TrackedTask&) override
  {
    ++m_tasksStarted;
  }
  void OnTaskEnded(CoreContext&,
                   const TrackedTask& aTask,
                   const TaskReport& aReport) override
  {
    m_ended.push_back(aReport);
    m_leases.Forget(aTask.m_target, aTask.m_attempt);
  }
  void OnTaskNeverStarted(CoreContext&,
                          const TrackedTask& aTask,
                          const std::string&) override
  {
    m_neverStarted.push_back(aTask.m_attempt);
  }
  void OnTaskLost(CoreContext& aContext, const TrackedTask& aTask) override
  {
    m_lost.emplace_back(aContext.m_now, aTask.m_attempt);
  }
  bool IsKeptAlive(const KindName&) override { return true; }
  void OnCatalogue(CoreContext&, std::shared_ptr<const Catalogue>) override {}

  SchedulerSettings m_settings;
  RandomGenerator m_random;
  TableCalls m_table;
  Fleet m_fleet;
  PeerDirectory m_peers;
  SessionKeeper m_session;
  SessionWatch m_watch;
  LeaseKeeper m_leases;
  GrantBook m_grants;
  RecordKeeper m_records;
  CatalogueKeeper m_catalogue;
  std::uint64_t m_lastAttempt = 0;
  int m_sessionsLost = 0;
  int m_tasksStarted = 0;
  std::vector<proto::RecordRow> m_adopted;
  std::vector<RequestId> m_recordsLost;
  std::vector<TaskReport> m_ended;
  std::vector<AttemptId> m_neverStarted;
  std::vector<std::pair<TimePoint, AttemptId>> m_lost;
};

// Some hosts of one data centre with a modelled table and modelled targets on
// virtual time. Every call takes a millisecond each way.
class CoordinationCell
{
public:
  CoordinationCell(int aHosts, int aTargets)
    : m_now(std::chrono::hours(1))
  {
    std::vector<TargetListing> listings;
    for (int i = 0; i < aTargets; ++i) {
      TargetListing listing;
      listing.m_id = TargetId("t" + std::to_string(i));
      listing.m_dataCentre = DataCentreName("dc");
      listing.m_rack = RackName("r" + std::to_string(i / 6));
      listing.m_address = listing.m_id.Text();
      listing.m_capacity = Resources(16000, 32768, 0, 8, 64);
      m_targets.emplace(
        listing.m_id,
        TargetModel(listing, std::chrono::seconds(1), m_checkpoints));
      listings.push_back(listing);
    }
    m_listings = listings;
    m_slots.resize(static_cast<std::size_t>(aHosts));
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
      Boot(i);
    }
  }

  // Starts a new process of the host's name.
  void Boot(std::size_t aHost)
  {
    SchedulerSettings settings = m_base;
    settings.m_entry = EntryId("e" + std::to_string(aHost));
    settings.m_dataCentre = DataCentreName("dc");
    settings.m_peerAddress = settings.m_entry.Text();
    settings.m_seed = 7 + aHost + 100 * static_cast<std::size_t>(++m_boots);
    Slot& slot = m_slots[aHost];
    slot.m_host = std::make_shared<CellHost>(settings);
    slot.m_host->m_fleet.Replace(m_listings);
    Enter(aHost, [&slot](CoreContext& aContext) {
      slot.m_host->m_session.Start(aContext);
    });
  }
  void Kill(std::size_t aHost) { m_slots[aHost].m_host.reset(); }
  void Pause(std::size_t aHost) { m_slots[aHost].m_paused = true; }
  void Resume(std::size_t aHost)
  {
    Slot& slot = m_slots[aHost];
    slot.m_paused = false;
    for (auto& late : std::exchange(slot.m_late, {})) {
      late();
    }
  }
  CellHost& Host(std::size_t aHost) { return *m_slots[aHost].m_host; }
  void CutTable(std::size_t aHost, bool aCut) { m_slots[aHost].m_cut = aCut; }
  TargetModel& Target(const std::string& aName)
  {
    return m_targets.at(TargetId(aName));
  }

  // Runs code of a host as one event and performs its actions.
  void Enter(std::size_t aHost, const std::function<void(CoreContext&)>& aCode)
  {
    const std::shared_ptr<CellHost> host = m_slots[aHost].m_host;
    ActionList actions;
    CoreContext context{ host->m_settings, m_now, actions, host->m_random };
    aCode(context);
    host->Tick(context);
    for (const Action& action : actions) {
      Perform(aHost, host, action);
    }
  }

  // Lets virtual time pass.
  void Run(Duration aSpan)
  {
    const TimePoint end = m_now + aSpan;
    while (true) {
      std::size_t waking = m_slots.size();
      TimePoint next = m_queue.empty() ? end : m_queue.begin()->first;
      for (std::size_t i = 0; i < m_slots.size(); ++i) {
        const Slot& slot = m_slots[i];
        if (slot.m_host && !slot.m_paused && slot.m_host->NextWakeup() < next) {
          next = slot.m_host->NextWakeup();
          waking = i;
        }
      }
      if (next >= end) {
        m_now = end;
        return;
      }
      m_now = std::max(m_now, next);
      if (waking < m_slots.size()) {
        Enter(waking, [](CoreContext&) {});
        continue;
      }
      const auto code = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      code();
    }
  }

  TimePoint m_now;
  SchedulerSettings m_base;
  TableModel m_table;
  TableFaults m_faults;
  // Targets that no call reaches.
  std::map<TargetId, bool> m_unreachable;
  // Start calls whose answer is lost.
  bool m_loseStartAnswers = false;

private:
  struct Slot
  {
    std::shared_ptr<CellHost> m_host;
    bool m_paused = false;
    bool m_cut = false;
    std::vector<std::function<void()>> m_late;
  };

  using HostPointer = std::shared_ptr<CellHost>;

  static constexpr Duration kWay = std::chrono::milliseconds(1);

  void At(TimePoint aWhen, std::function<void()> aCode)
  {
    m_queue.emplace(aWhen, std::move(aCode));
  }

  // Runs the code in the host's process: never after its death, and only
  // after a pause.
  void InProcess(std::size_t aHost,
                 const HostPointer& aTo,
                 const std::function<void()>& aCode)
  {
    Slot& slot = m_slots[aHost];
    if (slot.m_host != aTo) {
      return;
    }
    if (slot.m_paused) {
      slot.m_late.emplace_back(
        [this, aHost, aTo, aCode] { InProcess(aHost, aTo, aCode); });
      return;
    }
    aCode();
  }

  void Answer(std::size_t aHost,
              const HostPointer& aTo,
              Duration aAfter,
              std::function<void(CoreContext&)> aCode)
  {
    At(m_now + aAfter, [this, aHost, aTo, code = std::move(aCode)] {
      InProcess(aHost, aTo, [this, aHost, code] { Enter(aHost, code); });
    });
  }

  void Perform(std::size_t aHost, const HostPointer& aFrom, const Action& aWhat)
  {
    // The services act a moment later, in the same process.
    At(m_now, [this, aHost, aFrom, aWhat] {
      InProcess(aHost, aFrom, [this, aHost, aFrom, aWhat] {
        Carry(aHost, aFrom, aWhat);
      });
    });
  }

  void Carry(std::size_t aHost, const HostPointer& aFrom, const Action& aWhat)
  {
    if (const auto* write = std::get_if<TransactTable>(&aWhat)) {
      CallTable(aHost, aFrom, write->m_ticket, [this, write = *write] {
        return m_table.Transact(write.m_transaction, m_now);
      });
    } else if (const auto* read = std::get_if<ReadTable>(&aWhat)) {
      CallTable(aHost, aFrom, read->m_ticket, [this, read = *read] {
        return m_table.Read(read.m_query);
      });
    } else if (const auto* start = std::get_if<StartTask>(&aWhat)) {
      CallStart(aHost, aFrom, *start);
    } else if (const auto* renewal = std::get_if<RenewLeases>(&aWhat)) {
      CallRenew(aHost, aFrom, *renewal);
    } else if (const auto* query = std::get_if<QueryAttempt>(&aWhat)) {
      CallQuery(aHost, aFrom, *query);
    } else if (const auto* message = std::get_if<SendPeerMessage>(&aWhat)) {
      CallPeer(*message);
    }
  }

  void CallTable(std::size_t aHost,
                 const HostPointer& aFrom,
                 TableTicket aTicket,
                 const std::function<TableAnswer()>& aCall)
  {
    const auto reply = [this, aHost, aFrom, aTicket](const TableAnswer& aAnswer,
                                                     Duration aAfter) {
      Answer(aHost, aFrom, aAfter, [aFrom, aTicket, aAnswer](CoreContext& aIn) {
        aFrom->m_table.HandleAnswer(aIn, aTicket, aAnswer);
      });
    };
    if (m_faults.m_down || m_slots[aHost].m_cut) {
      reply({ TableStatus::kNotSent, {} }, kWay);
      return;
    }
    At(m_now + kWay + m_faults.m_delay, [this, aCall, reply] {
      const TableAnswer answer = aCall();
      if (m_faults.m_loseReplies) {
        reply({ TableStatus::kUnknown, {} }, std::chrono::milliseconds(500));
      } else {
        reply(answer, kWay);
      }
    });
  }

  bool Reaches(const TargetId& aTarget)
  {
    return !m_unreachable[aTarget] && m_targets.at(aTarget).IsAlive();
  }

  void CallStart(std::size_t aHost,
                 const HostPointer& aFrom,
                 const StartTask& aStart)
  {
    StartAnswered event;
    event.m_target = aStart.m_target;
    event.m_attempt = aStart.m_start.m_attempt;
    if (m_now >= aStart.m_notAfter || !Reaches(aStart.m_target)) {
      event.m_status = StartStatus::kNotSent;
    } else {
      TaskBehaviour behaviour;
      behaviour.m_runTime = m_runTime;
      const StartReply reply =
        m_targets.at(aStart.m_target).Start(aStart.m_start, behaviour, m_now);
      event.m_status = m_loseStartAnswers ? StartStatus::kLost : reply.m_status;
    }
    Answer(aHost, aFrom, kWay, [aFrom, event](CoreContext& aIn) {
      aFrom->m_leases.HandleStartAnswered(aIn, event);
    });
  }

  void CallRenew(std::size_t aHost,
                 const HostPointer& aFrom,
                 const RenewLeases& aCall)
  {
    TargetReport report;
    report.m_target = aCall.m_target;
    if (m_now < aCall.m_notAfter && Reaches(aCall.m_target)) {
      report = m_targets.at(aCall.m_target).Renew(aCall.m_renewal, m_now);
    }
    Answer(aHost, aFrom, kWay, [aFrom, report](CoreContext& aIn) {
      aFrom->m_leases.HandleTargetReported(aIn, report);
      aFrom->m_grants.HandleTargetReported(aIn, report);
    });
  }

  void CallQuery(std::size_t aHost,
                 const HostPointer& aFrom,
                 const QueryAttempt& aCall)
  {
    AttemptAnswered event;
    event.m_target = aCall.m_target;
    event.m_report.m_attempt = aCall.m_attempt;
    event.m_reached = Reaches(aCall.m_target);
    if (event.m_reached) {
      event.m_report =
        m_targets.at(aCall.m_target).Query(aCall.m_attempt, m_now);
    }
    Answer(aHost, aFrom, kWay, [aFrom, event](CoreContext& aIn) {
      aFrom->m_leases.HandleAttemptAnswered(aIn, event);
    });
  }

  void CallPeer(const SendPeerMessage& aSend)
  {
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
      const HostPointer host = m_slots[i].m_host;
      if (host && host->m_settings.m_entry == aSend.m_to) {
        Answer(i, host, kWay, [host, text = aSend.m_message](CoreContext& aIn) {
          host->HandlePeer(aIn, *text);
        });
      }
    }
  }

  std::vector<Slot> m_slots;
  std::vector<TargetListing> m_listings;
  std::map<TargetId, TargetModel> m_targets;
  CheckpointStore m_checkpoints;
  std::multimap<TimePoint, std::function<void()>> m_queue;
  int m_boots = 0;

public:
  // How long every task runs.
  Duration m_runTime = std::chrono::hours(10);
};

} // namespace lycheestep

#endif
