#ifndef LYCHEESTEP_ADVICE_CACHE_H
#define LYCHEESTEP_ADVICE_CACHE_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "advisor_hosts.h"
#include "job.h"
#include "lycheestep/advice.h"

namespace lycheestep {

class JobEffects;
class TargetManager;
struct TargetState;

// What the advisor was asked for the steps of a queue.
struct AdviceCounts
{
  std::size_t m_calls = 0;
  std::size_t m_renewals = 0;
  // The targets named in all calls.
  std::size_t m_targets = 0;
  // How often it was found out what to ask for a step.
  std::size_t m_surveys = 0;
};

// What a step needs from the advisor in a placement round.
struct AdviceNeed
{
  // The tasks for which the round found no target.
  std::size_t m_missing = 0;
  // True if these tasks start together: permissions are then of no use before
  // all of the tasks fit.
  bool m_together = false;
  // True if the step can still end in time. Other steps leave some hosts free
  // for the calls of such steps.
  bool m_inTime = true;
  // True if the step may use more hosts than its queue's share.
  bool m_beyondShare = false;
  // When a gang expects all of the capacity that it has reserved; nothing if it
  // has reserved none.
  std::optional<TimePoint> m_expectedAt;
  // Returns true if the target takes work and the step may use it.
  std::function<bool(const TargetState&)> m_mayUse;
  // Returns the free capacity of a target that the step may use.
  std::function<Resources(const TargetState&)> m_available;
};

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

  // The hosts that make the calls.
  AdvisorHosts& Hosts() { return m_hosts; }
  const AdvisorHosts& Hosts() const { return m_hosts; }

  // Makes the calls of the advisor that a step needs whose tasks could not all
  // be placed, as far as hosts are free for them: calls about targets that
  // the advisor was not asked about yet, several at the same time for a wide
  // step, and one call that renews the permissions for fit targets. A call
  // names as many targets as are worth its fixed cost, so that the number of
  // calls for a step is small whatever its width and the load are. Returns
  // false if the step's queue uses its share of the hosts already.
  bool Ask(const Job& aJob,
           const StepName& aStep,
           const AdviceNeed& aNeed,
           TimePoint aNow);

  // Caches the advisor's answer to a request that Ask sent.
  void OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow);

  // Invalidates the permission for the step on the target, which refused it.
  void InvalidatePermission(const StepName& aStep, const TargetId& aTarget);

  // Records that a task of the step was placed on the target.
  void NoteUsed(const StepName& aStep, const TargetId& aTarget);

  // Returns what was asked since the last call, by queue.
  std::map<QueueName, AdviceCounts> TakeCounts();

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
    // The targets named in calls under way, by the ticket of the call.
    std::map<std::uint64_t, std::set<TargetId>> m_calls;
    // True while a call under way renews permissions.
    bool m_renewing = false;
    // When the last permission expires.
    TimePoint m_validUntil;
    // When the advisor first answered; the default TimePoint before that.
    TimePoint m_firstAnswerAt;
    // No call is made before this time.
    TimePoint m_retryAt;
  };

  // A request that the advisor has not answered yet.
  struct Call
  {
    StepName m_step;
    QueueName m_queue;
    bool m_renews = false;
    // The advisor does not answer before this time.
    TimePoint m_answeredAtEarliest;
    std::vector<TargetId> m_targets;
    // The start time of the incarnation of each of m_targets, in the same
    // order.
    std::vector<WallTime> m_started;
  };

  // A target that a call may name, and how many tasks of the step fit into its
  // free capacity.
  struct TargetToAsk
  {
    std::size_t m_fittingTasks = 0;
    const TargetState* m_target = nullptr;
  };

  // How many tasks of a step are expected to fit on targets that are known to
  // be fit or are named in a call under way.
  struct ExpectedTasks
  {
    // Into the targets' free capacity, and into their whole capacity.
    double m_now = 0;
    double m_later = 0;
  };

  // What the advisor may be asked for a step.
  struct TargetsToAsk
  {
    // Fit targets whose permission is about to expire.
    std::vector<TargetToAsk> m_renewals;
    // Targets that no call has named yet.
    std::vector<TargetToAsk> m_newTargets;
    ExpectedTasks m_expected;
    // The tasks that fit into the free capacity of fit targets.
    std::size_t m_fittingOnFit = 0;
  };

  TargetsToAsk FindTargetsToAsk(const Job& aJob,
                                const StepName& aStep,
                                const StepAdvice& aAdvice,
                                const AdviceNeed& aNeed,
                                TimePoint aNow) const;
  // Takes the targets that the next call names from aToAsk. Returns none if the
  // step needs to know of no further targets.
  std::vector<const TargetState*> TakeNewTargets(const Job& aJob,
                                                 const StepName& aStep,
                                                 const StepAdvice& aAdvice,
                                                 const AdviceNeed& aNeed,
                                                 TargetsToAsk& aToAsk,
                                                 TimePoint aNow) const;
  static void SortByFittingTasks(std::vector<TargetToAsk>& aTargets);
  // Returns true if a host is free for the step, within its queue's share or
  // beyond it, as the need says.
  bool MayAsk(const QueueConfig& aQueue, const AdviceNeed& aNeed) const;
  // Sends a call that names the targets.
  void Send(const Job& aJob,
            const StepName& aStep,
            const std::vector<const TargetState*>& aTargets,
            bool aRenews,
            TimePoint aNow);
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
  std::map<QueueName, AdviceCounts> m_counts;
  std::uint64_t m_lastCall = 0;
  AdvisorHosts m_hosts;
};

// Returns how many tasks of the step fit into aFree, at most the step's task
// count and its limit per target.
std::size_t TasksThatFit(const JobStep& aStep, const Resources& aFree);

// Returns true if the step requires no label, or requires the target's kind or
// rack.
bool LabelsAllow(const JobStep& aStep, const TargetState& aTarget);

} // namespace lycheestep

#endif
