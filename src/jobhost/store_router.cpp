#include "store_router.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheestep {

namespace {

// After kDirectFailuresToRelay consecutive failures, the direct route is tried
// only once per kDirectRetryPeriod.
constexpr std::uint32_t kDirectFailuresToRelay = 2;
constexpr Duration kDirectRetryPeriod = std::chrono::milliseconds(700);

// If this many consecutive relayed calls fail as well, the store counts as
// unreachable for all hosts.
constexpr std::uint32_t kRelayFailuresToNoRoute = 2;

// The time between probes while no route works. Every kProbesPerRelayProbe-th
// probe goes through a relay, the others use the direct route.
constexpr Duration kProbePeriod = std::chrono::milliseconds(100);
constexpr std::uint32_t kProbesPerRelayProbe = 4;

// A relay whose reply has been outstanding for longer than kReplyOverdueAfter
// is skipped. A relay that sent no reply before the call's timeout gets no
// calls for kRelayExclusion.
constexpr Duration kReplyOverdueAfter = std::chrono::milliseconds(250);
constexpr Duration kRelayExclusion = std::chrono::seconds(2);

bool IsFailure(RowStatus aStatus)
{
  return aStatus == RowStatus::kRefused || aStatus == RowStatus::kUnknown;
}

StoreCallRoute DirectRoute()
{
  StoreCallRoute route;
  route.m_kind = StoreCallRoute::Kind::kDirect;
  return route;
}

} // namespace

void StoreRouter::SetRelays(std::vector<std::string> aAddresses)
{
  if (!aAddresses.empty()) {
    m_relays = std::move(aAddresses);
  }
}

StoreCallRoute StoreRouter::Choose(StoreCallKind aKind, TimePoint aNow)
{
  switch (Reachability(aNow)) {
    case StoreReachability::kDirect:
      return DirectRoute();
    case StoreReachability::kNoRoute:
      return Probe(aKind, aNow);
    case StoreReachability::kRelay:
      break;
  }
  if (aNow < m_nextDirectAttemptTime) {
    return RelayRoute(aNow);
  }
  // This call tests the direct route.
  m_nextDirectAttemptTime = aNow + kDirectRetryPeriod;
  StoreCallRoute route = DirectRoute();
  route.m_probeFirst = aKind == StoreCallKind::kWrite;
  return route;
}

StoreCallRoute StoreRouter::ChooseAfterRefusal(TimePoint aNow)
{
  return Reachability(aNow) == StoreReachability::kNoRoute ? StoreCallRoute()
                                                           : RelayRoute(aNow);
}

bool StoreRouter::MayServeRelayedCall(StoreCallKind aKind, TimePoint aNow)
{
  if (!IsDirectFailing()) {
    return true;
  }
  if (aKind == StoreCallKind::kWrite || aNow < m_nextDirectAttemptTime) {
    return false;
  }
  m_nextDirectAttemptTime = aNow + kDirectRetryPeriod;
  return true;
}

void StoreRouter::RecordDirectResult(RowStatus aStatus, TimePoint aNow)
{
  if (!IsFailure(aStatus)) {
    m_directFailures = 0;
    m_relayFailures = 0;
    return;
  }
  ++m_directFailures;
  if (m_directFailures == kDirectFailuresToRelay) {
    m_nextDirectAttemptTime = aNow + kDirectRetryPeriod;
  }
}

void StoreRouter::RecordRelayCallSent(const std::string& aRelay, TimePoint aNow)
{
  RelayState& relay = m_relayStates[aRelay];
  if (!relay.m_awaitsReply) {
    relay.m_awaitsReply = true;
    relay.m_awaitsReplySince = aNow;
  }
}

void StoreRouter::RecordRelayResult(const std::string& aRelay,
                                    RowStatus aStatus,
                                    bool aReplied,
                                    TimePoint aNow)
{
  RelayState& relay = m_relayStates[aRelay];
  relay.m_awaitsReply = false;
  if (aReplied && !IsFailure(aStatus)) {
    m_relayFailures = 0;
    return;
  }
  ++m_nextRelayIndex;
  if (aReplied) {
    ++m_relayFailures;
  } else {
    // A missing reply says nothing about the store, so it is no relay failure.
    relay.m_excludedUntil = aNow + kRelayExclusion;
  }
}

StoreReachability StoreRouter::Reachability(TimePoint aNow) const
{
  if (!IsDirectFailing()) {
    return StoreReachability::kDirect;
  }
  const auto usable = static_cast<std::uint32_t>(
    std::count_if(m_relays.begin(), m_relays.end(), [&](const auto& aRelay) {
      return IsUsable(aRelay, aNow);
    }));
  return m_relayFailures >= std::min(usable, kRelayFailuresToNoRoute)
           ? StoreReachability::kNoRoute
           : StoreReachability::kRelay;
}

bool StoreRouter::IsDirectFailing() const
{
  return m_directFailures >= kDirectFailuresToRelay;
}

bool StoreRouter::IsUsable(const std::string& aRelay, TimePoint aNow) const
{
  const auto found = m_relayStates.find(aRelay);
  if (found == m_relayStates.end()) {
    return true;
  }
  const RelayState& relay = found->second;
  const bool slow =
    relay.m_awaitsReply && aNow - relay.m_awaitsReplySince > kReplyOverdueAfter;
  return !slow && relay.m_excludedUntil <= aNow;
}

std::string StoreRouter::NextRelay(TimePoint aNow) const
{
  for (std::size_t i = 0; i < m_relays.size(); ++i) {
    const std::string& relay =
      m_relays[(m_nextRelayIndex + i) % m_relays.size()];
    if (IsUsable(relay, aNow)) {
      return relay;
    }
  }
  return "";
}

StoreCallRoute StoreRouter::RelayRoute(TimePoint aNow) const
{
  StoreCallRoute route;
  route.m_relay = NextRelay(aNow);
  route.m_kind = route.m_relay.empty() ? StoreCallRoute::Kind::kWithheld
                                       : StoreCallRoute::Kind::kRelay;
  return route;
}

StoreCallRoute StoreRouter::Probe(StoreCallKind aKind, TimePoint aNow)
{
  if (aNow < m_nextProbeTime) {
    return StoreCallRoute();
  }
  m_nextProbeTime = aNow + kProbePeriod;
  ++m_probeCount;
  const bool byRelay =
    m_probeCount % kProbesPerRelayProbe == 0 && !NextRelay(aNow).empty();
  StoreCallRoute route = byRelay ? RelayRoute(aNow) : DirectRoute();
  route.m_probeFirst = aKind == StoreCallKind::kWrite;
  return route;
}

} // namespace lycheestep
