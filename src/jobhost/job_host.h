#ifndef LYCHEESTEP_JOB_HOST_H
#define LYCHEESTEP_JOB_HOST_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "advice_worker.h"
#include "commit_writer.h"
#include "config_holder.h"
#include "event_log.h"
#include "job_request_handler.h"
#include "leader.h"
#include "leader_election.h"
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

// What surrounds a host; behind interfaces, so that the platform's protocols
// stay outside. All outlive the host.
struct HostDependencies
{
  RowStore& m_store;
  TargetOrders& m_orders;
  // Null where the platform has no advisor.
  Advisor* m_advisor;
  const PlatformDocuments& m_documents;
};

// One host of the system: serves callers at all times, follows the
// configuration, asks the advisor for whichever host leads, and leads itself
// when no other host does. All hosts are the same.
class JobHost
{
public:
  JobHost(const JobHostSettings& aSettings,
          const HostDependencies& aDependencies);
  ~JobHost();
  JobHost(const JobHost&) = delete;
  JobHost& operator=(const JobHost&) = delete;

  // False when the address for peers is taken.
  bool Start();

  // Hands leading over and takes no part any more; callers are still served.
  // Waits until that is done, for a second or two at most.
  void StopLeading();

  JobRequestHandler& RequestHandler() { return m_requestHandler; }
  const ConfigHolder& Config() const { return m_config; }
  EventLog& Log() { return m_log; }
  const MetricsSink& Metrics() const { return m_metrics; }

  // True when the host has a configuration and has reached the store lately.
  bool CanServe() const;

private:
  void RunControlLoop();
  void TryToLead();
  void BecomeLeader(const LeaderRecord& aReading);
  void StepDown(const char* aReason);
  void DeleteFinishedLeaders();
  void Register();
  void Unregister();
  void OnConfigRows(const std::vector<Row>& aRows);
  void OnPeerMessage(const proto::JobPeerMessage& aMessage);
  void OnHeartbeat(const proto::JobPeerMessage& aMessage);
  void AnswerHeartbeat(const std::string& aLeaderAddress);
  void ServeAdviceCall(const proto::JobPeerMessage& aMessage);
  void ServeStoreCall(const proto::JobPeerMessage& aMessage);
  LeaderDependencies MakeLeaderDependencies(std::uint64_t aTerm);

  const JobHostSettings m_settings;
  const HostDependencies m_dependencies;
  const std::uint64_t m_incarnation;
  MetricsRegistry m_metrics;
  EventLog m_log;
  ConfigHolder m_config;
  RelayedStore m_store;
  JobRequestHandler m_requestHandler;
  TaskQueue m_queue;
  AdviceWorker m_advice;
  // Carries out other hosts' calls to the store.
  WorkerPool m_storeRelayPool;
  // Carries orders to targets for the host that leads.
  OrderCarrier m_carrier;
  PeerMessenger m_peers;
  CommitWriter m_writer;
  std::unique_ptr<TableWatch> m_configWatch;

  // Used by the control thread only.
  LeaderElection m_election;
  std::unique_ptr<Leader> m_leader;
  std::uint64_t m_term = 0;
  std::vector<std::unique_ptr<Leader>> m_retiredLeaders;
  bool m_leadershipDisabled = false;
  bool m_registered = false;
  std::uint32_t m_heartbeatCount = 0;
  // Incarnation of the leader that was heard of last, and where it listens.
  std::uint64_t m_leaderIncarnation = 0;
  std::string m_leaderAddress;

  std::thread m_thread;
};

} // namespace lycheestep

#endif
