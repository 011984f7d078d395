#ifndef LYCHEESTEP_ADVICE_WORKER_H
#define LYCHEESTEP_ADVICE_WORKER_H

#include <functional>
#include <thread>

#include "lycheestep/advice.h"
#include "task_queue.h"

namespace lycheestep {

// Asks the advisor for this host and for others, one call after the other, on
// a thread of its own.
class AdviceWorker
{
public:
  using DeliverAnswer = std::function<void(const AdviceAnswer&)>;

  // aAdvisor may be null: then every call ends without answer.
  explicit AdviceWorker(Advisor* aAdvisor);
  ~AdviceWorker();
  AdviceWorker(const AdviceWorker&) = delete;
  AdviceWorker& operator=(const AdviceWorker&) = delete;

  // Calls aAnswer on the worker's thread, also when time is up before the
  // call's turn comes.
  void Ask(const AdviceRequest& aRequest,
           Duration aTimeout,
           DeliverAnswer aAnswer);

private:
  AdviceAnswer CallAdvisor(const AdviceRequest& aRequest, TimePoint aDeadline);
  void Run();

  Advisor* const m_advisor;
  TaskQueue m_queue;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
