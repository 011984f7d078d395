#include "start_ledger.h"

#include <algorithm>

#include "run_text.h"

namespace lycheestep {

void StartLedger::OnSubmitted(const JobId& aJob, const JobSpec& aSpec)
{
  m_specs[aJob] = aSpec;
  const TaskName first{ StepName{ aJob, 0, 0 }, 0 };
  auto checkpoint = m_checkpoints.lower_bound(first);
  while (checkpoint != m_checkpoints.end() &&
         checkpoint->first.m_step.m_job == aJob) {
    checkpoint = m_checkpoints.erase(checkpoint);
  }
  auto started = m_startedOn.lower_bound(RunName{ first, 0 });
  while (started != m_startedOn.end() &&
         started->first.m_task.m_step.m_job == aJob) {
    started = m_startedOn.erase(started);
  }
}

void StartLedger::OnReported(const TargetId& aTarget, const HoldAnswer& aAnswer)
{
  for (const RunningTask& running : aAnswer.m_running) {
    Report(aTarget, running.m_run, running.m_checkpoint);
  }
  for (const EndedTask& ended : aAnswer.m_ended) {
    Report(aTarget, ended.m_run, ended.m_checkpoint);
  }
}

std::vector<std::string> StartLedger::Check(const StartOrder& aOrder,
                                            WallTime aWallNow)
{
  m_startedOn[aOrder.m_run].insert(aOrder.m_to.m_target);
  const TaskName& task = aOrder.m_run.m_task;
  const std::string text = TaskText(task);
  const JobStep* step = StepOf(task.m_step);
  if (step == nullptr || task.m_index >= step->m_count) {
    return { "NEVER SUBMITTED " + text };
  }
  std::vector<std::string> broken;
  if (!IsDue(task.m_step, aWallNow)) {
    broken.push_back("NOT DUE " + text);
  }
  if (aOrder.m_payload != m_specs.at(task.m_step.m_job).m_payload) {
    broken.push_back("ANOTHER PAYLOAD " + text);
  }
  if (!aOrder.m_checkpoint.empty() &&
      m_checkpoints[OwnerOf(task)].count(aOrder.m_checkpoint) == 0) {
    broken.push_back("ANOTHER CHECKPOINT " + text + " " + aOrder.m_checkpoint);
  }
  m_resumed += !aOrder.m_checkpoint.empty() && broken.empty() ? 1 : 0;
  return broken;
}

const JobStep* StartLedger::StepOf(const StepName& aStep) const
{
  const auto spec = m_specs.find(aStep.m_job);
  if (spec == m_specs.end()) {
    return nullptr;
  }
  const std::uint32_t occurrences = std::max(1U, spec->second.m_occurrences);
  const bool known = aStep.m_occurrence < occurrences &&
                     aStep.m_step < spec->second.m_steps.size();
  return known ? &spec->second.m_steps[aStep.m_step] : nullptr;
}

bool StartLedger::IsDue(const StepName& aStep, WallTime aWallNow) const
{
  const JobSpec& spec = m_specs.at(aStep.m_job);
  return spec.m_occurrences == 0 ||
         spec.m_firstDue + spec.m_interval * aStep.m_occurrence <= aWallNow;
}

void StartLedger::Report(const TargetId& aTarget,
                         const RunName& aRun,
                         const std::string& aCheckpoint)
{
  const auto started = m_startedOn.find(aRun);
  const bool known =
    started != m_startedOn.end() && started->second.count(aTarget) > 0;
  if (known && !aCheckpoint.empty()) {
    m_checkpoints[OwnerOf(aRun.m_task)].insert(aCheckpoint);
  }
}

TaskName StartLedger::OwnerOf(const TaskName& aTask) const
{
  const JobStep* step = StepOf(aTask.m_step);
  const bool isGang = step != nullptr && step->m_gang;
  return isGang ? TaskName{ aTask.m_step, 0 } : aTask;
}

} // namespace lycheestep
