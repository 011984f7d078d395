#ifndef LYCHEESTEP_JOB_HOST_H
#define LYCHEESTEP_JOB_HOST_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "advice_worker.h"
#include "cancellation_notifier.h"
#include "commit_writer.h"
#include "config_holder.h"
#include "control_load.h"
#include "event_log.h"
#include "host_registration.h"
#include "job_request_handler.h"
#include "leader.h"
#include "leader_election.h"
#include "leader_sighting.h"
#include "lycheestep/job_host_settings.h"
#include "lycheestep/platform_documents.h"
#include "metrics_registry.h"
#include "order_carrier.h"
#include "peer_messenger.h"
#include "relayed_store.h"
#include "table_watch.h"
#include "task_queue.h"
#include "worker_pool.h"

namespace lycheestep {

// The services that a host uses, as interfaces that hide the platform's
// protocols. All must outlive the host.
struct HostDependencies
{
  RowStore& m_store;
  TargetOrders& m_orders;
  // Null where the platform has no advisor.
  Advisor* m_advisor;
  const PlatformDocuments& m_documents;
};

// One host of the system. It serves callers at all times, follows the
// configuration, calls the advisor for the leader, and becomes the leader
// itself when no other host leads. All hosts run the same code.
class JobHost
{
public:
  JobHost(const JobHostSettings& aSettings,
          const HostDependencies& aDependencies);
  ~JobHost();
  JobHost(const JobHost&) = delete;
  JobHost& operator=(const JobHost&) = delete;

  // Starts serving. Returns false if the address for peers is in use.
  bool Start();

  // Releases the leadership, if this host has it, and removes the host from
  // the list of hosts in the store. The host does not try to lead again, but
  // still serves callers. Blocks until that is done, which takes a second or
  // two at most.
  void StopLeading();

  JobRequestHandler& RequestHandler() { return m_requestHandler; }
  const ConfigHolder& Config() const { return m_config; }
  EventLog& Log() { return m_log; }
  const MetricsSink& Metrics() const { return m_metrics; }

  // Returns true if the host has a configuration and has reached the store
  // recently.
  bool CanServe() const;

private:
  // Runs the tasks of m_queue and, while this host leads, calls Leader::Tick.
  void RunControlLoop();
  // Counts an iteration of the leader's control loop that began at aBegun, and
  // logs the load once per second.
  void ReportControlLoad(TimePoint aBegun, std::size_t aTasks);
  // Reads the leader row and acquires the leadership if the election allows.
  void TryToLead();
  // Reads the rows of all hosts, which decide this host's rank in the election.
  // Returns false if they could not be read.
  bool RankHosts();
  void BecomeLeader(const LeaderRecord& aRecord, TimePoint aFormerLeaseExpiry);
  // Runs aTask on the control thread if this host still leads in the writer's
  // term aTerm then.
  void AddForTerm(std::uint64_t aTerm, std::function<void()> aTask);
  // Gives up the leadership, if this host has it, so that another host takes it
  // at once.
  void ReleaseLead(const char* aReason);
  // Ends the leadership, if this host has it, and starts a new election.
  void StepDown(const char* aReason);
  // Deletes retired leaders that no longer have work in progress.
  void DeleteFinishedLeaders();
  void OnConfigRows(const std::vector<Row>& aRows);
  // Reads the configuration from the store if another host has a newer version
  // than this one. Safe from any thread.
  void OnConfigVersionHeard(std::uint64_t aVersion);
  void OnPeerMessage(const proto::JobPeerMessage& aMessage);
  void OnHeartbeat(const proto::JobPeerMessage& aMessage);
  // Logs who leads, if that is news or was not logged for a while.
  void NoteLeader(const std::string& aHost,
                  std::uint64_t aIncarnation,
                  bool aReleased);
  void AnswerHeartbeat(const std::string& aLeaderAddress);
  // Notes a cancellation that this host has acknowledged. Safe from any thread.
  void OnCancellationStored(const JobId& aJob);
  // Tells the leader, which may be this host, of the cancellations that it has
  // not confirmed.
  void SendCancellationNotices();
  // Handle the notice of another host, if this host leads, and the leader's
  // confirmation.
  void OnCancellationNotice(const proto::JobPeerMessage& aMessage);
  void OnCancellationConfirmation(const proto::JobPeerMessage& aMessage);
  // Calls the advisor for the host that sent the message.
  void ServeAdviceCall(const proto::JobPeerMessage& aMessage);
  // Makes a call to the store for the host that sent the message.
  void ServeStoreCall(const proto::JobPeerMessage& aMessage);
  // The tasks that the leader posts run only while it leads in term aTerm.
  LeaderDependencies MakeLeaderDependencies(std::uint64_t aTerm);

  const JobHostSettings m_settings;
  const HostDependencies m_dependencies;
  const std::uint64_t m_incarnation;
  MetricsRegistry m_metrics;
  EventLog m_log;
  ConfigHolder m_config;
  // The number of reads of the configuration that have not ended.
  std::atomic<int> m_configReads{ 0 };
  RelayedStore m_store;
  JobRequestHandler m_requestHandler;
  // Tasks for the control thread.
  TaskQueue m_queue;
  AdviceWorker m_advice;
  // Threads that make other hosts' calls to the store.
  WorkerPool m_storeRelayPool;
  // Threads that read rows of which other hosts told, apart from the watches.
  WorkerPool m_rowReads;
  // Sends orders to targets on behalf of the leading host.
  OrderCarrier m_carrier;
  PeerMessenger m_peers;
  CommitWriter m_writer;
  std::unique_ptr<TableWatch> m_configWatch;

  // Used by the control thread only.
  LeaderElection m_election;
  HostRegistration m_registration;
  std::unique_ptr<Leader> m_leader;
  // Counts how often this process has become the leader.
  std::uint64_t m_term = 0;
  ControlLoad m_controlLoad;
  // Former leader objects whose work in progress has not ended yet.
  std::vector<std::unique_ptr<Leader>> m_retiredLeaders;
  // Set by StopLeading: the host no longer registers or tries to lead.
  bool m_leadershipDisabled = false;
  // Counts heartbeats, to reply to only some of them. Heartbeats that always
  // get a reply are not counted: the first one of a new leader, and all while
  // this host carries orders.
  std::uint32_t m_heartbeatCount = 0;
  // The incarnation and the peer address of the leader that sent the last
  // heartbeat.
  std::uint64_t m_leaderIncarnation = 0;
  std::string m_leaderAddress;
  LeaderSighting m_leaderSighting;
  CancellationNotifier m_cancellationNotifier;
  // When the host looks next which notices are due.
  TimePoint m_noticeCheckDue;

  std::thread m_thread;
};

} // namespace lycheestep

#endif
