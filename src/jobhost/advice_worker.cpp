#include "advice_worker.h"

#include <pthread.h>

#include <chrono>
#include <utility>

namespace lycheestep {

namespace {

// A call with less time left is not made.
constexpr Duration kMinCallTime = std::chrono::milliseconds(20);

constexpr Duration kMaxQueueWait = std::chrono::minutes(10);

} // namespace

AdviceWorker::AdviceWorker(Advisor* aAdvisor)
  : m_advisor(aAdvisor)
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
                       DeliverAnswer aAnswer)
{
  const TimePoint until = Clock::now() + aTimeout;
  m_queue.Add([this, aRequest, until, answer = std::move(aAnswer)] {
    answer(CallAdvisor(aRequest, until));
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
