#ifndef LYCHEESTEP_LEADER_H
#define LYCHEESTEP_LEADER_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "advice_dispatcher.h"
#include "job_effects.h"
#include "job_scheduler.h"
#include "order_dispatcher.h"
#include "table_watch.h"
#include "target_connection.h"
#include "target_list.h"

namespace lycheestep {

class AdviceWorker;
class CommitWriter;
class ConfigHolder;
class EventLog;
class PeerMessenger;
class PlatformDocuments;
class RelayedStore;
class TaskQueue;
struct JobHostSettings;

// What a leader works with; all outlive it.
struct LeaderDependencies
{
  const JobHostSettings& m_settings;
  RelayedStore& m_store;
  TargetOrders& m_orders;
  const PlatformDocuments& m_documents;
  const ConfigHolder& m_config;
  EventLog& m_log;
  CommitWriter& m_writer;
  PeerMessenger& m_peers;
  AdviceWorker& m_advice;
  // Hands work to the control thread, which drops it if this leader is gone
  // by then.
  std::function<void(std::function<void()>)> m_post;
};

// Another host of the system, as its row says.
struct PeerHost
{
  std::string m_address;
  DataCentreName m_dataCentre;
  double m_processorShare = 0;
  // When it answered a heartbeat, or when its row was read.
  TimePoint m_lastSeen;
  // It answered in this term.
  bool m_answeredHeartbeat = false;
};

// One term of this host as the leader: reads what was stored, then decides
// with JobScheduler and carries its decisions out. Used on the control thread;
// its helpers post to it.
class Leader : public JobEffects
{
public:
  // aTerm counts the terms of this process. Leases of former leaders are over
  // after aFormerLeases.
  Leader(const LeaderDependencies& aDependencies,
         const JobSchedulerSettings& aScheduler,
         std::uint64_t aTerm,
         Duration aFormerLeases,
         TimePoint aNow);
  ~Leader() override;

  void SetTime(TimePoint aNow, WallTime aWallNow);
  void OnConfig();
  void OnCommitted(std::uint64_t aVersion, Duration aStoreClock);
  void OnAdvice(const AdviceAnswer& aAnswer);
  // A host answered a heartbeat; its clock showed aClock then.
  void OnHostAlive(const std::string& aHost, Duration aClock);
  // A host that carries orders says what targets answered.
  void OnCarriedAnswers(const std::string& aHost,
                        const proto::CarriedAnswers& aAnswers);

  // Does what is due. Sends no orders after the right to lead has run out.
  void Tick();

  // How long the control thread may wait for an event.
  Duration MaxWait() const;

  // Tells all hosts that this one leads no longer.
  void AnnounceRelease();

  // Stops all helpers without waiting for them.
  void Retire();

  // True when the destructor need not wait for a helper.
  bool IsFinished() const;

  void Commit(std::vector<RowWrite> aWrites,
              std::vector<RowKey> aRemovals) override;
  void Start(const StartOrder& aOrder) override;
  void Stop(const StopOrder& aOrder) override;
  void Pace(const PaceOrder& aOrder) override;
  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;
  void Forget(const TargetId& aTarget) override;
  bool CanAsk() const override;
  void Ask(const AdviceRequest& aRequest, Duration aTurn) override;
  void Log(const std::string& aEvent, const std::string& aFields) override;

private:
  void StartWatches();
  std::unique_ptr<TableWatch> Watch(
    const std::string& aTable,
    const std::vector<std::string>& aPartitions,
    Duration aBatchDelay,
    void (Leader::*aOnRows)(const std::vector<Row>&, bool));
  void OnJobRows(const std::vector<Row>& aRows, bool aIsSnapshot);
  void OnCancelRows(const std::vector<Row>& aRows, bool aIsSnapshot);
  void OnProgressRows(const std::vector<Row>& aRows, bool aIsSnapshot);
  void OnTargetRows(const std::vector<Row>& aRows, bool aIsSnapshot);
  void OnHostRows(const std::vector<Row>& aRows, bool aIsSnapshot);
  void LoadIfComplete();
  void AddJobs(const std::vector<Row>& aRows);
  void AddCancels(const std::vector<Row>& aRows);
  void ApplyTargets(const TargetChanges& aChanges);
  void SendHeartbeats();
  void DropDeadHosts();
  bool IsLive(const PeerHost& aHost) const;
  std::vector<std::string> Successors() const;
  void SendAdvice(const std::string& aHost,
                  const AdviceRequest& aRequest,
                  Duration aTimeout);
  bool CanSendOrders();
  bool IsLargeFleet() const;
  OrderSender& RouteTo(const TargetId& aTarget);
  OrderSender& DirectConnectionTo(const TargetId& aTarget);
  void CloseDirectConnection(const TargetId& aTarget);
  void SendCarriedOrders(const std::string& aHost,
                         proto::CarriedOrders aOrders);
  OrderAnswerHandlers MakeAnswerHandlers(
    std::function<void(std::function<void()>)> aPost);

  const LeaderDependencies m_dependencies;
  JobScheduler m_scheduler;
  AdviceDispatcher m_adviceDispatcher;
  OrderDispatcher m_orderDispatcher;
  TimePoint m_now;
  WallTime m_wallNow{ 0 };
  bool m_suspended = false;

  // Rows that wait until all tables were read.
  bool m_loaded = false;
  TimePoint m_loadedAt;
  // Enough hosts answered, or none did for long enough, to begin.
  bool m_mayStartScheduling = false;
  std::optional<std::vector<Row>> m_jobRows;
  std::optional<std::vector<Row>> m_cancelRows;
  std::optional<std::vector<Row>> m_progressRows;

  TargetList m_targets;
  std::map<std::string, PeerHost> m_hosts;
  TimePoint m_heartbeatDue;
  TimePoint m_pendingCountDue;

  std::map<TargetId, std::unique_ptr<TargetConnection>> m_directConnections;
  std::vector<std::unique_ptr<TargetConnection>> m_closedConnections;
  std::vector<std::unique_ptr<TableWatch>> m_watches;
};

} // namespace lycheestep

#endif
