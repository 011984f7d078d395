#ifndef LYCHEESTEP_PREEMPTION_H
#define LYCHEESTEP_PREEMPTION_H

#include <vector>

#include "admission_queue.h"
#include "fleet.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"
#include "running_task.h"

namespace lycheestep {

// Chooses the tasks that are checkpointed and stopped so that more urgent
// work inside its floor can start.
class Preemption
{
public:
  // Both outlive this.
  Preemption(const Catalogue& aCatalogue, const AdmissionQueue& aQueue);

  // True when a task of the kind may be a victim for work of aFor: it can be
  // checkpointed, is of a less urgent class that runs more than its floor,
  // runs alone and not as part of a gang or
  // service, and no promised customer depends on it.
  bool MayStop(const KindName& aKind, WorkClass aFor) const;

  // Tasks of one target whose end makes room there for aDemand; empty when
  // there are none or when aFor has its floor already. Among the targets, the
  // one is taken that loses the least run time, counted from the start of
  // each task.
  std::vector<RunningTask> ChooseVictims(const Fleet& aFleet,
                                         const std::vector<RunningTask>& aTasks,
                                         const Resources& aDemand,
                                         WorkClass aFor,
                                         TimePoint aNow) const;

private:
  const Catalogue& m_catalogue;
  const AdmissionQueue& m_queue;
};

} // namespace lycheestep

#endif
