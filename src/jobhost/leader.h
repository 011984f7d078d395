#ifndef LYCHEESTEP_LEADER_H
#define LYCHEESTEP_LEADER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "advice_dispatcher.h"
#include "cancellation_checks.h"
#include "job_effects.h"
#include "job_row_reader.h"
#include "job_scheduler.h"
#include "lead_succession.h"
#include "order_dispatcher.h"
#include "peer_host.h"
#include "table_watch.h"
#include "target_connection.h"
#include "target_list.h"

namespace lycheestep {

class AdviceWorker;
class CommitWriter;
class ConfigHolder;
class EventLog;
class MetricsSink;
class PeerMessenger;
class PlatformDocuments;
class RelayedStore;
class TaskQueue;
class WorkerPool;
struct JobHostSettings;

// How a leader came to read the row of a cancellation.
enum class CancellationSource
{
  kFeed,
  kNotice,
};

// The objects that a Leader uses. All outlive the leader.
struct LeaderDependencies
{
  const JobHostSettings& m_settings;
  RelayedStore& m_store;
  TargetOrders& m_orders;
  const PlatformDocuments& m_documents;
  const ConfigHolder& m_config;
  EventLog& m_log;
  MetricsSink& m_metrics;
  CommitWriter& m_writer;
  PeerMessenger& m_peers;
  AdviceWorker& m_advice;
  // Threads that read rows of which other hosts told, apart from the watches.
  WorkerPool& m_rowReads;
  // Queues a function for the control thread, which drops the function if this
  // leader no longer leads when the function is due. Safe from any thread.
  std::function<void(std::function<void()>)> m_post;
};

// One term of this host as the leader. A Leader reads the stored jobs, progress
// and cancellations, then lets JobScheduler decide, and executes the decisions.
// Used on the control thread only; other threads post to that thread.
class Leader : public JobEffects
{
public:
  // Starts to read the stored rows. aTerm is the number of this term, counted
  // by this process. Leases of former leaders may be valid until
  // aFormerLeaseExpiry.
  Leader(const LeaderDependencies& aDependencies,
         const JobSchedulerSettings& aScheduler,
         std::uint64_t aTerm,
         TimePoint aFormerLeaseExpiry,
         TimePoint aNow);
  ~Leader() override;

  // Sets the time for all calls until the next SetTime.
  void SetTime(TimePoint aNow, WallTime aWallNow);
  // Applies the configuration that m_config holds now.
  void OnConfig();
  // Handles a commit that took effect. aVersion is the new version of the
  // leader's row.
  void OnCommitted(std::uint64_t aVersion, Duration aStoreClock);
  // Handles a commit that the store refused for good.
  void OnCommitRejected();
  // Handles the advisor's reply to a call that this host or another one made.
  void OnAdvice(const AdviceAnswer& aAnswer);
  // Handles a host's reply to a heartbeat. aClock is the host's clock when it
  // replied, and aReachesStore is true if it needs no relay to the store.
  // aCanCarry is as in OrderDispatcher::OnCarrierAlive.
  void OnHostAlive(const std::string& aHost,
                   Duration aClock,
                   bool aReachesStore,
                   bool aCanCarry);
  // Handles the targets' replies to orders that aHost carried.
  void OnCarriedAnswers(const std::string& aHost,
                        const proto::CarriedAnswers& aAnswers);

  // Handles a host's notice that these jobs were cancelled. Returns those that
  // are known to be over, and has the rows of the others read.
  std::vector<JobId> OnCancellationNotice(const std::vector<JobId>& aJobs);

  // Does all work that is due: heartbeats, timeouts and scheduling. Sends no
  // orders after the right to lead has expired.
  void Tick();

  // Returns the longest time between two calls of Tick.
  Duration MaxWait() const;

  // Returns true if a much larger host can lead.
  bool IsBetterLedByAnother() const;

  // Tells all hosts that this host has given up the lead, and names its
  // successors.
  void AnnounceRelease();

  // Tells the threads of all watches and target connections to end, and does
  // not wait for them.
  void Retire();

  // Returns true if these threads have ended, so that the destructor does not
  // wait.
  bool IsFinished() const;

  // JobEffects, called by JobScheduler.
  void Commit(std::vector<RowWrite> aWrites,
              std::vector<RowKey> aRemovals) override;
  void Start(const StartOrder& aOrder) override;
  void Stop(const StopOrder& aOrder) override;
  void Pace(const PaceOrder& aOrder) override;
  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;
  void Withdraw(const WithdrawOrder& aOrder) override;
  void Forget(const TargetId& aTarget) override;
  bool CanAsk() const override;
  void Ask(const AdviceRequest& aRequest, Duration aServiceTime) override;
  AdvisorUse GetAdvisorUse() const override;
  void Log(const std::string& aEvent, const std::string& aFields) override;
  void LogNotable(const std::string& aEvent,
                  const std::string& aFields) override;
  void LogUnlimited(const std::string& aEvent,
                    const std::string& aFields) override;
  MetricsSink& Metrics() override { return m_dependencies.m_metrics; }

private:
  void StartWatches();
  // Starts a watch of a table that posts its rows to aOnRows on the control
  // thread, and then the time up to which it knows the table to aOnCurrent, if
  // there is one.
  std::unique_ptr<TableWatch> Watch(
    const std::string& aTable,
    const std::vector<std::string>& aPartitions,
    TableWatch::Pace aPace,
    void (Leader::*aOnRows)(const std::vector<Row>&),
    void (Leader::*aOnCurrent)(TimePoint) = nullptr);
  // Handle the first report of a watch, which holds the whole table, and those
  // of changes.
  void OnJobRows(const std::vector<Row>& aRows);
  void OnCancelRows(const std::vector<Row>& aRows);
  void OnProgressRows(const std::vector<Row>& aRows);
  void OnAddressRows(const std::vector<Row>& aRows);
  void OnTargetRows(const std::vector<Row>& aRows);
  void OnHostRows(const std::vector<Row>& aRows);
  // Hands the stored rows to the scheduler once all four tables were read.
  void LoadIfComplete();
  void AddJobs(const std::vector<Row>& aRows);
  void AddProgress(const std::vector<Row>& aRows,
                   const std::vector<Row>& aJobRows);
  void AddCancels(const std::vector<Row>& aRows);
  void AddAddresses(const std::vector<Row>& aRows);
  void ApplyTargets(const TargetChanges& aChanges);
  // Lets the scheduler start tasks only while this host knows of the newest
  // cancellations and of the targets that drain.
  void CheckFeeds();
  // Notes that the cancellations up to aAsOf were handled.
  void OnCancelsCurrent(TimePoint aAsOf);
  // Notes that the list of targets up to aAsOf was handled.
  void OnTargetsCurrent(TimePoint aAsOf);
  // Return the time until which the cancellations that were handled, and the
  // list of targets, are new enough to start tasks, and the earlier of the two.
  // Safe from any thread.
  TimePoint CancelsValidUntil() const;
  TimePoint TargetsValidUntil() const;
  TimePoint StartsValidUntil() const;
  // Reads the row of a cancellation on a thread of m_rowReads.
  void ReadCancellation(const JobId& aJob);
  void OnCancellationAnswer(const JobId& aJob, const RowAnswer& aAnswer);
  // Log what the leader has loaded, what it knows every few seconds, and a
  // cancellation that was read.
  void ReportLoad();
  void ReportStateIfDue();
  void ReportCancellation(const Row& aRow, CancellationSource aSource);
  // Returns the log fields about runs and targets.
  std::string RunTotalFields() const;
  void SendHeartbeats();
  // Removes the rows of hosts that have not replied to heartbeats for a long
  // time.
  void DropDeadHosts();
  // Returns the time since the leader's row was last renewed.
  Duration RenewalAge() const;
  // Returns the hosts that may take the lead after this host, at most five.
  std::vector<std::string> Successors() const;
  // Returns the addresses of the live hosts, those that reach the store by
  // themselves first.
  std::vector<std::string> Relays() const;
  // Sends a call for the advisor to a host, or makes it on this host if aHost
  // is empty or unknown.
  void SendAdvice(const std::string& aHost,
                  const AdviceRequest& aRequest,
                  Duration aTimeout);
  // Returns true if the stored rows were loaded and scheduling may start.
  bool CanSendOrders();
  // Returns true if the fleet is so large that other hosts carry its orders.
  bool IsLargeFleet() const;
  // Returns the target's data centre; empty if it is not known.
  DataCentreName DataCentreOf(const TargetId& aTarget) const;
  // Returns m_orderDispatcher if the fleet is large and a carrier is available,
  // and closes the direct connection to the target then. Otherwise returns the
  // direct connection.
  OrderSender& RouteTo(const TargetId& aTarget);
  // Returns the direct connection to the target, and opens one if there is
  // none.
  OrderSender& DirectConnectionTo(const TargetId& aTarget);
  void CloseDirectConnection(const TargetId& aTarget);
  void SendCarriedOrders(const std::string& aHost,
                         proto::CarriedOrders aOrders);
  // Returns callbacks that hand targets' replies to the scheduler through
  // aPost.
  OrderAnswerHandlers MakeAnswerHandlers(
    std::function<void(std::function<void()>)> aPost);

  const LeaderDependencies m_dependencies;
  JobScheduler m_scheduler;
  AdviceDispatcher m_adviceDispatcher;
  OrderDispatcher m_orderDispatcher;
  TimePoint m_now;
  WallTime m_wallNow{ 0 };
  // True while the right to lead has expired and was not renewed.
  bool m_suspended = false;

  // True while the cancellations or the targets that were read are too old to
  // start tasks.
  bool m_startsSuspended = false;

  // True once the tables of jobs, cancellations, progress and targets'
  // addresses were read.
  bool m_loaded = false;
  TimePoint m_loadedAt;
  const TimePoint m_leadingSince;
  // True once scheduling may start: the fleet is small, enough carriers have
  // replied to heartbeats, or the wait for carriers is over.
  bool m_mayStartScheduling = false;
  // Rows read so far of each table, until all four tables were read.
  std::optional<std::vector<Row>> m_jobRows;
  std::optional<std::vector<Row>> m_cancelRows;
  std::optional<std::vector<Row>> m_progressRows;
  std::optional<std::vector<Row>> m_addressRows;

  JobRowReader m_jobRowReader;
  CancellationChecks m_cancellationChecks;
  TargetList m_targets;
  PeerHosts m_hosts;
  // When the next heartbeats are sent, when the waiting jobs are next counted
  // for the leader row, and when the next line about the state is written.
  TimePoint m_heartbeatDue;
  TimePoint m_pendingCountDue;
  TimePoint m_stateReportDue;

  // All cancellations, and all changes of the list of targets, up to these
  // times were handled. Counted from the epoch of the boot clock. The threads
  // of m_directConnections read them.
  std::atomic<Duration::rep> m_cancelsAsOf{ 0 };
  std::atomic<Duration::rep> m_targetsAsOf{ 0 };
  std::map<TargetId, std::unique_ptr<TargetConnection>> m_directConnections;
  // Closed connections whose threads may still run.
  std::vector<std::unique_ptr<TargetConnection>> m_closedConnections;
  std::vector<std::unique_ptr<TableWatch>> m_watches;
  // Those of m_watches that read progress and addresses, once.
  TableWatch* m_progressWatch = nullptr;
  TableWatch* m_addressWatch = nullptr;
};

} // namespace lycheestep

#endif
