#include "target_connection.h"

#include <pthread.h>

#include <chrono>
#include <string>
#include <utility>

#include "boot_clock.h"
#include "event_log.h"
#include "lycheestep/metrics_sink.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// Timeout of one order or hold, in addition to the time that a hold waits for
// the end of a run.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(700);

// How long a thread waits for work before it checks again whether to end. Stop
// wakes the thread earlier.
constexpr Duration kIdle = std::chrono::minutes(10);

// Starts that waited for at least this long are logged.
constexpr Duration kLoggedWait = std::chrono::milliseconds(100);

} // namespace

TargetConnection::TargetConnection(TargetOrders& aOrders,
                                   EventLog& aLog,
                                   MetricsSink& aMetrics,
                                   std::function<bool()> aMaySend,
                                   OrderAnswerHandlers aAnswers)
  : m_orders(aOrders)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_maySend(std::move(aMaySend))
  , m_answers(std::move(aAnswers))
{
  m_watchThread = std::thread([this] { Run(m_watchQueue); });
  pthread_setname_np(m_watchThread.native_handle(), "target-watch");
  m_orderThread = std::thread([this] { Run(m_orderQueue); });
  pthread_setname_np(m_orderThread.native_handle(), "target-order");
}

TargetConnection::~TargetConnection()
{
  Close();
  m_watchThread.join();
  m_orderThread.join();
}

void TargetConnection::Start(const StartOrder& aOrder)
{
  m_orderQueue.Add([this, aOrder, queuedAt = BootClockNow()] {
    // A start that is skipped here never reaches the target. After a start
    // without a reply, the leader takes the target anew under a higher
    // fencing token. Starts under the former token are skipped, as they would
    // delay that.
    OrderAnswer answer;
    answer.m_status = OrderStatus::kNotSent;
    const bool maySend = m_maySend() && aOrder.m_to.m_fence > m_unansweredFence;
    ReportWait(aOrder, BootClockNow() - queuedAt, maySend);
    if (maySend) {
      answer = m_orders.Start(aOrder, kOrderTimeout);
    }
    if (answer.m_status == OrderStatus::kUnknown) {
      m_unansweredFence = aOrder.m_to.m_fence;
    }
    m_answers.m_started(aOrder, answer);
  });
}

void TargetConnection::Stop(const StopOrder& aOrder)
{
  m_orderQueue.Add([this, aOrder] {
    OrderAnswer answer;
    answer.m_status = OrderStatus::kNotSent;
    if (m_maySend()) {
      answer = m_orders.Stop(aOrder, kOrderTimeout);
    }
    m_answers.m_stopped(aOrder, answer);
  });
}

void TargetConnection::Pace(const PaceOrder& aOrder)
{
  m_orderQueue.Add([this, aOrder] {
    if (m_maySend()) {
      m_orders.Pace(aOrder, kOrderTimeout);
    }
  });
}

void TargetConnection::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  TaskQueue& queue = aPath == HoldPath::kWatch ? m_watchQueue : m_orderQueue;
  queue.Add([this, aOrder, aPath] {
    HoldAnswer answer;
    answer.m_status = OrderStatus::kNotSent;
    if (m_maySend()) {
      answer = m_orders.Hold(aOrder, kOrderTimeout);
    }
    m_answers.m_held(aOrder, aPath, answer);
  });
}

void TargetConnection::Close()
{
  m_watchQueue.Stop();
  m_orderQueue.Stop();
}

void TargetConnection::ReportWait(const StartOrder& aOrder,
                                  Duration aWait,
                                  bool aSent)
{
  m_metrics.Observe("lycheestep_start_queue_seconds", "", aWait);
  if (aWait < kLoggedWait) {
    return;
  }
  m_log.Write(aSent ? "start-left-late" : "start-dropped",
              "task=" + TaskText(aOrder.m_run.m_task) +
                " run=" + std::to_string(aOrder.m_run.m_run) +
                " target=" + aOrder.m_to.m_target.Text() +
                " waited_ms=" + std::to_string(ToMilliseconds(aWait)));
}

void TargetConnection::Run(TaskQueue& aQueue)
{
  while (!aQueue.IsStopped()) {
    for (const TaskQueue::Task& task : aQueue.Take(kIdle)) {
      if (!aQueue.IsStopped()) {
        task();
      }
    }
  }
  --m_running;
}

} // namespace lycheestep
