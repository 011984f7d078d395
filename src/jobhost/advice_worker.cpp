#include "advice_worker.h"

#include <pthread.h>

#include <chrono>
#include <utility>

namespace lycheestep {

namespace {

// A call with less time left is not made.
constexpr Duration kLeastTime = std::chrono::milliseconds(20);

constexpr Duration kIdle = std::chrono::minutes(10);

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
                       Answer aAnswer)
{
  const TimePoint until = Clock::now() + aTimeout;
  m_queue.Add([this, aRequest, until, answer = std::move(aAnswer)] {
    answer(AskNow(aRequest, until));
  });
}

AdviceAnswer AdviceWorker::AskNow(const AdviceRequest& aRequest,
                                  TimePoint aUntil)
{
  const Duration left = aUntil - Clock::now();
  if (m_advisor == nullptr || left < kLeastTime) {
    AdviceAnswer answer;
    answer.m_ticket = aRequest.m_ticket;
    return answer;
  }
  return m_advisor->Ask(aRequest, left);
}

void AdviceWorker::Run()
{
  while (!m_queue.IsStopped()) {
    for (const TaskQueue::Task& task : m_queue.Take(kIdle)) {
      if (m_queue.IsStopped()) {
        return;
      }
      task();
    }
  }
}

} // namespace lycheestep
