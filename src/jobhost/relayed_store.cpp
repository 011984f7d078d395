#include "relayed_store.h"

#include <chrono>
#include <utility>

#include "boot_clock.h"
#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "store_messages.h"

namespace lycheestep {

namespace {

// The caller of a relayed call waits for the reply this much longer than the
// call's timeout, which the relay applies to its own call to the store.
constexpr Duration kRelayReplyMargin = std::chrono::milliseconds(60);

// The range of the small read that tests whether a route reaches the store.
RowRange ProbeRange()
{
  RowRange range;
  range.m_table = LeaderKey().m_table;
  range.m_first = LeaderKey().m_key;
  range.m_limit = 1;
  return range;
}

void EncodeRead(const RowRange& aRange, proto::RowReadMessage& aMessage)
{
  aMessage.set_table(aRange.m_table);
  aMessage.set_partition(aRange.m_partition);
  aMessage.set_first(aRange.m_first);
  aMessage.set_limit(aRange.m_limit);
}

RowRange DecodeRead(const proto::RowReadMessage& aMessage)
{
  RowRange range;
  range.m_table = aMessage.table();
  range.m_partition = aMessage.partition();
  range.m_first = aMessage.first();
  range.m_limit = aMessage.limit();
  return range;
}

RowAnswer MakeRefusedAnswer()
{
  RowAnswer answer;
  answer.m_status = RowStatus::kRefused;
  return answer;
}

const char* ReachabilityEvent(StoreReachability aReachability)
{
  switch (aReachability) {
    case StoreReachability::kDirect:
      return "store-direct-again";
    case StoreReachability::kRelay:
      return "store-by-relay";
    case StoreReachability::kNoRoute:
      return "store-away";
  }
  return "";
}

} // namespace

RelayedStore::RelayedStore(RowStore& aDirect, EventLog& aLog, Send aSend)
  : m_direct(aDirect)
  , m_log(aLog)
  , m_send(std::move(aSend))
{
}

RowAnswer RelayedStore::Transact(const RowTransaction& aTransaction,
                                 Duration aTimeout)
{
  proto::StoreCall call;
  EncodeTransactionMessage(aTransaction, *call.mutable_transaction());
  return CallDirectOrRelay(
    StoreCallKind::kWrite,
    [&] { return m_direct.Transact(aTransaction, aTimeout); },
    std::move(call),
    aTimeout);
}

RowAnswer RelayedStore::Read(const RowRange& aRange, Duration aTimeout)
{
  proto::StoreCall call;
  EncodeRead(aRange, *call.mutable_read());
  return CallDirectOrRelay(
    StoreCallKind::kRead,
    [&] { return m_direct.Read(aRange, aTimeout); },
    std::move(call),
    aTimeout);
}

RowAnswer RelayedStore::Feed(const std::string& aTable,
                             std::uint64_t aVersion,
                             Duration aWait,
                             Duration aTimeout)
{
  proto::StoreCall call;
  proto::RowFeedMessage* feed = call.mutable_feed();
  feed->set_table(aTable);
  feed->set_version(aVersion);
  feed->set_wait_ms(ToMilliseconds(aWait));
  return CallDirectOrRelay(
    StoreCallKind::kRead,
    [&] { return m_direct.Feed(aTable, aVersion, aWait, aTimeout); },
    std::move(call),
    aWait + aTimeout);
}

bool RelayedStore::IsDirect()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_router.Reachability(BootClockNow()) == StoreReachability::kDirect;
}

void RelayedStore::SetRelays(std::vector<std::string> aAddresses)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_router.SetRelays(std::move(aAddresses));
}

void RelayedStore::OnReply(const proto::StoreReply& aReply)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto call = m_pendingCalls.find(aReply.id());
    if (call == m_pendingCalls.end()) {
      return; // The call has already timed out.
    }
    call->second = DecodeStoreReply(aReply);
  }
  m_replied.notify_all();
}

proto::StoreReply RelayedStore::Serve(const proto::StoreCall& aCall)
{
  const RowAnswer answer =
    MayServeRelayedCall(aCall) ? ExecuteDirect(aCall) : MakeRefusedAnswer();
  proto::StoreReply reply;
  EncodeStoreReply(answer, reply);
  reply.set_id(aCall.id());
  return reply;
}

bool RelayedStore::MayServeRelayedCall(const proto::StoreCall& aCall)
{
  const StoreCallKind kind =
    aCall.has_transaction() ? StoreCallKind::kWrite : StoreCallKind::kRead;
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_router.MayServeRelayedCall(kind, BootClockNow());
}

RowAnswer RelayedStore::ExecuteDirect(const proto::StoreCall& aCall)
{
  const Duration timeout = std::chrono::milliseconds(aCall.timeout_ms());
  if (aCall.has_transaction()) {
    const RowTransaction transaction =
      DecodeTransactionMessage(aCall.transaction());
    return CallDirect([&] { return m_direct.Transact(transaction, timeout); });
  }
  if (aCall.has_read()) {
    const RowRange range = DecodeRead(aCall.read());
    return CallDirect([&] { return m_direct.Read(range, timeout); });
  }
  if (aCall.has_feed()) {
    const Duration wait = std::chrono::milliseconds(aCall.feed().wait_ms());
    return CallDirect([&] {
      return m_direct.Feed(
        aCall.feed().table(), aCall.feed().version(), wait, timeout - wait);
    });
  }
  // A newer version of the software may send kinds of calls that this version
  // does not know.
  return MakeRefusedAnswer();
}

RowAnswer RelayedStore::CallDirectOrRelay(StoreCallKind aKind,
                                          const DirectCall& aDirect,
                                          proto::StoreCall aCall,
                                          Duration aTimeout)
{
  const TimePoint begun = BootClockNow();
  StoreCallRoute route = ChooseRoute(aKind, aTimeout);
  RowAnswer answer = MakeRefusedAnswer();
  if (route.m_kind == StoreCallRoute::Kind::kDirect) {
    answer = CallDirect(aDirect);
    // Only a refused call certainly had no effect and may be tried on another
    // route. If the reply was lost, the caller decides whether to repeat the
    // call.
    if (answer.m_status != RowStatus::kRefused) {
      return answer;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    route = m_router.ChooseAfterRefusal(BootClockNow());
  }
  const Duration left = aTimeout - (BootClockNow() - begun);
  if (route.m_kind == StoreCallRoute::Kind::kRelay && left > Duration::zero()) {
    answer = CallRelay(route.m_relay, std::move(aCall), left);
  }
  return answer;
}

StoreCallRoute RelayedStore::ChooseRoute(StoreCallKind aKind, Duration aTimeout)
{
  StoreCallRoute route;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    route = m_router.Choose(aKind, BootClockNow());
  }
  if (!route.m_probeFirst) {
    return route;
  }
  const bool answered = Probe(route, aTimeout);
  const std::lock_guard<std::mutex> lock(m_mutex);
  route = answered ? m_router.Choose(aKind, BootClockNow()) : StoreCallRoute();
  return route.m_probeFirst ? StoreCallRoute() : route;
}

bool RelayedStore::Probe(const StoreCallRoute& aRoute, Duration aTimeout)
{
  RowAnswer answer;
  if (aRoute.m_kind == StoreCallRoute::Kind::kDirect) {
    answer = CallDirect([&] { return m_direct.Read(ProbeRange(), aTimeout); });
  } else {
    proto::StoreCall call;
    EncodeRead(ProbeRange(), *call.mutable_read());
    answer = CallRelay(aRoute.m_relay, std::move(call), aTimeout);
  }
  return answer.m_status == RowStatus::kOk;
}

RowAnswer RelayedStore::CallDirect(const DirectCall& aDirect)
{
  RowAnswer answer = aDirect();
  const std::lock_guard<std::mutex> lock(m_mutex);
  const TimePoint now = BootClockNow();
  m_router.RecordDirectResult(answer.m_status, now);
  LogReachability(now);
  return answer;
}

RowAnswer RelayedStore::CallRelay(const std::string& aRelay,
                                  proto::StoreCall aCall,
                                  Duration aTimeout)
{
  const bool waitsForChange = aCall.has_feed();
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::uint64_t id = ++m_lastCallId;
  m_pendingCalls[id] = std::nullopt;
  if (!waitsForChange) {
    m_router.RecordRelayCallSent(aRelay, BootClockNow());
  }
  lock.unlock();
  aCall.set_id(id);
  aCall.set_timeout_ms(ToMilliseconds(aTimeout));
  proto::JobPeerMessage message;
  *message.mutable_store_call() = std::move(aCall);
  m_send(aRelay, std::move(message));
  lock.lock();
  m_replied.wait_for(lock, aTimeout + kRelayReplyMargin, [&] {
    return m_pendingCalls[id].has_value();
  });
  const bool replied = m_pendingCalls[id].has_value();
  RowAnswer answer = m_pendingCalls[id].value_or(RowAnswer());
  m_pendingCalls.erase(id);
  const TimePoint now = BootClockNow();
  m_router.RecordRelayResult(aRelay, answer.m_status, replied, now);
  LogReachability(now);
  return answer;
}

void RelayedStore::LogReachability(TimePoint aNow)
{
  const StoreReachability reachability = m_router.Reachability(aNow);
  if (reachability == m_loggedReachability) {
    return;
  }
  m_loggedReachability = reachability;
  m_log.WriteUnlimited(ReachabilityEvent(reachability),
                       "relays=" + std::to_string(m_router.RelayCount()));
}

} // namespace lycheestep
