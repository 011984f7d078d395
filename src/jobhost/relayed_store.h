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

// The store as a host reaches it: by its own connections, and while these
// fail by route of another host. A host that loses only the store so goes on
// serving and leading. Safe from any thread.
class RelayedStore : public RowStore
{
public:
  // Sends a message to the host at an address; never waits.
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

  // Hosts that can be asked, in the order in which they are tried.
  void SetRelays(std::vector<std::string> aAddresses);

  // A host answered a call of this one.
  void OnReply(const proto::StoreReply& aReply);

  // Carries out a call of another host, by this host's own connections only,
  // so that no call goes round. Waits for the store.
  proto::JobPeerMessage Serve(const proto::StoreCall& aCall);

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
  // Calls under route; set when the reply has come.
  std::map<std::uint64_t, std::optional<RowAnswer>> m_pendingCalls;
};

} // namespace lycheestep

#endif
