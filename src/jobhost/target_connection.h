#ifndef LYCHEESTEP_TARGET_CONNECTION_H
#define LYCHEESTEP_TARGET_CONNECTION_H

#include <atomic>
#include <functional>
#include <thread>

#include "order_queue.h"
#include "order_sender.h"
#include "sender_limit.h"
#include "stop_senders.h"

namespace lycheestep {

class EventLog;
class MetricsSink;

// Sends a leader's orders to one target over several connections, each with a
// thread of its own: one for holds that wait until a run ends, one for starts,
// pace orders and holds that must not wait behind such a hold, and as many for
// stops as are waiting for an answer, so that no run goes on because the target
// is slow to answer another order. OrderQueue decides in which order the orders
// leave, and which of them are withdrawn.
class TargetConnection : public OrderSender
{
public:
  // Starts the threads for holds and starts; those for stops are started when
  // they are needed. aMaySend returns true while orders may be sent, and is
  // called right before each order. aAnswers are called on these threads, and
  // may be called on several at the same time. aLog and aMetrics are told how
  // long starts and stops wait in the queue. aLimit bounds the threads for
  // stops of all connections. aStartsNotAfter is called right before each
  // start, which does not leave this host after the boot clock's time that it
  // returns.
  TargetConnection(
    TargetOrders& aOrders,
    EventLog& aLog,
    MetricsSink& aMetrics,
    std::function<bool()> aMaySend,
    OrderAnswerHandlers aAnswers,
    SenderLimit& aLimit = SenderLimit::OfHost(),
    std::function<TimePoint()> aStartsNotAfter = [] {
      return TimePoint::max();
    });
  ~TargetConnection() override;
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  void Start(const StartOrder& aOrder) override;
  void Stop(const StopOrder& aOrder) override;
  void Pace(const PaceOrder& aOrder) override;
  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;

  // Drops the queued starts that aOrder names and reports them as withdrawn.
  void Withdraw(const WithdrawOrder& aOrder);

  // Drops all queued orders and reports them as withdrawn. Each thread ends
  // when its current call to the target returns.
  void Close();

  // Returns true if no order waits.
  bool IsIdle() const;

  // Returns true if all threads have ended, so that the destructor does not
  // wait.
  bool IsFinished() const;

private:
  // Sends and reports the orders of one queue but stops until it is closed.
  // Reports withdrawn stops as well.
  void Run(OrderQueue& aQueue, HoldPath aPath);
  // Sends an order if it may be sent, and reports it.
  void Send(const QueuedOrder& aQueued, HoldPath aPath);
  // Send an order if it may be sent, and return what is reported of it.
  OrderAnswer SendStart(StartOrder aOrder, const QueuedOrder& aQueued);
  OrderAnswer SendStop(const StopOrder& aOrder, const QueuedOrder& aQueued);
  HoldAnswer SendHold(const HoldOrder& aOrder, const QueuedOrder& aQueued);
  void SendPace(const PaceOrder& aOrder, const QueuedOrder& aQueued);
  // Returns kDone if the order may be sent now, or the status to report of it.
  OrderStatus CheckSendable(const QueuedOrder& aQueued) const;
  // As CheckSendable, of a start. aReason is why it may not be sent.
  OrderStatus CheckStart(const StartOrder& aOrder,
                         const QueuedOrder& aQueued,
                         const char*& aReason) const;
  // Reports how long a start waited in the queue before it was sent.
  void ReportWait(const StartOrder& aOrder, Duration aWait);
  // Reports a start that is not sent.
  void ReportDropped(const StartOrder& aOrder,
                     Duration aWait,
                     const char* aReason);
  // Reports how long a stop waited in the queue before it was sent.
  void ReportWait(const StopOrder& aOrder, Duration aWait);

  TargetOrders& m_orders;
  EventLog& m_log;
  MetricsSink& m_metrics;
  const std::function<bool()> m_maySend;
  const std::function<TimePoint()> m_startsNotAfter;
  const OrderAnswerHandlers m_answers;
  // Holds that wait until a run ends.
  OrderQueue m_watchQueue;
  // All other orders.
  OrderQueue m_orderQueue;
  // The fencing token of the last start without a reply. Used by the order
  // thread only.
  FencingToken m_unansweredFence = 0;
  // Sends the stops of m_orderQueue.
  StopSenders m_stopSenders;
  // Number of threads that have not ended, without those of m_stopSenders.
  std::atomic<int> m_running{ 2 };
  std::thread m_watchThread;
  std::thread m_orderThread;
};

} // namespace lycheestep

#endif
