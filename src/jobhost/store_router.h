#ifndef LYCHEESTEP_STORE_ROUTER_H
#define LYCHEESTEP_STORE_ROUTER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// How a host reaches the store just now.
enum class StoreReachability
{
  kDirect,  // by its own connections
  kRelay,   // by route of other hosts only
  kNoRoute, // not at all: neither itself nor the hosts that it asked
};

// What a call to the store does: one without answer that writes leaves its
// caller in doubt, one that reads does no harm.
enum class StoreCallKind
{
  kRead,
  kWrite,
};

// The route that one call takes.
struct StoreCallRoute
{
  enum class Kind
  {
    kDirect,
    kRelay,
    kWithheld, // not sent at all, so surely without effect
  };

  Kind m_kind = Kind::kWithheld;
  // The host that is asked, for kRelay.
  std::string m_relay;
  // This route is uncertain: a write makes a small read first, and chooses anew
  // when that was answered.
  bool m_probeFirst = false;
};

// Decides which route each call to the store takes, from how earlier ones
// ended. Answers a store that is unreachable for some hosts or for all, for
// seconds, while callers wait: a call goes where it is likely to be answered;
// when nobody reaches the store, calls are withheld but for one probe every now
// and then, so that an outage costs few calls and leaves no write in doubt, and
// its end is noticed within a probe's period. Reads no clock and opens no
// connection.
class StoreRouter
{
public:
  // Hosts that can be asked, in the order in which they are tried.
  void SetRelays(std::vector<std::string> aAddresses);

  // The route of a new call.
  StoreCallRoute Choose(StoreCallKind aKind, TimePoint aNow);

  // The route of a call that was refused on the direct route just now.
  StoreCallRoute ChooseAfterRefusal(TimePoint aNow);

  // True if this host may carry out a call of another host.
  bool MayServeRelayedCall(StoreCallKind aKind, TimePoint aNow);

  // How a call on the direct route ended.
  void RecordDirectResult(RowStatus aStatus, TimePoint aNow);

  // A call that a relay answers without delay was sent to it.
  void RecordRelayCallSent(const std::string& aRelay, TimePoint aNow);

  // How a call by route of a relay ended; aReplied is false when the relay said
  // nothing in time.
  void RecordRelayResult(const std::string& aRelay,
                         RowStatus aStatus,
                         bool aReplied,
                         TimePoint aNow);

  StoreReachability Reachability(TimePoint aNow) const;
  std::size_t RelayCount() const { return m_relays.size(); }

private:
  struct RelayState
  {
    // Not asked before.
    TimePoint m_excludedUntil;
    // It owes an answer since.
    bool m_awaitsReply = false;
    TimePoint m_awaitsReplySince;
  };

  bool IsDirectFailing() const;
  bool IsUsable(const std::string& aRelay, TimePoint aNow) const;
  // Empty when none is usable.
  std::string NextRelay(TimePoint aNow) const;
  StoreCallRoute RelayRoute(TimePoint aNow) const;
  StoreCallRoute Probe(StoreCallKind aKind, TimePoint aNow);

  std::vector<std::string> m_relays;
  std::size_t m_nextRelayIndex = 0;
  std::map<std::string, RelayState> m_relayStates;
  // Failures in a row, on the direct route and of relays.
  std::uint32_t m_directFailures = 0;
  std::uint32_t m_relayFailures = 0;
  TimePoint m_nextDirectAttemptTime;
  TimePoint m_nextProbeTime;
  std::uint32_t m_probeCount = 0;
};

} // namespace lycheestep

#endif
