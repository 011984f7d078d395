#include "leader_election.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "job_rows.h"
#include "jobs.pb.h"
#include "leader_row.h"

namespace lycheestep {

namespace {

// A host reads the leader's row if no heartbeat came for kElectionTimeout plus
// kDelayPerRank multiplied by the host's rank among the successors.
constexpr Duration kElectionTimeout = std::chrono::milliseconds(550);
constexpr Duration kDelayPerRank = std::chrono::milliseconds(120);
constexpr std::size_t kMaxRank = 10;

// The lowest rank number of a host that the leader does not list as a
// successor. The leader lists five.
constexpr std::size_t kMinUnlistedRank = 5;

// Any host may take the lead if the leader's row was not renewed for this long.
// A slow store slows down renewals as well, as each takes about as long as the
// read, so the latency of the read, multiplied by kReadLatencyFactor, is added.
constexpr Duration kStaleRowAge = std::chrono::milliseconds(1000);
constexpr int kReadLatencyFactor = 4;

// A leader that works renews its row in this time.
constexpr Duration kMaxRenewalPeriod = std::chrono::milliseconds(300);

// Delay between reads of the leader's row while no heartbeat comes.
constexpr Duration kRereadDelay = std::chrono::milliseconds(200);

// Delay of the next read after the first one that succeeds after an outage of
// the store. That first read does not count, as the outage made the row old.
constexpr Duration kRereadDelayAfterOutage = std::chrono::milliseconds(400);

// A target's clock may be this many thousandths slow. The margin covers the
// leader's copy of the store's clock, which is outdated by the time that the
// store's answer took.
constexpr std::int64_t kMaxClockDriftPerMille = 21;
constexpr Duration kLeaseMargin = std::chrono::seconds(1);

} // namespace

LeaderRecord DecodeLeaderRow(const RowAnswer& aAnswer)
{
  LeaderRecord record;
  record.m_storeClock = aAnswer.m_storeClock;
  record.m_clockKnown = aAnswer.m_storeClock != Duration::zero();
  proto::LeaderRow row;
  const bool found = !aAnswer.m_rows.empty() &&
                     aAnswer.m_rows.front().m_key.m_key == LeaderKey().m_key;
  if (!found) {
    return record;
  }
  record.m_version = aAnswer.m_rows.front().m_version;
  const bool parsed = row.ParseFromString(aAnswer.m_rows.front().m_value);
  if (!parsed || row.lease_ms() == 0) {
    record.m_readable = false;
    record.m_renewalAge = Duration::max(); // no leader renews such a row
    record.m_lease = kLeaderLease;
    record.m_validity = kLeaderValidity;
    return record;
  }
  const LeaderRowHolder holder = HolderOf(row);
  record.m_host = holder.m_host;
  record.m_incarnation = holder.m_incarnation;
  record.m_released = holder.m_released;
  record.m_renewalAge = aAnswer.m_storeClock - holder.m_renewed;
  record.m_lease = std::chrono::milliseconds(row.lease_ms());
  record.m_validity = std::chrono::milliseconds(row.validity_ms());
  record.m_formerLeases = std::chrono::milliseconds(row.former_leases_ms());
  return record;
}

LeaderElection::LeaderElection(std::string aHost, std::uint64_t aIncarnation)
  : m_host(std::move(aHost))
  , m_incarnation(aIncarnation)
{
}

void LeaderElection::Begin(TimePoint aNow, Duration aFirstDelay)
{
  m_rank = m_rankAmongHosts;
  m_ranked = false;
  m_isListed = false;
  m_higherRanksHadTime = false;
  m_nextReadTime = aNow + aFirstDelay;
}

void LeaderElection::OnHeartbeat(const std::vector<std::string>& aSuccessors,
                                 Duration aRenewedAgo,
                                 bool aReleased,
                                 TimePoint aNow)
{
  const auto own = std::find(aSuccessors.begin(), aSuccessors.end(), m_host);
  const auto place = static_cast<std::size_t>(own - aSuccessors.begin());
  m_rank = own != aSuccessors.end()
             ? std::min(place, kMaxRank)
             : std::clamp(m_rankAmongHosts, kMinUnlistedRank, kMaxRank);
  m_higherRanksHadTime = true; // the wait below gives it to them
  m_isListed = own != aSuccessors.end();
  // The rank of a host that is not listed may be one among few hosts.
  m_ranked = m_ranked && m_isListed;
  m_waitsSince = aNow;
  m_waitsForVersion = 0;
  m_waitsAtRank = m_rank;
  const Duration wait = kDelayPerRank * static_cast<std::int64_t>(m_rank);
  m_nextReadTime =
    aReleased ? aNow + wait : aNow + kElectionTimeout + wait - aRenewedAgo / 2;
}

void LeaderElection::SetHosts(std::vector<ElectionHost> aHosts)
{
  std::sort(aHosts.begin(),
            aHosts.end(),
            [](const ElectionHost& aLeft, const ElectionHost& aRight) {
              return std::tie(aRight.m_processorShare, aLeft.m_name) <
                     std::tie(aLeft.m_processorShare, aRight.m_name);
            });
  const auto own = std::find_if(
    aHosts.begin(), aHosts.end(), [this](const ElectionHost& aHost) {
      return aHost.m_name == m_host;
    });
  const auto place = static_cast<std::size_t>(own - aHosts.begin());
  m_rankAmongHosts = std::min(place, kMaxRank);
  if (!m_isListed) {
    m_rank = m_rankAmongHosts;
  }
  m_ranked = true;
}

bool LeaderElection::OnRowRead(const LeaderRecord& aRecord, TimePoint aNow)
{
  if (!aRecord.m_clockKnown) {
    OnReadFailed(aNow);
    return false;
  }
  if (!m_firstRowLeader) {
    m_firstRowLeader = aRecord.m_incarnation;
  }
  const bool ownFormerProcess = aRecord.m_host == m_host &&
                                aRecord.m_incarnation != m_incarnation &&
                                aRecord.m_incarnation == *m_firstRowLeader;
  const bool vacant = aRecord.m_version == 0 || aRecord.m_released ||
                      aRecord.m_processEnded || ownFormerProcess;
  const bool stale = aRecord.m_renewalAge >
                     kStaleRowAge + aRecord.m_readLatency * kReadLatencyFactor;
  // If the previous read failed, the leader may have been unable to renew its
  // row as well. A stale row is therefore no reason to take the lead at this
  // read. The next read comes after kRereadDelayAfterOutage, which gives the
  // leader time to renew.
  const bool afterOutage = std::exchange(m_readFailed, false);
  m_nextReadTime =
    aNow + (afterOutage ? kRereadDelayAfterOutage : kRereadDelay);
  if (!vacant && !stale) {
    // Whoever leads may still become silent, and all hosts would find the row
    // stale at the same time.
    m_higherRanksHadTime = false;
    return false;
  }
  if (!vacant && afterOutage) {
    return false;
  }
  const std::size_t rank = aRecord.m_readByRelay ? kMaxRank : m_rank;
  const bool isOfLaterLeader = !vacant && IsOfLaterLeader(aRecord, aNow);
  const bool hadTime =
    m_higherRanksHadTime && !isOfLaterLeader && m_waitsAtRank >= rank;
  if (hadTime || rank == 0) {
    return true;
  }
  m_higherRanksHadTime = true;
  m_waitsSince = aNow;
  m_waitsForVersion = aRecord.m_version;
  m_waitsAtRank = rank;
  m_nextReadTime = aNow + kDelayPerRank * static_cast<std::int64_t>(rank);
  return false;
}

bool LeaderElection::IsOfLaterLeader(const LeaderRecord& aRecord,
                                     TimePoint aNow) const
{
  if (m_waitsForVersion != 0) {
    return aRecord.m_version != m_waitsForVersion;
  }
  // The former leader may have renewed once more after its last heartbeat.
  return aRecord.m_renewalAge < aNow - m_waitsSince - kMaxRenewalPeriod;
}

void LeaderElection::OnReadFailed(TimePoint aNow)
{
  m_readFailed = true;
  m_higherRanksHadTime = false;
  m_nextReadTime = aNow + kRereadDelay;
}

void LeaderElection::OnAttemptLost(TimePoint aNow)
{
  m_nextReadTime = aNow + kRereadDelay;
}

Duration LeaderElection::RemainingFormerLease(const LeaderRecord& aRecord)
{
  if (aRecord.m_version == 0) {
    return Duration::zero();
  }
  const Duration lease =
    aRecord.m_lease + aRecord.m_lease * kMaxClockDriftPerMille / 1000;
  const Duration orders =
    aRecord.m_released ? Duration::zero() : aRecord.m_validity;
  // A leader that led for a moment may have expired before the leases of those
  // before it.
  const Duration longest = std::max(orders + lease, aRecord.m_formerLeases);
  const Duration age =
    aRecord.m_readable ? aRecord.m_renewalAge : Duration::zero();
  return longest + kLeaseMargin - std::min(age, longest);
}

} // namespace lycheestep
