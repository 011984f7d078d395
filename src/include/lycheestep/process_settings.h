#ifndef LYCHEESTEP_PROCESS_SETTINGS_H
#define LYCHEESTEP_PROCESS_SETTINGS_H

#include <cstddef>
#include <string>

#include "lycheestep/scheduler_settings.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// All settings of one entry host process.
struct ProcessSettings
{
  // The decision core.
  SchedulerSettings m_scheduler;

  // Where callers and operators reach this process: "127.0.0.1", 8080.
  std::string m_httpHost = "127.0.0.1";
  int m_httpPort = 8080;
  // Bearer token of operators.
  std::string m_operatorToken;
  // Threads that serve HTTP, and requests that may wait for an answer.
  std::size_t m_httpThreads = 16;
  std::size_t m_callerLimit = 10000;
  // Largest body of a request or answer, in bytes.
  std::size_t m_bodyLimit = 1048576;

  // "http://127.0.0.1:9000": table, object store and host list.
  std::string m_platformUrl;
  // Time limits of one call to the platform and to a target.
  Duration m_platformTimeout = std::chrono::seconds(2);
  Duration m_targetTimeout = std::chrono::seconds(2);
  std::size_t m_platformThreads = 4;
  std::size_t m_targetThreads = 16;

  // Key shared by all entry hosts; authenticates peers.
  std::string m_peerKey;
  // Largest frame taken from a peer, in bytes, and most frames a second.
  std::size_t m_peerFrameLimit = 1048576;
  std::size_t m_peerFrameRate = 1000;

  // "debug", "info", "warn" or "error".
  std::string m_logLevel = "info";
  // True writes each line as a JSON object.
  bool m_logJson = false;
  // Events that may wait for the control thread.
  std::size_t m_eventQueueLimit = 65536;
};

} // namespace lycheestep

#endif
