#include "store_route.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheestep {

namespace {

// The direct way is left alone after so many failures in a row, for this long.
constexpr std::uint32_t kFailuresToRelay = 2;
constexpr Duration kDirectPause = std::chrono::milliseconds(700);

// So many relays that fail as well mean that the store is away for all.
constexpr std::uint32_t kFailuresToAway = 2;

// Between probes while the store is away; each so many goes by a relay.
constexpr Duration kProbePeriod = std::chrono::milliseconds(100);
constexpr std::uint32_t kProbesPerRelay = 4;

// A relay that has owed an answer for the first of these is passed over, and
// one that never gave it is left out for the second.
constexpr Duration kSlowReply = std::chrono::milliseconds(250);
constexpr Duration kLeftOut = std::chrono::seconds(2);

bool IsFailure(RowStatus aStatus)
{
  return aStatus == RowStatus::kRefused || aStatus == RowStatus::kUnknown;
}

StoreWay DirectWay()
{
  StoreWay way;
  way.m_kind = StoreWay::Kind::kDirect;
  return way;
}

} // namespace

void StoreRoute::SetRelays(std::vector<std::string> aAddresses)
{
  m_relays = std::move(aAddresses);
}

StoreWay StoreRoute::Choose(StoreCallKind aKind, TimePoint aNow)
{
  switch (Reach(aNow)) {
    case StoreReach::kDirect:
      return DirectWay();
    case StoreReach::kAway:
      return Probe(aKind, aNow);
    case StoreReach::kRelay:
      break;
  }
  if (aNow < m_directAgainAt) {
    return RelayWay(aNow);
  }
  m_directAgainAt = aNow + kDirectPause; // this call finds out
  StoreWay way = DirectWay();
  way.m_probeFirst = aKind == StoreCallKind::kWrite;
  return way;
}

StoreWay StoreRoute::ChooseAfterRefusal(TimePoint aNow)
{
  return Reach(aNow) == StoreReach::kAway ? StoreWay() : RelayWay(aNow);
}

bool StoreRoute::MayServe(StoreCallKind aKind, TimePoint aNow)
{
  if (!DirectFails()) {
    return true;
  }
  if (aKind == StoreCallKind::kWrite || aNow < m_directAgainAt) {
    return false;
  }
  m_directAgainAt = aNow + kDirectPause;
  return true;
}

void StoreRoute::NoteDirect(RowStatus aStatus, TimePoint aNow)
{
  if (!IsFailure(aStatus)) {
    m_directFailures = 0;
    m_relayFailures = 0;
    return;
  }
  ++m_directFailures;
  if (m_directFailures == kFailuresToRelay) {
    m_directAgainAt = aNow + kDirectPause;
  }
}

void StoreRoute::NoteRelaySent(const std::string& aRelay, TimePoint aNow)
{
  Relay& relay = m_known[aRelay];
  if (!relay.m_owes) {
    relay.m_owes = true;
    relay.m_owesSince = aNow;
  }
}

void StoreRoute::NoteRelay(const std::string& aRelay,
                           RowStatus aStatus,
                           bool aReplied,
                           TimePoint aNow)
{
  Relay& relay = m_known[aRelay];
  relay.m_owes = false;
  if (aReplied && !IsFailure(aStatus)) {
    m_relayFailures = 0;
    return;
  }
  ++m_firstRelay;
  if (aReplied) {
    ++m_relayFailures;
  } else {
    // Its silence says nothing of the store.
    relay.m_leftOutUntil = aNow + kLeftOut;
  }
}

StoreReach StoreRoute::Reach(TimePoint aNow) const
{
  if (!DirectFails()) {
    return StoreReach::kDirect;
  }
  const auto usable = static_cast<std::uint32_t>(
    std::count_if(m_relays.begin(), m_relays.end(), [&](const auto& aRelay) {
      return IsUsable(aRelay, aNow);
    }));
  return m_relayFailures >= std::min(usable, kFailuresToAway)
           ? StoreReach::kAway
           : StoreReach::kRelay;
}

bool StoreRoute::DirectFails() const
{
  return m_directFailures >= kFailuresToRelay;
}

bool StoreRoute::IsUsable(const std::string& aRelay, TimePoint aNow) const
{
  const auto found = m_known.find(aRelay);
  if (found == m_known.end()) {
    return true;
  }
  const Relay& relay = found->second;
  const bool slow = relay.m_owes && aNow - relay.m_owesSince > kSlowReply;
  return !slow && relay.m_leftOutUntil <= aNow;
}

std::string StoreRoute::NextRelay(TimePoint aNow) const
{
  for (std::size_t i = 0; i < m_relays.size(); ++i) {
    const std::string& relay = m_relays[(m_firstRelay + i) % m_relays.size()];
    if (IsUsable(relay, aNow)) {
      return relay;
    }
  }
  return "";
}

StoreWay StoreRoute::RelayWay(TimePoint aNow) const
{
  StoreWay way;
  way.m_relay = NextRelay(aNow);
  way.m_kind =
    way.m_relay.empty() ? StoreWay::Kind::kWithheld : StoreWay::Kind::kRelay;
  return way;
}

StoreWay StoreRoute::Probe(StoreCallKind aKind, TimePoint aNow)
{
  if (aNow < m_probeAt) {
    return StoreWay();
  }
  m_probeAt = aNow + kProbePeriod;
  ++m_probes;
  const bool byRelay =
    m_probes % kProbesPerRelay == 0 && !NextRelay(aNow).empty();
  StoreWay way = byRelay ? RelayWay(aNow) : DirectWay();
  way.m_probeFirst = aKind == StoreCallKind::kWrite;
  return way;
}

} // namespace lycheestep
