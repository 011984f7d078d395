#include "scheduler_core.h"

namespace lycheestep {

SchedulerCore::SchedulerCore(const SchedulerSettings& aSettings)
  : m_scheduler(aSettings, Clock::now())
{
}

void SchedulerCore::Handle(const Event& aEvent,
                           TimePoint aNow,
                           ActionList& aActions)
{
  m_scheduler.Handle(aEvent, aNow, aActions);
}

TimePoint SchedulerCore::NextWakeup() const
{
  return m_scheduler.NextWakeup();
}

bool SchedulerCore::IsReady() const
{
  return m_scheduler.IsReady();
}

} // namespace lycheestep
