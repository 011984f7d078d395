#ifndef LYCHEESTEP_ADVICE_CACHE_H
#define LYCHEESTEP_ADVICE_CACHE_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "job.h"
#include "lycheestep/advice.h"

namespace lycheestep {

class JobEffects;
class TargetManager;
struct TargetState;

// Which targets may run which steps, as far as the advisor was asked. A
// target's fitness for a step never changes, but the permission that a start
// carries runs out and is asked for again.
class AdviceCache
{
public:
  AdviceCache(JobEffects& aEffects, const TargetManager& aKeeper);

  // The permission to start the step on the target that is valid at aNow;
  // empty when there is none.
  std::string PermissionFor(const StepName& aStep,
                            const TargetState& aTarget,
                            TimePoint aNow) const;

  // True when some permission for the step is valid at aNow.
  bool HasPermission(const StepName& aStep, TimePoint aNow) const;

  // Calls aUse for each target that the step may be started on at aNow.
  void ForEachPermitted(
    const StepName& aStep,
    TimePoint aNow,
    const std::function<void(const TargetState&)>& aUse) const;

  // Calls aUse for each target that is fit for the step, whether or not a
  // start could be sent there now.
  void ForEachFit(const StepName& aStep,
                  const std::function<void(const TargetState&)>& aUse) const;

  // Asks for what aMissing waiting tasks of the step need, if a host is free
  // to ask. Room counts only on targets that aMayUse accepts.
  void Ask(const Job& aJob,
           const StepName& aStep,
           std::size_t aMissing,
           const std::function<bool(const TargetState&)>& aMayUse,
           TimePoint aNow);

  void OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow);

  // The target refused a permission.
  void Drop(const StepName& aStep, const TargetId& aTarget);

  // Nothing more is asked for the job's steps.
  void Forget(const JobId& aJob);

private:
  struct Permission
  {
    std::string m_text;
    TimePoint m_until;
    // The incarnation of the target that it holds for.
    WallTime m_started{ 0 };
  };

  struct StepAdvice
  {
    std::set<TargetId> m_asked;
    std::map<TargetId, Permission> m_fit;
    // Zero: no call is under way.
    std::uint64_t m_call = 0;
    TimePoint m_retryAt;
  };

  struct Call
  {
    StepName m_step;
    QueueName m_queue;
    std::vector<TargetId> m_targets;
    std::vector<WallTime> m_started;
  };

  // A target that was not asked about yet, and how many tasks have room there.
  struct NewTarget
  {
    std::size_t m_room = 0;
    const TargetState* m_target = nullptr;
  };

  struct Wanted
  {
    std::vector<const TargetState*> m_renewals;
    std::vector<NewTarget> m_newTargets;
    std::size_t m_capacityOnFit = 0;
  };

  Wanted FindTargetsToAsk(
    const Job& aJob,
    const StepName& aStep,
    const StepAdvice& aAdvice,
    const std::function<bool(const TargetState&)>& aMayUse,
    TimePoint aNow) const;
  std::vector<const TargetState*> ChooseTargets(const Job& aJob,
                                                const StepName& aStep,
                                                Wanted& aWanted,
                                                std::size_t aMissing) const;
  double FitShare(const QueueName& aQueue) const;

  JobEffects& m_effects;
  const TargetManager& m_keeper;
  std::map<StepName, StepAdvice> m_steps;
  std::map<std::uint64_t, Call> m_calls;
  // Share of the targets asked about that were fit, by queue.
  std::map<QueueName, double> m_fitShares;
  std::uint64_t m_lastCall = 0;
};

// How many tasks of the step fit into what is free on the target.
std::size_t TasksThatFit(const JobStep& aStep, const Resources& aFree);

// True when the step's tasks may run on the target as far as labels say.
bool LabelsAllow(const JobStep& aStep, const TargetState& aTarget);

} // namespace lycheestep

#endif
