#ifndef LYCHEESTEP_ADVICE_WORKER_H
#define LYCHEESTEP_ADVICE_WORKER_H

#include <functional>
#include <thread>

#include "lycheestep/advice.h"
#include "task_queue.h"

namespace lycheestep {

class MetricsSink;

// Makes the calls to the advisor for this host and for other hosts, one at a
// time, on its own thread.
class AdviceWorker
{
public:
  using AnswerCallback = std::function<void(const AdviceAnswer&)>;

  // aAdvisor may be null; every call then ends without a reply. aMetrics gets
  // the time that each call waits here and the time that it takes.
  AdviceWorker(Advisor* aAdvisor, MetricsSink& aMetrics);
  ~AdviceWorker();
  AdviceWorker(const AdviceWorker&) = delete;
  AdviceWorker& operator=(const AdviceWorker&) = delete;

  // Queues a call. aAnswer is called once, on the worker's thread, unless the
  // worker is destroyed first. The call ends without a reply if too
  // little of aTimeout is left when the worker takes the call from the queue.
  void Ask(const AdviceRequest& aRequest,
           Duration aTimeout,
           AnswerCallback aAnswer);

private:
  // Returns an AdviceAnswer with m_answered false if there is no advisor or too
  // little time left before aDeadline.
  AdviceAnswer CallAdvisor(const AdviceRequest& aRequest, TimePoint aDeadline);
  void Run();

  Advisor* const m_advisor;
  MetricsSink& m_metrics;
  TaskQueue m_queue;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
