#include "lycheestep/control_thread.h"

#include <pthread.h>

#include <utility>

#include "action_dispatcher.h"
#include "lycheestep/kernel.h"
#include "lycheestep/metrics_sink.h"

namespace lycheestep {

ControlThread::ControlThread(std::unique_ptr<DecisionCore> aCore,
                             std::size_t aQueueLimit)
  : m_core(std::move(aCore))
  , m_queue(aQueueLimit)
{
}

ControlThread::~ControlThread()
{
  Stop();
}

std::error_code ControlThread::Start(Kernel& aKernel)
{
  m_dispatcher = std::make_unique<ActionDispatcher>(aKernel);
  m_metrics = aKernel.Find<MetricsSink>("metrics");
  m_thread = std::thread([this] { Run(); });
  pthread_setname_np(m_thread.native_handle(), "control");
  return {};
}

void ControlThread::Stop()
{
  m_queue.Close();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void ControlThread::Post(Event aEvent)
{
  m_queue.Push(std::move(aEvent));
}

bool ControlThread::TryPost(Event aEvent)
{
  return m_queue.TryPush(std::move(aEvent));
}

void ControlThread::RequestStop()
{
  m_stopping = true;
  m_queue.Push(StopRequested{});
}

bool ControlThread::WaitForStop(Duration aLimit)
{
  std::unique_lock<std::mutex> lock(m_stopMutex);
  return m_stopped.wait_for(lock, aLimit, [this] { return m_stopCompleted; });
}

void ControlThread::Run()
{
  std::vector<Event> events;
  while (!m_queue.IsClosed()) {
    m_queue.PopAll(m_core->NextWakeup(), events);
    if (m_metrics) {
      m_metrics->SetGauge("lycheestep_event_batch",
                          static_cast<double>(events.size()));
    }
    HandleEvents(events);
    events.clear();
  }
}

void ControlThread::HandleEvents(std::vector<Event>& aEvents)
{
  for (const Event& event : aEvents) {
    HandleOne(event);
  }
  if (Clock::now() >= m_core->NextWakeup()) {
    HandleOne(TimePassed{});
  }
}

void ControlThread::HandleOne(const Event& aEvent)
{
  m_core->Handle(aEvent, Clock::now(), m_actions);
  m_ready = m_core->IsReady();
  for (Action& action : m_actions) {
    if (m_dispatcher->Dispatch(action)) {
      NoteStopCompleted();
    }
  }
  m_actions.clear();
}

void ControlThread::NoteStopCompleted()
{
  {
    const std::lock_guard<std::mutex> lock(m_stopMutex);
    m_stopCompleted = true;
  }
  m_stopped.notify_all();
}

} // namespace lycheestep
