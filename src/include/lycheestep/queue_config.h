#ifndef LYCHEESTEP_QUEUE_CONFIG_H
#define LYCHEESTEP_QUEUE_CONFIG_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lycheestep/job_spec.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// What asking which targets may run a step costs and yields.
struct AdviceTerms
{
  // False: every target of the service may run the queue's steps.
  bool m_required = false;
  // The advisor needs the first once a call and the second for each target.
  Duration m_perCall = Duration::zero();
  Duration m_perTarget = Duration::zero();
  // How long a ticket can be used.
  Duration m_ticketLife = Duration::zero();
};

// One queue of the configuration.
struct QueueConfig
{
  QueueName m_name;
  // Callers name the queue by their Host header and the path's beginning.
  std::string m_hostHeader;
  std::string m_pathPrefix;
  ServiceName m_service;
  // Zero goes first.
  std::uint32_t m_priority = 0;
  // Runs of one task that may fail before its job fails.
  std::uint32_t m_maxAttempts = 1;
  // A job is in time within m_slackFactor times its longest chain of work
  // and m_latencyTarget.
  double m_slackFactor = 1;
  Duration m_latencyTarget = Duration::zero();
  AdviceTerms m_advice;
};

// One service of the configuration.
struct ServiceConfig
{
  ServiceName m_name;
  // Its targets turn away what does not fit; the scheduler relies on its own
  // accounts either way.
  bool m_targetsCheckRoom = false;
};

// Limits on callers' requests.
struct RequestLimits
{
  std::size_t m_bodyBytes = 262144;
};

// The operators' configuration. A host applies only greater versions.
struct ClusterConfig
{
  std::uint64_t m_version = 0;
  std::vector<QueueConfig> m_queues;
  std::vector<ServiceConfig> m_services;
  RequestLimits m_limits;
};

} // namespace lycheestep

#endif
