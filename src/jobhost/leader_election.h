#ifndef LYCHEESTEP_LEADER_ELECTION_H
#define LYCHEESTEP_LEADER_ELECTION_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The content of the leader's row in the store, as one read found it.
struct LeaderRecord
{
  // The row's version; zero if the store has no such row.
  std::uint64_t m_version = 0;
  std::string m_host;
  // Identifies the leader's process.
  std::uint64_t m_incarnation = 0;
  // True if the leader has given up the lead.
  bool m_released = false;
  // Time since the leader last renewed, by the store's clock.
  Duration m_renewalAge = Duration::zero();
  // False if the row cannot be read, so that it says nothing of the renewal.
  bool m_readable = true;
  // The longest lease that the leader gives to a target.
  Duration m_lease = Duration::zero();
  // How long the leader may send orders after a renewal.
  Duration m_validity = Duration::zero();
  // The time after the renewal until the leases of all leaders before this one
  // have expired.
  Duration m_formerLeases = Duration::zero();
  // The store's clock when it answered the read, and when that was by this
  // host's clock.
  Duration m_storeClock = Duration::zero();
  TimePoint m_readAt;
  // False if the answer does not tell the store's clock, so that it says
  // nothing of the row's age.
  bool m_clockKnown = true;
  // Time that the store took to answer the read.
  Duration m_readLatency = Duration::zero();
  // True if the reader needs a relay to reach the store.
  bool m_readByRelay = false;
  // True if a probe of the leader's address showed that its process has ended.
  bool m_processEnded = false;
};

// Decodes the store's answer to a read of the leader's row. A row that cannot
// be read gets the largest renewal age, so that any host may replace it.
LeaderRecord DecodeLeaderRow(const RowAnswer& aAnswer);

// A host that may lead, as described by its row in the store.
struct ElectionHost
{
  std::string m_name;
  double m_processorShare = 0;
};

// Decides when a host that does not lead reads the leader's row, and whether it
// tries to take the lead then. Heartbeats of a leader that renews postpone the
// read. The row in the store decides who leads, so that a wrong suspicion costs
// only a read. Performs no I/O and reads no clock.
class LeaderElection
{
public:
  LeaderElection(std::string aHost, std::uint64_t aIncarnation);

  // Starts to follow the election without a known leader. The first read of the
  // row is due after aFirstDelay.
  void Begin(TimePoint aNow, Duration aFirstDelay);

  // Handles a heartbeat of the leader, which last renewed aRenewedAgo ago and
  // lists its successors in the order in which they may take the lead. If
  // aReleased, the leader has given up the lead.
  void OnHeartbeat(const std::vector<std::string>& aSuccessors,
                   Duration aRenewedAgo,
                   bool aReleased,
                   TimePoint aNow);

  // Ranks this host among the hosts that have a row in the store: hosts with a
  // larger processor share try to take the lead first, as a small host may need
  // longer to read the stored jobs than a silent leader keeps the lead.
  void SetHosts(std::vector<ElectionHost> aHosts);
  bool IsRanked() const { return m_ranked; }

  // Returns true if a read of the leader's row is due.
  bool ShouldReadRow(TimePoint aNow) const { return aNow >= m_nextReadTime; }
  TimePoint NextReadTime() const { return m_nextReadTime; }

  // Handles a read of the leader's row. Returns true if this host has to try to
  // take the lead. If hosts of a higher rank may not have read the row yet,
  // they are given time, and a second read decides.
  bool OnRowRead(const LeaderRecord& aRecord, TimePoint aNow);

  // Handles a failed read of the leader's row.
  void OnReadFailed(TimePoint aNow);

  // Handles a failed attempt to take the lead: another host took it first.
  void OnAttemptLost(TimePoint aNow);

  // Returns how long after the read of aRecord leases of former leaders may
  // still be valid. Zero if there was no leader.
  static Duration RemainingFormerLease(const LeaderRecord& aRecord);

private:
  // Returns true if the row is that of a leader which came after this host had
  // begun to give time to hosts of a higher rank.
  bool IsOfLaterLeader(const LeaderRecord& aRecord, TimePoint aNow) const;

  const std::string m_host;
  const std::uint64_t m_incarnation;
  // This host's index in the list of successors of the last heartbeat; for a
  // host that is not listed, its rank among all hosts.
  std::size_t m_rank = 0;
  std::size_t m_rankAmongHosts = 0;
  bool m_ranked = false;
  // True if the last heartbeat listed this host as a successor.
  bool m_isListed = false;
  // True once hosts of a higher rank have been given time to take the lead.
  bool m_higherRanksHadTime = false;
  // When this host last began to give it to them, and the version of the stale
  // row that was the reason; zero if it was the end of the heartbeats. The rank
  // for which it waits.
  TimePoint m_waitsSince;
  std::size_t m_waitsAtRank = 0;
  std::uint64_t m_waitsForVersion = 0;
  TimePoint m_nextReadTime;
  // The process that the first row named. If it has this host's name, this
  // process took its place; one that leads later may have taken this one's.
  std::optional<std::uint64_t> m_firstRowLeader;
  // True if the last read of the leader's row failed.
  bool m_readFailed = false;
};

} // namespace lycheestep

#endif
