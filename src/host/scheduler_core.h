#ifndef LYCHEESTEP_SCHEDULER_CORE_H
#define LYCHEESTEP_SCHEDULER_CORE_H

#include "lycheestep/decision_core.h"
#include "lycheestep/scheduler.h"

namespace lycheestep {

// Adapts Scheduler to the DecisionCore interface of the control thread.
class SchedulerCore : public DecisionCore
{
public:
  explicit SchedulerCore(const SchedulerSettings& aSettings);

  void Handle(const Event& aEvent,
              TimePoint aNow,
              ActionList& aActions) override;
  TimePoint NextWakeup() const override;
  bool IsReady() const override;

private:
  Scheduler m_scheduler;
};

} // namespace lycheestep

#endif
