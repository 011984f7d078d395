#include "leader_election.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "job_rows.h"
#include "jobs.pb.h"

namespace lycheestep {

namespace {

// A leader that was not heard of for this long is looked after; each place
// further down the line waits longer.
constexpr Duration kElectionTimeout = std::chrono::milliseconds(550);
constexpr Duration kDelayPerRank = std::chrono::milliseconds(120);
constexpr std::size_t kMaxRank = 10;

// Who is not among the successors waits as if it were this far down.
constexpr std::size_t kUnlistedRank = 4;

// A row that was not renewed for this long is anybody's. A store that answers
// slowly slows renewals as well: each takes as long as the read did.
constexpr Duration kStaleRowAge = std::chrono::milliseconds(1000);
constexpr int kReadLatencyFactor = 4;

// Between looks while the leader stays silent.
constexpr Duration kRereadDelay = std::chrono::milliseconds(200);

// The first look after the store was away only says that it is back.
constexpr Duration kRereadDelayAfterOutage = std::chrono::milliseconds(400);

// A target's clock may be this many thousandths slow. The leader's reading of
// the store's clock is as old as the store's answer was slow.
constexpr std::int64_t kMaxClockDriftPerMille = 21;
constexpr Duration kLeaseMargin = std::chrono::seconds(1);

} // namespace

LeaderRecord DecodeLeaderRow(const RowAnswer& aAnswer)
{
  LeaderRecord reading;
  reading.m_storeClock = aAnswer.m_storeClock;
  proto::LeaderRow row;
  const bool found = !aAnswer.m_rows.empty() &&
                     aAnswer.m_rows.front().m_key.m_key == LeaderKey().m_key;
  if (!found) {
    return reading;
  }
  reading.m_version = aAnswer.m_rows.front().m_version;
  if (!row.ParseFromString(aAnswer.m_rows.front().m_value)) {
    reading.m_renewalAge = Duration::max(); // nobody renews what can't be read
    return reading;
  }
  reading.m_host = row.host();
  reading.m_incarnation = row.incarnation();
  reading.m_released = row.released();
  reading.m_renewalAge =
    aAnswer.m_storeClock - std::chrono::milliseconds(row.renewed_ms());
  reading.m_lease = std::chrono::milliseconds(row.lease_ms());
  reading.m_validity = std::chrono::milliseconds(row.validity_ms());
  return reading;
}

LeaderElection::LeaderElection(std::string aHost, std::uint64_t aIncarnation)
  : m_host(std::move(aHost))
  , m_incarnation(aIncarnation)
{
}

void LeaderElection::Begin(TimePoint aNow, Duration aFirstDelay)
{
  m_successorRank = kUnlistedRank;
  m_nextReadTime = aNow + aFirstDelay;
}

void LeaderElection::OnHeartbeat(const std::vector<std::string>& aSuccessors,
                                 Duration aRenewedAgo,
                                 bool aReleased,
                                 TimePoint aNow)
{
  const auto own = std::find(aSuccessors.begin(), aSuccessors.end(), m_host);
  const auto place = static_cast<std::size_t>(own - aSuccessors.begin());
  m_successorRank =
    own == aSuccessors.end() ? kUnlistedRank : std::min(place, kMaxRank);
  const Duration wait =
    kDelayPerRank * static_cast<std::int64_t>(m_successorRank);
  m_nextReadTime =
    aReleased ? aNow + wait : aNow + kElectionTimeout + wait - aRenewedAgo / 2;
}

bool LeaderElection::OnRowRead(const LeaderRecord& aRecord, TimePoint aNow)
{
  const bool ownFormerLife =
    aRecord.m_host == m_host && aRecord.m_incarnation != m_incarnation;
  const bool given = aRecord.m_version == 0 || aRecord.m_released ||
                     aRecord.m_processEnded || ownFormerLife;
  const bool stale = aRecord.m_renewalAge >
                     kStaleRowAge + aRecord.m_readLatency * kReadLatencyFactor;
  // A store that was away made every row old: the leader renews first.
  const bool storeWasAway = std::exchange(m_readFailed, false);
  m_nextReadTime =
    aNow + (storeWasAway ? kRereadDelayAfterOutage : kRereadDelay);
  return given || (stale && !storeWasAway);
}

void LeaderElection::OnReadFailed(TimePoint aNow)
{
  m_readFailed = true;
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
  const Duration age = std::min<Duration>(aRecord.m_renewalAge, orders + lease);
  return orders + lease + kLeaseMargin - age;
}

} // namespace lycheestep
