#include "advice_worker.h"

#include <pthread.h>

#include <chrono>
#include <utility>

#include "lycheestep/metrics_sink.h"

namespace lycheestep {

namespace {

// The advisor is not called if less time than this is left.
constexpr Duration kMinCallTime = std::chrono::milliseconds(20);

// How long the worker thread waits for a call to be queued before it checks
// again whether it must stop. A new call or TaskQueue::Stop ends the wait at
// once.
constexpr Duration kMaxQueueWait = std::chrono::minutes(10);

} // namespace

AdviceWorker::AdviceWorker(Advisor* aAdvisor, MetricsSink& aMetrics)
  : m_advisor(aAdvisor)
  , m_metrics(aMetrics)
{
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "advice");
}

AdviceWorker::~AdviceWorker()
{
  m_queue.Stop();
  m_thread.join();
}

void AdviceWorker::Ask(const AdviceRequest& aRequest,
                       Duration aTimeout,
                       AnswerCallback aAnswer)
{
  const TimePoint queued = Clock::now();
  m_queue.Add([this, aRequest, queued, aTimeout, answer = std::move(aAnswer)] {
    const TimePoint begun = Clock::now();
    const AdviceAnswer reply = CallAdvisor(aRequest, queued + aTimeout);
    m_metrics.Observe("lycheestep_advice_queue_seconds", "", begun - queued);
    m_metrics.Observe("lycheestep_advice_call_seconds",
                      reply.m_answered ? "answered=\"yes\"" : "answered=\"no\"",
                      Clock::now() - begun);
    answer(reply);
  });
}

AdviceAnswer AdviceWorker::CallAdvisor(const AdviceRequest& aRequest,
                                       TimePoint aDeadline)
{
  const Duration left = aDeadline - Clock::now();
  if (m_advisor == nullptr || left < kMinCallTime) {
    AdviceAnswer answer;
    answer.m_ticket = aRequest.m_ticket;
    return answer;
  }
  return m_advisor->Ask(aRequest, left);
}

void AdviceWorker::Run()
{
  while (!m_queue.IsStopped()) {
    for (const TaskQueue::Task& task : m_queue.Take(kMaxQueueWait)) {
      if (m_queue.IsStopped()) {
        return;
      }
      task();
    }
  }
}

} // namespace lycheestep
