#ifndef LYCHEESTEP_CONTROL_THREAD_H
#define LYCHEESTEP_CONTROL_THREAD_H

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "lycheestep/action.h"
#include "lycheestep/decision_core.h"
#include "lycheestep/event_queue.h"
#include "lycheestep/event_sink.h"
#include "lycheestep/service.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class ActionDispatcher;
class MetricsSink;

// The one thread that owns control state. Takes events from the queue, hands
// them to the decision core with the time at which it does so, and passes the
// actions on to the services "platform", "targets", "gateway", "peers", "log"
// and "metrics". A missing service makes its actions vanish, which tests use.
class ControlThread
  : public Service
  , public EventSink
{
public:
  ControlThread(std::unique_ptr<DecisionCore> aCore, std::size_t aQueueLimit);
  ~ControlThread() override;

  std::string Name() const override { return "control"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override;

  void Post(Event aEvent) override;
  bool TryPost(Event aEvent) override;

  // True when the decision core takes new work and no stop was requested.
  bool IsReady() const { return m_ready && !m_stopping; }

  // Starts a graceful stop: not ready from now on.
  void RequestStop();

  // Waits for the decision core to complete its graceful stop. False when it
  // did not within aLimit.
  bool WaitForStop(Duration aLimit);

private:
  void Run();
  void HandleEvents(std::vector<Event>& aEvents);
  void HandleOne(const Event& aEvent);
  void NoteStopCompleted();

  std::unique_ptr<DecisionCore> m_core;
  EventQueue m_queue;
  std::unique_ptr<ActionDispatcher> m_dispatcher;
  MetricsSink* m_metrics = nullptr;
  ActionList m_actions;
  std::thread m_thread;
  std::atomic<bool> m_ready{ false };
  std::atomic<bool> m_stopping{ false };
  std::mutex m_stopMutex;
  std::condition_variable m_stopped;
  bool m_stopCompleted = false;
};

} // namespace lycheestep

#endif
