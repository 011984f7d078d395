#ifndef LYCHEESTEP_PLAYED_PROCESS_H
#define LYCHEESTEP_PLAYED_PROCESS_H

#include <atomic>
#include <cstdint>
#include <future>
#include <optional>
#include <string>

#include "commit_writer.h"
#include "event_log.h"
#include "lead_claim.h"
#include "leader_election.h"
#include "lycheestep/metrics_sink.h"
#include "played_store.h"

namespace lycheestep {

// The lease that leaders of the play give, and how long they send orders after
// a renewal.
constexpr Duration kPlayedLease = std::chrono::seconds(8);
constexpr Duration kPlayedValidity = std::chrono::seconds(4);

// How a process reaches the store.
enum class Weather
{
  kCalm,
  kLosing,
  kLate,
  kRefusing,
  kSuspended,
};

// A process of the play: its way to the store, its part in elections and its
// writer, and what it knows of its lead.
struct PlayedProcess
{
  PlayedProcess(const std::string& aName,
                std::uint64_t aIncarnation,
                EventLog& aLog,
                MetricsSink& aMetrics)
    : m_election(aName, aIncarnation)
    , m_writer(
        LeaderIdentity{ aName, aIncarnation, kPlayedLease, kPlayedValidity },
        m_store,
        aLog,
        aMetrics,
        [this](std::uint64_t /*aTerm*/,
               std::uint64_t aVersion,
               Duration /*aStoreClock*/) { m_token = aVersion; },
        [this](std::uint64_t /*aTerm*/) { m_lost = true; },
        [](std::uint64_t /*aTerm*/) {})
  {
  }

  ~PlayedProcess()
  {
    m_store.Close();
    if (m_acquiring.valid()) {
      m_acquiring.wait();
    }
  }
  PlayedProcess(const PlayedProcess&) = delete;
  PlayedProcess& operator=(const PlayedProcess&) = delete;

  PlayedStore m_store;
  LeaderElection m_election;
  std::atomic<std::uint64_t> m_token{ 0 };
  std::atomic<bool> m_lost{ false };
  Weather m_weather = Weather::kCalm;
  TimePoint m_weatherUntil;
  std::optional<LeaderRecord> m_read;
  TimePoint m_readSent;
  TimePoint m_readHandledAt;
  LeadClaim m_claim;
  std::future<bool> m_acquiring;
  // The index of the term in which it leads.
  std::optional<std::size_t> m_term;
  TimePoint m_nextRenewal;
  CommitWriter m_writer;
};

} // namespace lycheestep

#endif
