#ifndef LYCHEESTEP_JOB_HOST_SETTINGS_H
#define LYCHEESTEP_JOB_HOST_SETTINGS_H

#include <optional>
#include <string>

#include "lycheestep/network_address.h"
#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Where a server listens, or is reached.
struct HostAddress
{
  std::string m_host;
  int m_port = 0;

  std::string Text() const { return m_host + ":" + std::to_string(m_port); }
};

// All settings of one host that schedules jobs on the users' platform.
struct JobHostSettings
{
  // This host's name, unique among the running ones, and its data centre.
  std::string m_host;
  std::string m_dataCentre;
  // Share of a core that this host has; larger hosts lead first.
  double m_processorShare = 1;

  // Callers' requests, the balancer's checks, peers, and metrics.
  HostAddress m_callers;
  HostAddress m_readiness;
  HostAddress m_peers;
  HostAddress m_metrics;

  // The platform's row store, and its advisor if it has one.
  NetworkAddress m_store;
  std::optional<NetworkAddress> m_advisor;
  // The longest value of a row of the store, in bytes.
  std::size_t m_storeRowBytes = kDefaultRowBytes;

  // The rows of a job are kept this long after its end, so that callers can
  // read its state.
  Duration m_jobRetention = std::chrono::seconds(180);

  // Longest lease that a target grants.
  Duration m_longestLease = std::chrono::seconds(10);
  // From SIGTERM to SIGKILL.
  Duration m_stopGrace = std::chrono::seconds(6);

  // Shared by all hosts; authenticates peers.
  std::string m_peerKey = "lycheestep";
};

} // namespace lycheestep

#endif
