#ifndef LYCHEESTEP_TARGET_CONNECTION_H
#define LYCHEESTEP_TARGET_CONNECTION_H

#include <atomic>
#include <functional>
#include <thread>

#include "order_sender.h"
#include "task_queue.h"

namespace lycheestep {

// The two connections to one target, each with a thread of its own: one for
// holds that wait for ends, the other for all that must not wait. Orders on
// one connection keep their order.
class TargetConnection : public OrderSender
{
public:
  // aMaySend says whether orders may still be sent; it is asked right before
  // each one. The answers are called on the line's threads.
  TargetConnection(TargetOrders& aOrders,
                   std::function<bool()> aMaySend,
                   OrderAnswerHandlers aAnswers);
  ~TargetConnection() override;
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  void Start(const StartOrder& aOrder) override;
  void Stop(const StopOrder& aOrder) override;
  void Pace(const PaceOrder& aOrder) override;
  void Hold(const HoldOrder& aOrder, HoldPath aPath) override;

  // Sends nothing more; the threads end with the call that they make.
  void Close();

  // True when the destructor need not wait.
  bool IsFinished() const { return m_running == 0; }

private:
  void Run(TaskQueue& aQueue);

  TargetOrders& m_orders;
  const std::function<bool()> m_maySend;
  const OrderAnswerHandlers m_answers;
  TaskQueue m_watchQueue;
  TaskQueue m_orderQueue;
  // Of the last start without answer; used by the thread for orders only.
  FencingToken m_unansweredFence = 0;
  std::atomic<int> m_running{ 2 };
  std::thread m_watchThread;
  std::thread m_orderThread;
};

} // namespace lycheestep

#endif
