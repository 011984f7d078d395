#ifndef LYCHEESTEP_ORDER_CARRIER_H
#define LYCHEESTEP_ORDER_CARRIER_H

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lycheestep/target_orders.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class EventLog;
class MetricsSink;

namespace proto {
class CarriedAnswer;
class CarriedOrder;
class JobPeerMessage;
}

// Sends orders to targets on behalf of the leader and returns the replies, so
// that the connections to a large fleet are distributed over the hosts. Makes
// no decisions: it sends each order that it receives as long as the leader's
// right to send orders lasts. TargetConnection says which orders to a target
// wait for each other. Each leading process has its own connections here, so
// that no leader waits for the orders of another one.
class OrderCarrier
{
public:
  // Sends a message to the host at an address; never blocks.
  using Send = std::function<void(const std::string& aAddress,
                                  proto::JobPeerMessage aMessage)>;

  OrderCarrier(TargetOrders& aOrders,
               EventLog& aLog,
               MetricsSink& aMetrics,
               Send aSend);
  ~OrderCarrier();
  OrderCarrier(const OrderCarrier&) = delete;
  OrderCarrier& operator=(const OrderCarrier&) = delete;

  // Queues the orders of a leader's CarriedOrders message. Never blocks.
  void Carry(const proto::JobPeerMessage& aMessage);

  // Closes all connections and waits for their calls in flight. Orders that
  // arrive later are dropped.
  void Stop();

  // Returns true if this host has connections for the orders of any leader.
  bool IsCarrying() const;

private:
  // The connections and replies of one leading process.
  struct LeaderSession;
  struct SessionState;
  // The connections to one target.
  struct Connection;

  // Returns the session's connection to a target; opens one if there is none.
  Connection& ConnectionTo(LeaderSession& aSession, const TargetId& aTarget);
  // Withdraws starts that wait in the session's connection to their target.
  static void Withdraw(const LeaderSession& aSession,
                       const WithdrawOrder& aOrder);
  // Sends an order, a start until aStartsNotAfter.
  static void SendOrder(Connection& aConnection,
                        const proto::CarriedOrder& aOrder,
                        TimePoint aStartsNotAfter);
  void QueueAnswer(SessionState& aState, proto::CarriedAnswer aAnswer);
  void Run();
  // Sends the queued replies of each session in one message.
  void SendAnswers();
  // Closes the connections that are idle, and drops sessions without any.
  void CloseIdleConnections(TimePoint aNow);

  TargetOrders& m_orders;
  EventLog& m_log;
  MetricsSink& m_metrics;
  const Send m_send;

  mutable std::mutex m_mutex;
  std::condition_variable m_answered;
  bool m_stopping = false;
  // Set if any session has replies to send.
  bool m_hasAnswers = false;
  // Keyed by the incarnation of the leading process.
  std::map<std::uint64_t, std::unique_ptr<LeaderSession>> m_sessions;
  // Closed connections whose threads have not ended yet.
  std::vector<std::unique_ptr<Connection>> m_closedConnections;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
