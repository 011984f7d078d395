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

// Caches the advisor's answers: which targets are fit for which steps, and the
// permissions to start them there. A target's fitness for a step never changes,
// but the permission that a start order carries expires and is requested again.
class AdviceCache
{
public:
  AdviceCache(JobEffects& aEffects, const TargetManager& aKeeper);

  // Returns the permission to start the step on the target's current
  // incarnation that is valid at aNow, or an empty string if there is none.
  std::string PermissionFor(const StepName& aStep,
                            const TargetState& aTarget,
                            TimePoint aNow) const;

  // Returns true if the step has a permission for any target that is valid at
  // aNow. The target's incarnation is not compared.
  bool HasPermission(const StepName& aStep, TimePoint aNow) const;

  // Returns true while a call for the step is under way.
  bool IsAsking(const StepName& aStep) const;

  // Calls aUse for each target on which the step has a permission that is valid
  // at aNow.
  void ForEachPermitted(
    const StepName& aStep,
    TimePoint aNow,
    const std::function<void(const TargetState&)>& aUse) const;

  // Calls aUse for each target that the advisor found fit for the step, whether
  // or not the permission is still valid.
  void ForEachFit(const StepName& aStep,
                  const std::function<void(const TargetState&)>& aUse) const;

  // Asks the advisor about targets for the aMissing tasks of the step for which
  // the placement round found no target. Does nothing if a call for the step is
  // under way, if its retry delay has not passed or if JobEffects::CanAsk
  // returns false. Only targets that aMayUse accepts are
  // asked about and counted as capacity.
  void Ask(const Job& aJob,
           const StepName& aStep,
           std::size_t aMissing,
           const std::function<bool(const TargetState&)>& aMayUse,
           TimePoint aNow);

  // Caches the advisor's answer to a request that Ask sent.
  void OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow);

  // Invalidates the permission for the step on the target, which refused it.
  void InvalidatePermission(const StepName& aStep, const TargetId& aTarget);

  // Records that a task of the step was placed on the target.
  void NoteUsed(const StepName& aStep, const TargetId& aTarget);

  // Removes all cached answers for the job's steps. The answer to a call under
  // way is ignored unless Ask is called for its step again.
  void RemoveJob(const JobId& aJob, TimePoint aNow);

private:
  struct Permission
  {
    std::string m_text;
    TimePoint m_until;
    // The start time of the target's incarnation for which the permission is
    // valid. The start time identifies the incarnation.
    WallTime m_started{ 0 };
    // True once a task was placed by it.
    bool m_used = false;
  };

  // The advisor's answers for one step.
  struct StepAdvice
  {
    // The targets that the advisor has answered about, fit or not.
    std::set<TargetId> m_asked;
    std::map<TargetId, Permission> m_fit;
    // The ticket of the call under way; zero if there is none.
    std::uint64_t m_call = 0;
    // No call is made before this time.
    TimePoint m_retryAt;
  };

  // A request that the advisor has not answered yet.
  struct Call
  {
    StepName m_step;
    QueueName m_queue;
    std::vector<TargetId> m_targets;
    // The start time of the incarnation of each of m_targets, in the same
    // order.
    std::vector<WallTime> m_started;
  };

  // A target that was not asked about yet, and how many tasks of the step fit
  // into its free capacity.
  struct NewTarget
  {
    std::size_t m_fittingTasks = 0;
    const TargetState* m_target = nullptr;
  };

  // Targets with free capacity that a request may name.
  struct TargetsToAsk
  {
    // Fit targets on which the step has no valid permission.
    std::vector<const TargetState*> m_renewals;
    std::vector<NewTarget> m_newTargets;
    // How many tasks fit on the targets that are known to be fit.
    std::size_t m_capacityOnFit = 0;
  };

  TargetsToAsk FindTargetsToAsk(
    const Job& aJob,
    const StepName& aStep,
    const StepAdvice& aAdvice,
    const std::function<bool(const TargetState&)>& aMayUse,
    TimePoint aNow) const;
  std::vector<const TargetState*> ChooseTargets(const Job& aJob,
                                                const StepName& aStep,
                                                TargetsToAsk& aToAsk,
                                                std::size_t aMissing) const;
  // Counts a permission that is replaced or removed by what became of it.
  void CountPermission(const Permission& aPermission, TimePoint aNow) const;
  double FitShare(const QueueName& aQueue) const;

  JobEffects& m_effects;
  const TargetManager& m_keeper;
  std::map<StepName, StepAdvice> m_steps;
  std::map<std::uint64_t, Call> m_calls;
  // The share of the targets asked about that were fit, by queue: a moving
  // average over the answers.
  std::map<QueueName, double> m_fitShares;
  std::uint64_t m_lastCall = 0;
};

// Returns how many tasks of the step fit into aFree, at most the step's task
// count and its limit per target.
std::size_t TasksThatFit(const JobStep& aStep, const Resources& aFree);

// Returns true if the step requires no label, or requires the target's kind or
// rack.
bool LabelsAllow(const JobStep& aStep, const TargetState& aTarget);

} // namespace lycheestep

#endif
