#include "relayed_store.h"

#include <chrono>
#include <utility>

#include "boot_clock.h"
#include "event_log.h"
#include "jobs.pb.h"
#include "store_messages.h"

namespace lycheestep {

namespace {

// Own calls are left alone after so many failures in a row, for this long.
constexpr std::uint32_t kFailuresToRelay = 2;
constexpr Duration kDirectPause = std::chrono::milliseconds(700);

// A call that was relayed may take longer than its own limit by this.
constexpr Duration kRelayMargin = std::chrono::milliseconds(60);

bool IsFailure(RowStatus aStatus)
{
  return aStatus == RowStatus::kRefused || aStatus == RowStatus::kUnknown;
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
  return CallEither([&] { return m_direct.Transact(aTransaction, aTimeout); },
                    std::move(call),
                    aTimeout);
}

RowAnswer RelayedStore::Read(const RowRange& aRange, Duration aTimeout)
{
  proto::StoreCall call;
  proto::RowReadMessage* read = call.mutable_read();
  read->set_table(aRange.m_table);
  read->set_partition(aRange.m_partition);
  read->set_first(aRange.m_first);
  read->set_limit(aRange.m_limit);
  return CallEither(
    [&] { return m_direct.Read(aRange, aTimeout); }, std::move(call), aTimeout);
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
  return CallEither(
    [&] { return m_direct.Feed(aTable, aVersion, aWait, aTimeout); },
    std::move(call),
    aWait + aTimeout);
}

void RelayedStore::SetRelays(std::vector<std::string> aAddresses)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_relays = std::move(aAddresses);
}

void RelayedStore::OnReply(const proto::StoreReply& aReply)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto call = m_calls.find(aReply.id());
    if (call == m_calls.end()) {
      return; // its caller has given up
    }
    call->second = DecodeStoreReply(aReply);
  }
  m_replied.notify_all();
}

proto::JobPeerMessage RelayedStore::Serve(const proto::StoreCall& aCall)
{
  const Duration timeout = std::chrono::milliseconds(aCall.timeout_ms());
  RowAnswer answer;
  if (aCall.has_transaction()) {
    answer =
      m_direct.Transact(DecodeTransactionMessage(aCall.transaction()), timeout);
  } else if (aCall.has_read()) {
    RowRange range;
    range.m_table = aCall.read().table();
    range.m_partition = aCall.read().partition();
    range.m_first = aCall.read().first();
    range.m_limit = aCall.read().limit();
    answer = m_direct.Read(range, timeout);
  } else if (aCall.has_feed()) {
    const Duration wait = std::chrono::milliseconds(aCall.feed().wait_ms());
    answer = m_direct.Feed(
      aCall.feed().table(), aCall.feed().version(), wait, timeout - wait);
  }
  proto::JobPeerMessage message;
  EncodeStoreReply(answer, *message.mutable_store_reply());
  message.mutable_store_reply()->set_id(aCall.id());
  return message;
}

RowAnswer RelayedStore::CallEither(const DirectCall& aDirect,
                                   proto::StoreCall aCall,
                                   Duration aTimeout)
{
  const TimePoint begun = BootClockNow();
  RowAnswer answer;
  answer.m_status = RowStatus::kRefused;
  if (MayCallDirect(begun)) {
    answer = aDirect();
    NoteDirect(answer.m_status, BootClockNow());
  }
  // Only what surely had no effect is tried on another way; a lost answer is
  // the caller's to settle.
  const Duration left = aTimeout - (BootClockNow() - begun);
  if (answer.m_status == RowStatus::kRefused && left > Duration::zero()) {
    answer = CallRelay(std::move(aCall), left);
  }
  return answer;
}

RowAnswer RelayedStore::CallRelay(proto::StoreCall aCall, Duration aTimeout)
{
  RowAnswer answer;
  answer.m_status = RowStatus::kRefused;
  std::unique_lock<std::mutex> lock(m_mutex);
  if (m_relays.empty()) {
    return answer;
  }
  const std::string relay = m_relays[m_nextRelay % m_relays.size()];
  const std::uint64_t id = ++m_lastCall;
  m_calls[id] = std::nullopt;
  lock.unlock();
  aCall.set_id(id);
  aCall.set_timeout_ms(ToMilliseconds(aTimeout));
  proto::JobPeerMessage message;
  *message.mutable_store_call() = std::move(aCall);
  m_send(relay, std::move(message));
  lock.lock();
  m_replied.wait_for(
    lock, aTimeout + kRelayMargin, [&] { return m_calls[id].has_value(); });
  const bool replied = m_calls[id].has_value();
  answer = m_calls[id].value_or(RowAnswer());
  m_calls.erase(id);
  if (!replied || IsFailure(answer.m_status)) {
    ++m_nextRelay; // another one next time
  }
  return answer;
}

bool RelayedStore::MayCallDirect(TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_failures < kFailuresToRelay || m_relays.empty()) {
    return true;
  }
  if (aNow < m_directAgainAt) {
    return false;
  }
  m_directAgainAt = aNow + kDirectPause; // this call finds out
  return true;
}

void RelayedStore::NoteDirect(RowStatus aStatus, TimePoint aNow)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const bool relayed = m_failures >= kFailuresToRelay;
  if (!IsFailure(aStatus)) {
    m_failures = 0;
    if (relayed) {
      m_log.Write("store-direct-again", "");
    }
    return;
  }
  ++m_failures;
  if (m_failures == kFailuresToRelay) {
    m_directAgainAt = aNow + kDirectPause;
    m_log.Write("store-by-relay", "relays=" + std::to_string(m_relays.size()));
  }
}

} // namespace lycheestep
