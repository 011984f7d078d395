#ifndef LYCHEESTEP_RELAYED_STORE_H
#define LYCHEESTEP_RELAYED_STORE_H

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "lycheestep/row_store.h"
#include "store_router.h"

namespace lycheestep {

class EventLog;

namespace proto {
class JobPeerMessage;
class StoreCall;
class StoreReply;
}

// Calls the row store over this host's own connections, and through another
// host while these fail. A host that loses only its connection to the store
// therefore continues to serve callers and to lead. All methods are
// thread-safe.
class RelayedStore : public RowStore
{
public:
  // Sends a message to the host that listens at aAddress without blocking.
  using Send = std::function<void(const std::string& aAddress,
                                  proto::JobPeerMessage aMessage)>;

  RelayedStore(RowStore& aDirect, EventLog& aLog, Send aSend);

  RowAnswer Transact(const RowTransaction& aTransaction,
                     Duration aTimeout) override;
  RowAnswer Read(const RowRange& aRange, Duration aTimeout) override;
  RowAnswer Feed(const std::string& aTable,
                 std::uint64_t aVersion,
                 Duration aWait,
                 Duration aTimeout) override;

  // Returns true if calls reach the store without a relay.
  bool IsDirect();

  // Sets the addresses of the hosts that can relay calls, in the order in which
  // they are tried. An empty list changes nothing, as a host that has just
  // become the leader knows of no other hosts yet.
  void SetRelays(std::vector<std::string> aAddresses);

  // Handles another host's reply to a call that this host relayed to it.
  void OnReply(const proto::StoreReply& aReply);

  // Executes a call that another host relayed and returns the reply. Uses only
  // this host's own connections, so that no call is relayed in a loop. Blocks
  // until the store has answered.
  proto::StoreReply Serve(const proto::StoreCall& aCall);

private:
  using DirectCall = std::function<RowAnswer()>;

  RowAnswer CallDirectOrRelay(StoreCallKind aKind,
                              const DirectCall& aDirect,
                              proto::StoreCall aCall,
                              Duration aTimeout);
  StoreCallRoute ChooseRoute(StoreCallKind aKind, Duration aTimeout);
  bool Probe(const StoreCallRoute& aRoute, Duration aTimeout);
  bool MayServeRelayedCall(const proto::StoreCall& aCall);
  RowAnswer ExecuteDirect(const proto::StoreCall& aCall);
  RowAnswer CallDirect(const DirectCall& aDirect);
  RowAnswer CallRelay(const std::string& aRelay,
                      proto::StoreCall aCall,
                      Duration aTimeout);
  void LogReachability(TimePoint aNow);

  RowStore& m_direct;
  EventLog& m_log;
  const Send m_send;

  std::mutex m_mutex;
  std::condition_variable m_replied;
  StoreRouter m_router;
  StoreReachability m_loggedReachability = StoreReachability::kDirect;
  std::uint64_t m_lastCallId = 0;
  // Relayed calls that wait for a reply, by id. The answer is set when the
  // reply has arrived.
  std::map<std::uint64_t, std::optional<RowAnswer>> m_pendingCalls;
};

} // namespace lycheestep

#endif
