#ifndef LYCHEESTEP_STORE_ROUTER_H
#define LYCHEESTEP_STORE_ROUTER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The routes by which a host can reach the store at a given time.
enum class StoreReachability
{
  kDirect,  // The host's own connections work.
  kRelay,   // Direct calls fail; another host can relay calls.
  kNoRoute, // Direct calls and relayed calls fail.
};

// Whether a call writes to the store. If the answer to a write is lost, its
// caller can't tell whether the write took effect; a read without an answer has
// no such consequence.
enum class StoreCallKind
{
  kRead,
  kWrite,
};

// The route of one call to the store.
struct StoreCallRoute
{
  enum class Kind
  {
    kDirect,
    kRelay,
    kWithheld, // The call is not sent, so it certainly has no effect.
  };

  Kind m_kind = Kind::kWithheld;
  // The address of the relaying host if m_kind is kRelay; empty otherwise.
  std::string m_relay;
  // True if the route may not work and the call is a write: the caller first
  // sends a small read on this route, and chooses the route again if the read
  // succeeded.
  bool m_probeFirst = false;
};

// Chooses the route of each call to the store from the results of earlier
// calls. Callers wait while the store is unreachable, for some hosts or for
// all, for seconds. StoreRouter therefore sends a call on the route that is
// most likely to answer. While no route works, calls are withheld except for
// one probe per probe period: an outage then costs few calls and leaves no
// write with an unknown result, and the next probe detects the end of the
// outage. StoreRouter reads no clock and opens no connection.
class StoreRouter
{
public:
  // Sets the addresses of the hosts that can relay calls, in the order in which
  // they are tried. An empty list changes nothing, as a host that has just
  // become the leader knows of no other hosts yet.
  void SetRelays(std::vector<std::string> aAddresses);

  // Returns the route of a new call.
  StoreCallRoute Choose(StoreCallKind aKind, TimePoint aNow);

  // Returns the route of a call that was just refused on the direct route.
  StoreCallRoute ChooseAfterRefusal(TimePoint aNow);

  // Returns true if this host may execute a call that another host relays to
  // it. While the direct route fails, this host executes no relayed writes, and
  // at most one relayed read per retry period, which serves as the test of the
  // direct route.
  bool MayServeRelayedCall(StoreCallKind aKind, TimePoint aNow);

  // Records the result of a call on the direct route.
  void RecordDirectResult(RowStatus aStatus, TimePoint aNow);

  // Records that a call was sent to a relay. The caller leaves out calls of the
  // change feed, because the relay may wait for a change before it replies.
  void RecordRelayCallSent(const std::string& aRelay, TimePoint aNow);

  // Records the result of a relayed call. aReplied is false if the relay sent
  // no reply before the timeout.
  void RecordRelayResult(const std::string& aRelay,
                         RowStatus aStatus,
                         bool aReplied,
                         TimePoint aNow);

  // Returns the routes that are expected to work at aNow.
  StoreReachability Reachability(TimePoint aNow) const;
  std::size_t RelayCount() const { return m_relays.size(); }

private:
  struct RelayState
  {
    // The relay gets no calls before this time.
    TimePoint m_excludedUntil;
    // Whether a reply is outstanding, and if so since when.
    bool m_awaitsReply = false;
    TimePoint m_awaitsReplySince;
  };

  bool IsDirectFailing() const;
  bool IsUsable(const std::string& aRelay, TimePoint aNow) const;
  // Returns the address of the next usable relay; empty if none is usable.
  std::string NextRelay(TimePoint aNow) const;
  StoreCallRoute RelayRoute(TimePoint aNow) const;
  // Returns the route of a probe if one is due, and withholds the call
  // otherwise.
  StoreCallRoute Probe(StoreCallKind aKind, TimePoint aNow);

  std::vector<std::string> m_relays;
  std::size_t m_nextRelayIndex = 0;
  std::map<std::string, RelayState> m_relayStates;
  // Consecutive failures of direct calls, and of relayed calls to which the
  // relay replied.
  std::uint32_t m_directFailures = 0;
  std::uint32_t m_relayFailures = 0;
  TimePoint m_nextDirectAttemptTime;
  TimePoint m_nextProbeTime;
  std::uint32_t m_probeCount = 0;
};

} // namespace lycheestep

#endif
