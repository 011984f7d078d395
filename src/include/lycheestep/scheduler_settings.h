#ifndef LYCHEESTEP_SCHEDULER_SETTINGS_H
#define LYCHEESTEP_SCHEDULER_SETTINGS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Another entry host as the settings name it.
struct PeerAddress
{
  EntryId m_id;
  DataCentreName m_dataCentre;
  // "tcp://127.0.0.1:7001".
  std::string m_address;
};

// The settings of the decision core of one entry host. The defaults keep the
// control budget of 10 KB/s at 100 targets and two hosts a data centre.
struct SchedulerSettings
{
  EntryId m_entry;
  DataCentreName m_dataCentre;
  std::string m_peerAddress;
  std::vector<PeerAddress> m_peers;
  // Seeds the random number generator of the core.
  std::uint64_t m_seed = 1;

  // The main part of a grant lasts this long from its last renewal.
  Duration m_mainTerm = std::chrono::seconds(10);
  // The reserve part lasts this long.
  Duration m_reserveTerm = std::chrono::minutes(30);
  // The holder's terms end earlier than a taker's by this much.
  Duration m_termMargin = std::chrono::seconds(2);
  // Time between renewals of the session row.
  Duration m_sessionPeriod = std::chrono::seconds(3);
  // Share of each target that is reserve, in percent.
  int m_reservePercent = 25;

  // A target ends a task that was not renewed for this long.
  Duration m_leaseTerm = std::chrono::seconds(90);
  // Time between renewals at one target.
  Duration m_leasePeriod = std::chrono::seconds(20);
  // Added to a lapsed lease before its task may start elsewhere.
  Duration m_leaseMargin = std::chrono::seconds(5);

  // Time between reads of the platform's host list and of the catalogue row.
  Duration m_hostListPeriod = std::chrono::seconds(2);
  Duration m_cataloguePeriod = std::chrono::seconds(5);
  // Time between heartbeats to peers; a peer not heard of for
  // m_peerTimeout gets no forwarded work.
  Duration m_heartbeatPeriod = std::chrono::seconds(2);
  Duration m_peerTimeout = std::chrono::seconds(7);

  // Records wait this long for others to share their table write.
  Duration m_commitDelay = std::chrono::milliseconds(5);
  // Most records in one table write.
  std::size_t m_commitBatch = 100;
  // Finished records and answers are kept this long.
  Duration m_recordRetention = std::chrono::hours(1);

  // Waiting requests of all kinds at this host.
  std::size_t m_queueLimit = 20000;
  // Times a request may be forwarded.
  int m_hopLimit = 1;
  // Targets looked at for one placement.
  std::size_t m_candidateSample = 16;
  // A graceful stop ends after this long at the latest.
  Duration m_stopLimit = std::chrono::seconds(30);
};

} // namespace lycheestep

#endif
