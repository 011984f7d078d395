#ifndef LYCHEESTEP_LEADER_ELECTION_H
#define LYCHEESTEP_LEADER_ELECTION_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// What the leader's row said when it was read.
struct LeaderRecord
{
  // Zero: there is no row.
  std::uint64_t m_version = 0;
  std::string m_host;
  std::uint64_t m_incarnation = 0;
  bool m_released = false;
  // How long ago the leader renewed, by the store's clock.
  Duration m_renewalAge = Duration::zero();
  Duration m_lease = Duration::zero();
  Duration m_validity = Duration::zero();
  Duration m_storeClock = Duration::zero();
  // How long the store took for the read.
  Duration m_readLatency = Duration::zero();
  // The leader's process is known to have ended.
  bool m_processEnded = false;
};

// What the store's answer to a read of the leader's row says.
LeaderRecord DecodeLeaderRow(const RowAnswer& aAnswer);

// When a host that does not lead looks whether somebody does, and when it may
// try to lead. Heartbeats of a leader that renews keep it quiet; the row in
// the store decides, so a wrong suspicion changes nothing. Pure.
class LeaderElection
{
public:
  LeaderElection(std::string aHost, std::uint64_t aIncarnation);

  // Starts to watch: nobody has been heard of yet.
  void Begin(TimePoint aNow, Duration aFirstDelay);

  // The leader said that it renewed aRenewedAgo ago, and who follows it.
  void OnHeartbeat(const std::vector<std::string>& aSuccessors,
                   Duration aRenewedAgo,
                   bool aReleased,
                   TimePoint aNow);

  // True when the leader's row has to be read now.
  bool ShouldReadRow(TimePoint aNow) const { return aNow >= m_nextReadTime; }
  TimePoint NextReadTime() const { return m_nextReadTime; }

  // The row was read; true when this host is to try to lead.
  bool OnRowRead(const LeaderRecord& aRecord, TimePoint aNow);

  // The row could not be read.
  void OnReadFailed(TimePoint aNow);

  // Another host was faster.
  void OnAttemptLost(TimePoint aNow);

  // From aNow on, when leases that the former leader gave are surely over.
  static Duration RemainingFormerLease(const LeaderRecord& aRecord);

private:
  const std::string m_host;
  const std::uint64_t m_incarnation;
  // Place among the successors that the leader named last.
  std::size_t m_successorRank = 0;
  TimePoint m_nextReadTime;
  // The last look did not reach the store.
  bool m_readFailed = false;
};

} // namespace lycheestep

#endif
