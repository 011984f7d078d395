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

namespace proto {
class CarriedAnswer;
class CarriedOrder;
class JobPeerMessage;
}

// Carries the leader's orders to targets and the answers back, so that the
// connections to a large fleet are spread over the hosts. Decides nothing: it
// sends what it was asked to while the leader's right to order lasts, one
// order after the other on each connection. Each process that leads has lines
// of its own here, so that no leader waits for what another one asked.
class OrderCarrier
{
public:
  // Sends a message to the host at an address; never waits.
  using Send = std::function<void(const std::string& aAddress,
                                  proto::JobPeerMessage aMessage)>;

  OrderCarrier(TargetOrders& aOrders, EventLog& aLog, Send aSend);
  ~OrderCarrier();
  OrderCarrier(const OrderCarrier&) = delete;
  OrderCarrier& operator=(const OrderCarrier&) = delete;

  // A leader's message with orders. Never waits.
  void Carry(const proto::JobPeerMessage& aMessage);

  // Closes all lines and waits for their calls; carries nothing after it.
  void Stop();

  // True while some leader's orders are carried.
  bool IsCarrying() const;

private:
  struct LeaderSession;
  struct Connection;

  Connection& ConnectionTo(const std::shared_ptr<LeaderSession>& aSession,
                           const TargetId& aTarget);
  static void SendOrder(Connection& aLine, const proto::CarriedOrder& aOrder);
  void QueueAnswer(const std::shared_ptr<LeaderSession>& aSession,
                   proto::CarriedAnswer aAnswer);
  void Run();
  void SendAnswers();
  void CloseIdleConnections(TimePoint aNow);

  TargetOrders& m_orders;
  EventLog& m_log;
  const Send m_send;

  mutable std::mutex m_mutex;
  std::condition_variable m_answered;
  bool m_stopping = false;
  bool m_hasAnswers = false;
  // By the incarnation of the leading process.
  std::map<std::uint64_t, std::shared_ptr<LeaderSession>> m_sessions;
  // Closed lines whose threads have not ended yet.
  std::vector<std::unique_ptr<Connection>> m_closedConnections;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
