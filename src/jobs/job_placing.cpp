// The placement part of JobScheduler: places the tasks of ready steps on
// targets.
#include <algorithm>
#include <iterator>

#include "job_effects.h"
#include "job_scheduler.h"
#include "placement.h"

namespace lycheestep {

namespace {

// A permission has to be valid for at least this long when a task is placed.
constexpr Duration kMinValidityAtPlacement = std::chrono::milliseconds(200);

// While less of the fleet's processors is in use, the queues share the hosts
// that call the advisor. Calls of the most urgent queue may take a second each,
// and others would leave the fleet empty meanwhile.
constexpr std::int64_t kBusyFleetPercent = 60;
constexpr std::int64_t kWhole = 100;

template<typename Predicate>
std::vector<PlacementCandidate> Select(
  const std::vector<PlacementCandidate>& aCandidates,
  const Predicate& aPredicate)
{
  std::vector<PlacementCandidate> selected;
  std::copy_if(aCandidates.begin(),
               aCandidates.end(),
               std::back_inserter(selected),
               aPredicate);
  return selected;
}

} // namespace

std::vector<JobScheduler::ReadyStep*> JobScheduler::RankReadySteps(
  TimePoint aNow)
{
  std::vector<ReadyStep*> steps;
  steps.reserve(m_ready.size());
  for (auto& [name, step] : m_ready) {
    const Job& job = *step.m_job;
    if (step.m_progress->m_dispatched > 0 && !step.m_step->m_longRunning) {
      step.m_idleSince = aNow;
    }
    const StepRank::Lateness before = step.m_rank.m_lateness;
    step.m_rank = RankOf(
      job.m_terms, job.m_criticalPath, step.m_remaining, step.m_due, aNow);
    if (step.m_step->m_gang && step.m_rank.m_lateness > before) {
      m_monitor.ReportLate(
        name, step.m_step->m_count, step.m_rank.m_lateness, step.m_waits, aNow);
    }
    steps.push_back(&step);
  }
  std::stable_sort(steps.begin(),
                   steps.end(),
                   [](const ReadyStep* aLeft, const ReadyStep* aRight) {
                     return aLeft->m_rank < aRight->m_rank;
                   });
  return steps;
}

void JobScheduler::PlaceAll(TimePoint aNow)
{
  m_placementDue = false;
  m_lastPlacement = aNow;
  m_gangReservations.BeginRound(m_keeper.ListedCapacity(), aNow);
  m_avoidedTargets.BeginRound(m_keeper.Targets(), aNow);
  const std::vector<ReadyStep*> steps = RankReadySteps(aNow);
  m_advice.Hosts().BeginRound(CountQueues(steps), HasMuchFreeCapacity());
  m_stepsOverShare.clear();
  std::size_t tried = 0;
  for (ReadyStep* step : steps) {
    const bool adviceNeeded = step->m_job->m_terms.m_advice.m_required;
    // Gangs that may reserve capacity are always tried, so that they keep it.
    const bool mayReserve =
      step->m_step->m_gang &&
      step->m_rank.m_lateness != StepRank::Lateness::kTooLate;
    const bool worthTrying =
      !adviceNeeded || mayReserve || MayAskAdvisor(*step) ||
      m_advice.HasPermission(step->m_name, aNow + kMinValidityAtPlacement);
    if (worthTrying) {
      ++tried;
      // Passes a copy, as m_ready loses a step when all its tasks are placed.
      PlaceStep(ReadyStep(*step), aNow);
    } else {
      const bool asking = m_advice.IsAsking(step->m_name);
      step->m_waits.Note(asking ? StepWait::kAdvice : StepWait::kAdvisor, aNow);
    }
  }
  AskBeyondShares(aNow);
  m_monitor.NoteRound(tried);
}

std::size_t JobScheduler::CountQueues(const std::vector<ReadyStep*>& aSteps)
{
  std::set<QueueName> queues;
  for (const ReadyStep* step : aSteps) {
    queues.insert(step->m_job->m_terms.m_name);
  }
  return queues.size();
}

bool JobScheduler::HasMuchFreeCapacity() const
{
  std::int64_t used = 0;
  std::int64_t total = 0;
  for (const auto& [id, target] : m_keeper.Targets()) {
    used += target.m_used.Get(ResourceKind::kProcessors);
    total += target.m_record.m_capacity.Get(ResourceKind::kProcessors);
  }
  return used * kWhole < total * kBusyFleetPercent;
}

void JobScheduler::PlaceStep(const ReadyStep& aStep, TimePoint aNow)
{
  std::vector<PlacementCandidate> candidates = FindCandidates(aStep, aNow);
  const std::size_t missing = aStep.m_step->m_gang
                                ? PlaceGang(aStep, candidates)
                                : PlaceTasks(aStep, candidates, aNow);
  const Job& job = *aStep.m_job;
  if (aStep.m_step->m_gang && missing == 0) {
    m_gangReservations.Release(aStep.m_name);
  } else if (aStep.m_step->m_gang) {
    ReserveForGang(aStep, aNow);
  }
  if (missing > 0 && job.m_terms.m_advice.m_required) {
    AskAdvisor(aStep, missing, false, aNow);
  }
  const auto ready = m_ready.find(aStep.m_name);
  if (ready != m_ready.end()) {
    ready->second.m_waits.Note(WaitOf(aStep, aNow), aNow);
  } else {
    m_monitor.ReportPlaced(aStep.m_name,
                           aStep.m_step->m_gang,
                           aStep.m_step->m_count,
                           aStep.m_waits,
                           aNow);
  }
}

bool JobScheduler::MayAskAdvisor(const ReadyStep& aStep) const
{
  return m_advice.Hosts().MayAsk(aStep.m_job->m_terms,
                                 aStep.m_rank.m_lateness ==
                                   StepRank::Lateness::kInTime);
}

void JobScheduler::AskAdvisor(const ReadyStep& aStep,
                              std::size_t aMissing,
                              bool aBeyondShare,
                              TimePoint aNow)
{
  AdviceNeed need;
  need.m_missing = aMissing;
  need.m_together = aStep.m_step->m_gang;
  need.m_inTime = aStep.m_rank.m_lateness == StepRank::Lateness::kInTime;
  need.m_beyondShare = aBeyondShare;
  need.m_expectedAt = m_gangReservations.ReadyAt(aStep.m_name);
  need.m_mayUse = [&](const TargetState& aTarget) {
    return MayUse(aStep, aTarget, aNow);
  };
  need.m_available = [&](const TargetState& aTarget) {
    return FreeFor(aStep, aTarget, aNow);
  };
  if (!m_advice.Ask(*aStep.m_job, aStep.m_name, need, aNow)) {
    m_stepsOverShare.emplace_back(aStep.m_name, aMissing);
  }
}

void JobScheduler::AskBeyondShares(TimePoint aNow)
{
  for (const auto& [name, missing] : m_stepsOverShare) {
    const auto step = m_ready.find(name);
    if (step != m_ready.end() && MayAskAdvisor(step->second)) {
      AskAdvisor(step->second, missing, true, aNow);
    }
  }
}

StepWait JobScheduler::WaitOf(const ReadyStep& aStep, TimePoint aNow) const
{
  if (m_advice.IsAsking(aStep.m_name)) {
    return StepWait::kAdvice;
  }
  const bool lacksHost = aStep.m_job->m_terms.m_advice.m_required &&
                         !MayAskAdvisor(aStep) &&
                         !m_advice.HasPermission(aStep.m_name, aNow);
  return lacksHost ? StepWait::kAdvisor : StepWait::kCapacity;
}

void JobScheduler::ReportFleet(TimePoint aNow)
{
  WaitingSteps waiting;
  for (const auto& [name, step] : m_ready) {
    if (step.m_step->m_gang) {
      ++waiting.m_gangs;
      AddWaitingGang(step, aNow, waiting);
    }
    ++waiting.m_steps[static_cast<std::size_t>(WaitOf(step, aNow))];
  }
  m_monitor.ReportFleet(waiting, m_keeper, m_gangReservations, aNow);
  m_monitor.ReportAdvice(m_advice.TakeCounts());
}

void JobScheduler::AddWaitingGang(const ReadyStep& aGang,
                                  TimePoint aNow,
                                  WaitingSteps& aWaiting) const
{
  WaitingGangs& group =
    aWaiting.m_gangsByWidth[WidthGroupOf(aGang.m_step->m_count)];
  ++group.m_gangs[static_cast<std::size_t>(aGang.m_rank.m_lateness)];
  const auto readyAt = m_gangReservations.ReadyAt(aGang.m_name);
  group.m_reserved += readyAt ? 1 : 0;
  group.m_reservedFree += readyAt && *readyAt <= aNow ? 1 : 0;
  group.m_oldest = std::max(group.m_oldest, aNow - aGang.m_waits.m_readySince);
}

// Reserves targets for a gang that did not fit. A gang that is too late to be
// of use to its caller reserves none, so as to keep no capacity from others.
void JobScheduler::ReserveForGang(const ReadyStep& aStep, TimePoint aNow)
{
  if (aStep.m_rank.m_lateness == StepRank::Lateness::kTooLate) {
    return;
  }
  const JobStep& step = *aStep.m_step;
  WaitingGang gang;
  gang.m_step = aStep.m_name;
  gang.m_priority = aStep.m_job->m_terms.m_priority;
  gang.m_demand = DemandOf(step);
  gang.m_count = step.m_count;
  gang.m_maxPerTarget = step.m_maxPerTarget;
  const ServiceName& service = aStep.m_job->m_terms.m_service;
  gang.m_targets = [&] {
    std::vector<const TargetState*> targets;
    const auto add = [&](const TargetState& aTarget) {
      if (aTarget.m_record.m_service == service && LabelsAllow(step, aTarget) &&
          MayUse(aStep, aTarget, aNow)) {
        targets.push_back(&aTarget);
      }
    };
    if (aStep.m_job->m_terms.m_advice.m_required) {
      m_advice.ForEachFit(aStep.m_name, add);
    } else {
      for (const auto& [id, target] : m_keeper.Targets()) {
        add(target);
      }
    }
    return targets;
  };
  m_gangReservations.OnGangNotPlaced(gang, aNow);
}

bool JobScheduler::MayUse(const ReadyStep& aStep,
                          const TargetState& aTarget,
                          TimePoint aNow) const
{
  PlacementNeed need;
  need.m_idleFor = aNow - aStep.m_idleSince;
  need.m_longRunning = aStep.m_step->m_longRunning;
  return aTarget.TakesWork(aNow) &&
         m_avoidedTargets.MayUse(aTarget, need, aNow);
}

std::vector<PlacementCandidate> JobScheduler::FindCandidates(
  const ReadyStep& aStep,
  TimePoint aNow)
{
  std::vector<PlacementCandidate> candidates;
  const auto add = [&](const TargetState& aTarget) {
    AddCandidate(aStep, aTarget, aNow, candidates);
  };
  if (aStep.m_job->m_terms.m_advice.m_required) {
    m_advice.ForEachPermitted(
      aStep.m_name, aNow + kMinValidityAtPlacement, add);
  } else {
    for (const auto& [id, target] : m_keeper.Targets()) {
      add(target);
    }
  }
  return candidates;
}

Resources JobScheduler::FreeFor(const ReadyStep& aStep,
                                const TargetState& aTarget,
                                TimePoint aNow) const
{
  const TargetId& target = aTarget.m_record.m_target;
  const Resources reserved =
    aStep.m_step->m_gang
      ? m_gangReservations.ReservedFromGang(aStep.m_name, target)
      : m_gangReservations.ReservedFromTask(
          target,
          TaskUse{ aStep.m_job->m_terms.m_priority,
                   aNow,
                   aNow + EstimateOf(*aStep.m_step) });
  return aTarget.Free() - reserved;
}

void JobScheduler::AddCandidate(const ReadyStep& aStep,
                                const TargetState& aTarget,
                                TimePoint aNow,
                                std::vector<PlacementCandidate>& aCandidates)
{
  const JobStep& step = *aStep.m_step;
  const Resources free = FreeFor(aStep, aTarget, aNow);
  const bool usable =
    MayUse(aStep, aTarget, aNow) &&
    aTarget.m_record.m_service == aStep.m_job->m_terms.m_service &&
    DemandOf(step).FitsIn(free) && LabelsAllow(step, aTarget) &&
    !InterferesWithRuns(step, aTarget);
  if (!usable) {
    return;
  }
  PlacementCandidate candidate;
  candidate.m_target = &aTarget;
  candidate.m_free = free;
  candidate.m_quarantined = aTarget.IsQuarantined(aNow);
  candidate.m_tasksLeft = TasksAllowed(aStep.m_name, step, aTarget);
  candidate.m_nearData = step.m_dataRack.empty() ||
                         step.m_dataRack == aTarget.m_record.m_rack.Text();
  aCandidates.push_back(candidate);
}

// Returns true if the step must not share the target with its current runs.
// Work that fills idle time slows work that serves users, by amounts that
// change within seconds, so the two never share a target.
bool JobScheduler::InterferesWithRuns(const JobStep& aStep,
                                      const TargetState& aTarget)
{
  const bool serves = aStep.m_responseTarget > Duration::zero();
  if (!serves && !aStep.m_fillsIdle) {
    return false;
  }
  return std::any_of(
    aTarget.m_runs.begin(), aTarget.m_runs.end(), [&](const auto& aRun) {
      const TaskRef ref = FindTask(aRun.first.m_task);
      if (ref.m_step == nullptr) {
        return true; // an unknown task may be of the other kind
      }
      return serves ? ref.m_step->m_fillsIdle
                    : ref.m_step->m_responseTarget > Duration::zero();
    });
}

std::uint32_t JobScheduler::TasksAllowed(const StepName& aName,
                                         const JobStep& aStep,
                                         const TargetState& aTarget)
{
  if (aStep.m_maxPerTarget == 0) {
    return aStep.m_count;
  }
  std::uint32_t placed = 0;
  auto run = aTarget.m_runs.lower_bound(RunName{ TaskName{ aName, 0 }, 0 });
  while (run != aTarget.m_runs.end() && run->first.m_task.m_step == aName) {
    ++placed;
    ++run;
  }
  return aStep.m_maxPerTarget - std::min(placed, aStep.m_maxPerTarget);
}

std::size_t JobScheduler::PlaceTasks(
  const ReadyStep& aStep,
  std::vector<PlacementCandidate>& aCandidates,
  TimePoint aNow)
{
  const JobStep& step = *aStep.m_step;
  StepProgress& progress = *aStep.m_progress;
  const Resources demand = DemandOf(step);
  std::size_t missing = 0;
  for (std::uint32_t i = 0; i < progress.m_tasks.size(); ++i) {
    JobTask& task = progress.m_tasks[i];
    const bool mayPlace = task.m_state == TaskState::kWaiting &&
                          task.m_notBefore <= aNow &&
                          !m_keeper.HasUnknownRun(TaskName{ aStep.m_name, i });
    if (!mayPlace) {
      continue;
    }
    const TargetId avoid = task.m_failures > 0 ? task.m_target : TargetId();
    const auto chosen = ChooseTarget(aCandidates, demand, avoid);
    if (!chosen) {
      ++missing;
      continue;
    }
    Dispatch(aStep,
             i,
             task.m_run + 1,
             aCandidates[*chosen].m_target->m_record.m_target);
  }
  if (!progress.AnyWaiting()) {
    m_ready.erase(aStep.m_name);
  }
  return missing;
}

bool JobScheduler::IsHeldBack(const ReadyStep& aGang) const
{
  for (std::uint32_t i = 0; i < aGang.m_step->m_count; ++i) {
    if (m_keeper.HasUnknownRun(TaskName{ aGang.m_name, i })) {
      return true;
    }
  }
  return false;
}

std::size_t JobScheduler::PlaceGang(
  const ReadyStep& aStep,
  const std::vector<PlacementCandidate>& aCandidates)
{
  const JobStep& step = *aStep.m_step;
  StepProgress& progress = *aStep.m_progress;
  if (IsHeldBack(aStep)) {
    return 0;
  }
  const auto isHealthy = [](const PlacementCandidate& aCandidate) {
    return !aCandidate.m_quarantined;
  };
  const auto hasNotFailed = [&](const PlacementCandidate& aCandidate) {
    return isHealthy(aCandidate) &&
           progress.m_failedOn.count(aCandidate.m_target->m_record.m_target) ==
             0;
  };
  const auto choose = [&step](const std::vector<PlacementCandidate>& aFrom) {
    return ChooseGang(aFrom, DemandOf(step), step.m_count, step.m_sameRack);
  };
  // Targets on which a member failed are used only if the gang does not fit on
  // the others, and those in quarantine last.
  std::vector<PlacementCandidate> from = Select(aCandidates, hasNotFailed);
  auto chosen = choose(from);
  if (!chosen && from.size() < aCandidates.size()) {
    from = Select(aCandidates, isHealthy);
    chosen = choose(from);
  }
  if (!chosen && from.size() < aCandidates.size()) {
    from = aCandidates;
    chosen = choose(from);
  }
  if (!chosen) {
    return step.m_count;
  }
  DispatchGang(aStep, from, *chosen);
  return 0;
}

void JobScheduler::DispatchGang(const ReadyStep& aStep,
                                const std::vector<PlacementCandidate>& aFrom,
                                const std::vector<std::size_t>& aChosen)
{
  const std::uint32_t run = aStep.m_progress->m_lastRun + 1;
  for (std::uint32_t i = 0; i < aStep.m_step->m_count; ++i) {
    Dispatch(aStep, i, run, aFrom[aChosen[i]].m_target->m_record.m_target);
  }
  m_ready.erase(aStep.m_name);
}

void JobScheduler::Dispatch(const ReadyStep& aStep,
                            std::uint32_t aIndex,
                            std::uint32_t aRun,
                            const TargetId& aTarget)
{
  const JobStep& step = *aStep.m_step;
  StepProgress& progress = *aStep.m_progress;
  JobTask& task = progress.m_tasks[aIndex];
  task.m_state = TaskState::kDispatched;
  task.m_run = aRun;
  task.m_target = aTarget;
  task.m_dispatchStored = false;
  task.m_stored = false;
  task.m_seenRunning = false;
  task.m_placedAt = m_now;
  m_advice.NoteUsed(aStep.m_name, aTarget);
  ++progress.m_dispatched;
  progress.m_lastRun = std::max(progress.m_lastRun, aRun);
  const RunName run{ TaskName{ aStep.m_name, aIndex }, aRun };
  m_keeper.Reserve(aTarget, run, DemandOf(step), EstimateOf(step));
  m_directory.Add(AddressOf(*m_keeper.Find(aTarget)));
  m_unstoredDispatches.push_back(run);
  MarkTaskChanged(run.m_task);
}

} // namespace lycheestep
