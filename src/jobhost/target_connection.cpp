#include "target_connection.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "boot_clock.h"
#include "event_log.h"
#include "lycheestep/metrics_sink.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// Timeout of one order or hold, in addition to the time that a hold waits for
// the end of a run.
constexpr Duration kOrderTimeout = std::chrono::milliseconds(700);

// How long a thread waits for work before it checks again whether to end. Close
// wakes the thread earlier.
constexpr Duration kIdle = std::chrono::minutes(10);

// Starts and stops that waited for at least this long are logged.
constexpr Duration kLoggedWait = std::chrono::milliseconds(100);

// Returns the fields of a log line about an order that waited.
std::string WaitFields(const RunName& aRun,
                       const TargetId& aTarget,
                       Duration aWait)
{
  return RunFields(aRun, aTarget) +
         " waited_ms=" + std::to_string(ToMilliseconds(aWait));
}

} // namespace

TargetConnection::TargetConnection(TargetOrders& aOrders,
                                   EventLog& aLog,
                                   MetricsSink& aMetrics,
                                   std::function<bool()> aMaySend,
                                   OrderAnswerHandlers aAnswers,
                                   SenderLimit& aLimit,
                                   std::function<TimePoint()> aStartsNotAfter)
  : m_orders(aOrders)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_maySend(std::move(aMaySend))
  , m_startsNotAfter(std::move(aStartsNotAfter))
  , m_answers(std::move(aAnswers))
  , m_stopSenders(m_orderQueue, aLimit, [this](const QueuedOrder& aQueued) {
    Send(aQueued, HoldPath::kOrders);
  })
{
  m_watchThread = std::thread([this] { Run(m_watchQueue, HoldPath::kWatch); });
  pthread_setname_np(m_watchThread.native_handle(), "target-watch");
  m_orderThread = std::thread([this] { Run(m_orderQueue, HoldPath::kOrders); });
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
  m_orderQueue.Add(aOrder, BootClockNow());
}

void TargetConnection::Stop(const StopOrder& aOrder)
{
  m_orderQueue.Add(aOrder, BootClockNow());
  m_stopSenders.AddIfNeeded();
}

void TargetConnection::Pace(const PaceOrder& aOrder)
{
  m_orderQueue.Add(aOrder, BootClockNow());
}

void TargetConnection::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  (aPath == HoldPath::kWatch ? m_watchQueue : m_orderQueue)
    .Add(aOrder, BootClockNow());
}

void TargetConnection::Withdraw(const WithdrawOrder& aOrder)
{
  m_orderQueue.Withdraw(aOrder);
}

void TargetConnection::Close()
{
  m_watchQueue.Close();
  m_orderQueue.Close();
}

bool TargetConnection::IsIdle() const
{
  return m_watchQueue.IsEmpty() && m_orderQueue.IsEmpty();
}

bool TargetConnection::IsFinished() const
{
  return m_running == 0 && m_stopSenders.IsFinished();
}

void TargetConnection::Run(OrderQueue& aQueue, HoldPath aPath)
{
  while (!aQueue.IsDrained()) {
    const std::optional<QueuedOrder> queued =
      aQueue.Take(kIdle, OrderSelection::kAllButStops);
    if (queued) {
      Send(*queued, aPath);
    }
    m_stopSenders.JoinEnded();
  }
  --m_running;
}

void TargetConnection::Send(const QueuedOrder& aQueued, HoldPath aPath)
{
  if (const auto* start = std::get_if<StartOrder>(&aQueued.m_order)) {
    m_answers.m_started(*start, SendStart(*start, aQueued));
  } else if (const auto* stop = std::get_if<StopOrder>(&aQueued.m_order)) {
    m_answers.m_stopped(*stop, SendStop(*stop, aQueued));
  } else if (const auto* hold = std::get_if<HoldOrder>(&aQueued.m_order)) {
    m_answers.m_held(*hold, aPath, SendHold(*hold, aQueued));
  } else if (const auto* pace = std::get_if<PaceOrder>(&aQueued.m_order)) {
    SendPace(*pace, aQueued);
  }
}

OrderStatus TargetConnection::CheckSendable(const QueuedOrder& aQueued) const
{
  if (aQueued.m_withdrawn) {
    return OrderStatus::kWithdrawn;
  }
  return m_maySend() ? OrderStatus::kDone : OrderStatus::kNotSent;
}

OrderStatus TargetConnection::CheckStart(const StartOrder& aOrder,
                                         const QueuedOrder& aQueued,
                                         const char*& aReason) const
{
  const OrderStatus status = CheckSendable(aQueued);
  if (status != OrderStatus::kDone) {
    aReason = status == OrderStatus::kWithdrawn ? "withdrawn" : "lead";
    return status;
  }
  // After a start without a reply, the leader takes the target anew under a
  // higher fencing token. Starts under the former token would delay that.
  if (aOrder.m_to.m_fence <= m_unansweredFence) {
    aReason = "unanswered-start";
    return OrderStatus::kNotSent;
  }
  if (BootClockNow() >= aOrder.m_notAfter) {
    aReason = "cancellations";
    return OrderStatus::kNotSent;
  }
  return OrderStatus::kDone;
}

OrderAnswer TargetConnection::SendStart(StartOrder aOrder,
                                        const QueuedOrder& aQueued)
{
  aOrder.m_notAfter = std::min(aOrder.m_notAfter, m_startsNotAfter());
  OrderAnswer answer;
  const char* reason = "";
  answer.m_status = CheckStart(aOrder, aQueued, reason);
  const Duration wait = BootClockNow() - aQueued.m_queuedAt;
  if (answer.m_status != OrderStatus::kDone) {
    ReportDropped(aOrder, wait, reason);
    return answer;
  }
  ReportWait(aOrder, wait);
  answer = m_orders.Start(aOrder, kOrderTimeout);
  if (answer.m_status == OrderStatus::kUnknown) {
    m_unansweredFence = aOrder.m_to.m_fence;
  }
  return answer;
}

OrderAnswer TargetConnection::SendStop(const StopOrder& aOrder,
                                       const QueuedOrder& aQueued)
{
  OrderAnswer answer;
  answer.m_status = CheckSendable(aQueued);
  if (answer.m_status != OrderStatus::kDone) {
    return answer;
  }
  ReportWait(aOrder, BootClockNow() - aQueued.m_queuedAt);
  return m_orders.Stop(aOrder, kOrderTimeout);
}

HoldAnswer TargetConnection::SendHold(const HoldOrder& aOrder,
                                      const QueuedOrder& aQueued)
{
  HoldAnswer answer;
  answer.m_status = CheckSendable(aQueued);
  return answer.m_status == OrderStatus::kDone
           ? m_orders.Hold(aOrder, kOrderTimeout)
           : answer;
}

void TargetConnection::SendPace(const PaceOrder& aOrder,
                                const QueuedOrder& aQueued)
{
  if (CheckSendable(aQueued) == OrderStatus::kDone) {
    m_orders.Pace(aOrder, kOrderTimeout);
  }
}

void TargetConnection::ReportWait(const StartOrder& aOrder, Duration aWait)
{
  m_metrics.Observe("lycheestep_start_queue_seconds", "", aWait);
  if (aWait >= kLoggedWait) {
    m_log.Write("start-left-late",
                WaitFields(aOrder.m_run, aOrder.m_to.m_target, aWait));
  }
}

void TargetConnection::ReportDropped(const StartOrder& aOrder,
                                     Duration aWait,
                                     const char* aReason)
{
  const std::string reason = aReason;
  m_metrics.Observe("lycheestep_start_queue_seconds", "", aWait);
  m_metrics.Count(
    "lycheestep_starts_dropped_total", "reason=\"" + reason + '"', 1);
  if (aWait >= kLoggedWait || reason == "cancellations") {
    m_log.Write("start-dropped",
                WaitFields(aOrder.m_run, aOrder.m_to.m_target, aWait) +
                  " reason=" + reason);
  }
}

void TargetConnection::ReportWait(const StopOrder& aOrder, Duration aWait)
{
  m_metrics.Observe("lycheestep_stop_queue_seconds", "", aWait);
  if (aWait >= kLoggedWait) {
    m_log.WriteNotable("stop-left-late",
                       WaitFields(aOrder.m_run, aOrder.m_to.m_target, aWait));
  }
}

} // namespace lycheestep
