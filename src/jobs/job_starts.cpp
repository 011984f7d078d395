// The part of JobScheduler that sends the start orders of tasks whose
// dispatches are stored.
#include <algorithm>

#include "job_effects.h"
#include "job_scheduler.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// A permission has to be valid for at least this long when the start order is
// sent.
constexpr Duration kMinValidityAtSend = std::chrono::milliseconds(60);

} // namespace

void JobScheduler::SendStarts(TimePoint aNow)
{
  std::vector<RunName> runs;
  runs.swap(m_dispatchesInCommit);
  std::sort(runs.begin(), runs.end());
  auto run = runs.begin();
  while (run != runs.end()) {
    const StepName step = run->m_task.m_step;
    const auto end =
      std::find_if(run, runs.end(), [&step](const RunName& aRun) {
        return !(aRun.m_task.m_step == step);
      });
    SendStepStarts(std::vector<RunName>(run, end), aNow);
    run = end;
  }
}

void JobScheduler::SendStepStarts(const std::vector<RunName>& aRuns,
                                  TimePoint aNow)
{
  std::vector<RunName> current;
  for (const RunName& run : aRuns) {
    const TaskRef ref = FindTask(run.m_task);
    const bool isCurrent = ref.m_task != nullptr && !ref.m_job->IsOver() &&
                           ref.m_task->m_state == TaskState::kDispatched &&
                           ref.m_task->m_run == run.m_run;
    if (isCurrent) {
      ref.m_task->m_dispatchStored = true;
      current.push_back(run);
    }
  }
  if (current.empty()) {
    return;
  }
  const StepName step = current.front().m_task.m_step;
  if (FindTask(current.front().m_task).m_step->m_gang) {
    SendGangStarts(step, aNow);
    return;
  }
  for (const RunName& run : current) {
    SendStart(run, aNow);
  }
}

void JobScheduler::SendGangStarts(const StepName& aStep, TimePoint aNow)
{
  TaskRef ref = FindTask(TaskName{ aStep, 0 });
  const std::vector<JobTask>& tasks = ref.m_progress->m_tasks;
  const bool allStored =
    std::all_of(tasks.begin(), tasks.end(), [](const JobTask& aTask) {
      return aTask.m_state == TaskState::kDispatched && aTask.m_dispatchStored;
    });
  if (!allStored) {
    return; // a later commit stores the other members
  }
  std::vector<RunName> runs;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    runs.push_back(RunName{ TaskName{ aStep, i }, tasks[i].m_run });
  }
  const bool allSendable =
    std::all_of(runs.begin(), runs.end(), [&](const RunName& aRun) {
      return CanSend(aRun, aNow);
    });
  if (!allSendable) {
    StopGang(aStep, ref);
    RefreshReady(*ref.m_job);
    return;
  }
  for (const RunName& run : runs) {
    const TaskRef member = FindTask(run.m_task);
    if (member.m_task->m_state == TaskState::kDispatched) {
      SendStart(run, aNow);
    }
  }
}

bool JobScheduler::CanSend(const RunName& aRun, TimePoint aNow)
{
  const TaskRef ref = FindTask(aRun.m_task);
  const TargetState* target = m_keeper.Find(ref.m_task->m_target);
  const bool usable = m_mayStart && target != nullptr &&
                      target->TakesWork(aNow) &&
                      !IsOfOtherService(*ref.m_job, ref.m_task->m_target);
  if (!usable) {
    return false;
  }
  if (m_keeper.HasUnknownRun(aRun.m_task)) {
    // A former leader may reach a process that has seen no token yet.
    return false;
  }
  return !ref.m_job->m_terms.m_advice.m_required ||
         !m_advice
            .PermissionFor(
              aRun.m_task.m_step, *target, aNow + kMinValidityAtSend)
            .empty();
}

void JobScheduler::SendStart(const RunName& aRun, TimePoint aNow)
{
  TaskRef ref = FindTask(aRun.m_task);
  const TargetId target = ref.m_task->m_target;
  if (!CanSend(aRun, aNow)) {
    m_keeper.CancelReservation(target, aRun);
    RequeueTask(ref, aRun.m_task);
    return;
  }
  const std::string permission =
    ref.m_job->m_terms.m_advice.m_required
      ? m_advice.PermissionFor(
          aRun.m_task.m_step, *m_keeper.Find(target), aNow + kMinValidityAtSend)
      : std::string();
  ref.m_task->m_stored = true;
  const bool sent = m_keeper.Send(target,
                                  aRun,
                                  ref.m_job->m_spec.m_payload,
                                  ref.m_task->m_checkpoint,
                                  permission,
                                  aNow);
  const TargetState* state = m_keeper.Find(target);
  m_effects.Log(sent ? "run-sent" : "run-held-back",
                RunFields(aRun, target) + " " +
                  HoldFields(state != nullptr ? *state : TargetState()));
  if (!sent) {
    RequeueTask(ref, aRun.m_task);
  }
}

} // namespace lycheestep
