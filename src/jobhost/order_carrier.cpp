#include "order_carrier.h"

#include <pthread.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <tuple>
#include <utility>

#include "boot_clock.h"
#include "event_log.h"
#include "jobs.pb.h"
#include "order_messages.h"
#include "peer_reply.h"
#include "target_connection.h"

namespace lycheestep {

namespace {

// Targets' replies that arrive within this time are sent in one message.
constexpr Duration kBatchDelay = std::chrono::milliseconds(4);

// A connection without orders for the idle timeout is closed.
constexpr Duration kIdleTimeout = std::chrono::seconds(6);
constexpr Duration kIdleCheckPeriod = std::chrono::seconds(1);

// Returns the time until which the starts of a message may leave, by the boot
// clock.
TimePoint StartsNotAfter(const proto::CarriedOrders& aOrders)
{
  return aOrders.has_starts_not_after_ms()
           ? TimePoint(std::chrono::milliseconds(aOrders.starts_not_after_ms()))
           : TimePoint::max();
}

} // namespace

// The ids of the orders to one target that are in flight. Starts and stops are
// found by what they say, since a connection does not report them in the order
// in which they came. Starts of one run are reported in that order, and so are
// the holds of one path. Stops of one run are not, as several may be on their
// way: those that differ are told apart, and of those that are equal it makes
// no difference to the leader which one an answer belongs to.
class PendingOrderIds
{
public:
  void AddStart(const RunName& aRun, std::uint64_t aId)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_starts.emplace(aRun, aId);
  }

  void AddStop(const StopOrder& aOrder, std::uint64_t aId)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stops.emplace(KeyOf(aOrder), aId);
  }

  void AddHold(HoldPath aPath, std::uint64_t aId)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    HoldsOf(aPath).push_back(aId);
  }

  std::uint64_t TakeStart(const RunName& aRun)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return TakeOldest(m_starts, aRun);
  }

  std::uint64_t TakeStop(const StopOrder& aOrder)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return TakeOldest(m_stops, KeyOf(aOrder));
  }

  std::uint64_t TakeHold(HoldPath aPath)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::deque<std::uint64_t>& holds = HoldsOf(aPath);
    const std::uint64_t id = holds.front();
    holds.pop_front();
    return id;
  }

private:
  // What a stop says, but for the target, which is the same for all.
  using StopKey = std::tuple<RunName, FencingToken, NetworkAddress>;

  static StopKey KeyOf(const StopOrder& aOrder)
  {
    return { aOrder.m_run, aOrder.m_to.m_fence, aOrder.m_to.m_address };
  }

  template<typename Key>
  static std::uint64_t TakeOldest(std::multimap<Key, std::uint64_t>& aIds,
                                  const Key& aKey)
  {
    const auto oldest = aIds.lower_bound(aKey);
    const std::uint64_t id = oldest->second;
    aIds.erase(oldest);
    return id;
  }

  std::deque<std::uint64_t>& HoldsOf(HoldPath aPath)
  {
    return aPath == HoldPath::kWatch ? m_watchHolds : m_orderHolds;
  }

  std::mutex m_mutex;
  std::multimap<RunName, std::uint64_t> m_starts;
  std::multimap<StopKey, std::uint64_t> m_stops;
  std::deque<std::uint64_t> m_watchHolds;
  std::deque<std::uint64_t> m_orderHolds;
};

struct OrderCarrier::Connection
{
  PendingOrderIds m_ids;
  TimePoint m_lastUsed;
  std::unique_ptr<TargetConnection> m_sender;
};

// What the threads of a session's connections need. They may outlive the
// session for a moment.
struct OrderCarrier::SessionState
{
  // Orders may be sent until this time, counted from the epoch of this host's
  // clock.
  std::atomic<Duration::rep> m_notAfter{ 0 };
  proto::CarriedAnswers m_answers;
};

struct OrderCarrier::LeaderSession
{
  std::string m_address;
  std::shared_ptr<SessionState> m_state = std::make_shared<SessionState>();
  std::map<TargetId, std::unique_ptr<Connection>> m_connections;
};

OrderCarrier::OrderCarrier(TargetOrders& aOrders,
                           EventLog& aLog,
                           MetricsSink& aMetrics,
                           Send aSend)
  : m_orders(aOrders)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_send(std::move(aSend))
{
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "carrier");
}

OrderCarrier::~OrderCarrier()
{
  Stop();
}

void OrderCarrier::Stop()
{
  std::map<std::uint64_t, std::unique_ptr<LeaderSession>> sessions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
    sessions.swap(m_sessions);
  }
  for (const auto& [incarnation, session] : sessions) {
    session->m_state->m_notAfter = 0;
  }
  m_answered.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
  // The lock is not held, because the threads of the connections need it for
  // their last reports.
  sessions.clear();
  m_closedConnections.clear();
}

void OrderCarrier::Carry(const proto::JobPeerMessage& aMessage)
{
  const proto::CarriedOrders& orders = aMessage.carried_orders();
  const Duration notAfter = std::chrono::milliseconds(orders.not_after_ms());
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_stopping) {
    return;
  }
  std::unique_ptr<LeaderSession>& session = m_sessions[aMessage.incarnation()];
  if (!session) {
    session = std::make_unique<LeaderSession>();
    m_log.Write("carrying", "for=" + aMessage.from());
  }
  session->m_address = aMessage.address();
  SessionState& state = *session->m_state;
  state.m_notAfter =
    std::max<Duration::rep>(state.m_notAfter, notAfter.count());
  for (const proto::CarriedOrder& order : orders.order()) {
    if (order.has_withdrawal()) {
      Withdraw(*session, DecodeWithdrawal(order));
    } else {
      SendOrder(ConnectionTo(*session, TargetId(order.target())),
                order,
                StartsNotAfter(orders));
    }
  }
}

bool OrderCarrier::IsCarrying() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return !m_sessions.empty();
}

OrderCarrier::Connection& OrderCarrier::ConnectionTo(LeaderSession& aSession,
                                                     const TargetId& aTarget)
{
  std::unique_ptr<Connection>& connection = aSession.m_connections[aTarget];
  if (!connection) {
    connection = std::make_unique<Connection>();
    PendingOrderIds& ids = connection->m_ids;
    const std::shared_ptr<SessionState> state = aSession.m_state;
    const auto answer = [this, state](std::uint64_t aId, const auto& aAnswer) {
      proto::CarriedAnswer message;
      message.set_id(aId);
      EncodeAnswer(aAnswer, message);
      QueueAnswer(*state, std::move(message));
    };
    OrderAnswerHandlers answers;
    answers.m_started = [answer, &ids](const StartOrder& aOrder,
                                       const OrderAnswer& aAnswer) {
      answer(ids.TakeStart(aOrder.m_run), aAnswer);
    };
    answers.m_stopped = [answer, &ids](const StopOrder& aOrder,
                                       const OrderAnswer& aAnswer) {
      answer(ids.TakeStop(aOrder), aAnswer);
    };
    answers.m_held = [answer, &ids](const HoldOrder&,
                                    HoldPath aPath,
                                    const HoldAnswer& aAnswer) {
      answer(ids.TakeHold(aPath), aAnswer);
    };
    connection->m_sender = std::make_unique<TargetConnection>(
      m_orders,
      m_log,
      m_metrics,
      [state] {
        return BootClockNow().time_since_epoch().count() <
               state->m_notAfter.load();
      },
      std::move(answers));
  }
  connection->m_lastUsed = BootClockNow();
  return *connection;
}

void OrderCarrier::Withdraw(const LeaderSession& aSession,
                            const WithdrawOrder& aOrder)
{
  const auto connection = aSession.m_connections.find(aOrder.m_target);
  if (connection != aSession.m_connections.end()) {
    connection->second->m_sender->Withdraw(aOrder);
  }
}

void OrderCarrier::SendOrder(Connection& aConnection,
                             const proto::CarriedOrder& aOrder,
                             TimePoint aStartsNotAfter)
{
  switch (aOrder.order_case()) {
    case proto::CarriedOrder::kStart: {
      StartOrder start = DecodeStart(aOrder);
      start.m_notAfter = aStartsNotAfter;
      aConnection.m_ids.AddStart(start.m_run, aOrder.id());
      aConnection.m_sender->Start(start);
      return;
    }
    case proto::CarriedOrder::kStop: {
      const StopOrder stop = DecodeStop(aOrder);
      aConnection.m_ids.AddStop(stop, aOrder.id());
      aConnection.m_sender->Stop(stop);
      return;
    }
    case proto::CarriedOrder::kPace:
      aConnection.m_sender->Pace(DecodePace(aOrder));
      return;
    case proto::CarriedOrder::kHold: {
      HoldPath path = HoldPath::kOrders;
      const HoldOrder hold = DecodeHold(aOrder, path);
      aConnection.m_ids.AddHold(path, aOrder.id());
      aConnection.m_sender->Hold(hold, path);
      return;
    }
    case proto::CarriedOrder::kWithdrawal: // handled by Carry
    case proto::CarriedOrder::ORDER_NOT_SET:
      return; // an order of a newer version; the leader's order times out
  }
}

void OrderCarrier::QueueAnswer(SessionState& aState,
                               proto::CarriedAnswer aAnswer)
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    *aState.m_answers.add_answer() = std::move(aAnswer);
    if (std::exchange(m_hasAnswers, true)) {
      return; // the thread has been notified already
    }
  }
  m_answered.notify_one();
}

void OrderCarrier::Run()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  TimePoint idleCheckedAt = BootClockNow();
  while (!m_stopping) {
    m_answered.wait_for(
      lock, kIdleCheckPeriod, [this] { return m_stopping || m_hasAnswers; });
    if (m_hasAnswers) {
      m_answered.wait_for(lock, kBatchDelay, [this] { return m_stopping; });
      SendAnswers();
    }
    const TimePoint now = BootClockNow();
    if (now - idleCheckedAt >= kIdleCheckPeriod) {
      idleCheckedAt = now;
      CloseIdleConnections(now);
    }
  }
}

void OrderCarrier::SendAnswers()
{
  m_hasAnswers = false;
  for (const auto& [incarnation, session] : m_sessions) {
    if (session->m_state->m_answers.answer_size() > 0) {
      proto::JobPeerMessage message = MakeReplyTo(incarnation);
      message.mutable_carried_answers()->Swap(&session->m_state->m_answers);
      m_send(session->m_address, std::move(message));
    }
  }
}

void OrderCarrier::CloseIdleConnections(TimePoint aNow)
{
  for (auto session = m_sessions.begin(); session != m_sessions.end();) {
    auto& connections = session->second->m_connections;
    for (auto connection = connections.begin();
         connection != connections.end();) {
      const bool inUse = aNow - connection->second->m_lastUsed < kIdleTimeout ||
                         !connection->second->m_sender->IsIdle();
      if (inUse) {
        ++connection;
        continue;
      }
      connection->second->m_sender->Close();
      m_closedConnections.push_back(std::move(connection->second));
      connection = connections.erase(connection);
    }
    session =
      connections.empty() ? m_sessions.erase(session) : std::next(session);
  }
  m_closedConnections.erase(
    std::remove_if(m_closedConnections.begin(),
                   m_closedConnections.end(),
                   [](const auto& aConnection) {
                     return aConnection->m_sender->IsFinished();
                   }),
    m_closedConnections.end());
}

} // namespace lycheestep
