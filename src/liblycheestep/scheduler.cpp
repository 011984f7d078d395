#include "lycheestep/scheduler.h"

#include "scheduler_state.h"

namespace lycheestep {

Scheduler::Scheduler(const SchedulerSettings& aSettings, TimePoint aNow)
  : m_state(std::make_unique<SchedulerState>(aSettings, aNow))
{
}

Scheduler::~Scheduler() = default;

void Scheduler::Handle(const Event& aEvent,
                       TimePoint aNow,
                       ActionList& aActions)
{
  m_state->Handle(aEvent, aNow, aActions);
}

TimePoint Scheduler::NextWakeup() const
{
  return m_state->NextWakeup();
}

bool Scheduler::IsReady() const
{
  return m_state->IsReady();
}

} // namespace lycheestep
