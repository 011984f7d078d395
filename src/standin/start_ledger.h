#ifndef LYCHEESTEP_START_LEDGER_H
#define LYCHEESTEP_START_LEDGER_H

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lycheestep/target_orders.h"

namespace lycheestep {

// Records what callers submitted and which checkpoints targets reported, and
// tells which starts follow from neither.
class StartLedger
{
public:
  // Records a submission. A former one under the same id is forgotten together
  // with its runs and checkpoints.
  void OnSubmitted(const JobId& aJob, const JobSpec& aSpec);

  // Records the checkpoints in the reply of a target, as far as they are of
  // runs that started there since their job was submitted.
  void OnReported(const TargetId& aTarget, const HoldAnswer& aAnswer);

  // Checks a start that a target carries out at aWallNow, and returns what is
  // wrong with it.
  std::vector<std::string> Check(const StartOrder& aOrder, WallTime aWallNow);

  // Returns the submitted step, or null if there is none.
  const JobStep* StepOf(const StepName& aStep) const;

  // The number of correct starts that resumed from a checkpoint.
  std::size_t Resumed() const { return m_resumed; }

private:
  bool IsDue(const StepName& aStep, WallTime aWallNow) const;
  void Report(const TargetId& aTarget,
              const RunName& aRun,
              const std::string& aCheckpoint);
  // Returns the task, or the first task of its gang.
  TaskName OwnerOf(const TaskName& aTask) const;

  std::map<JobId, JobSpec> m_specs;
  std::map<RunName, std::set<TargetId>> m_startedOn;
  // The reported checkpoints of each task, or of each gang with its first task.
  std::map<TaskName, std::set<std::string>> m_checkpoints;
  std::size_t m_resumed = 0;
};

} // namespace lycheestep

#endif
