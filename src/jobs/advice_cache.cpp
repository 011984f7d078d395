#include "advice_cache.h"

#include <algorithm>
#include <cmath>

#include "job_effects.h"
#include "lycheestep/metrics_sink.h"
#include "placement.h"
#include "run_text.h"
#include "target_manager.h"

namespace lycheestep {

namespace {

// Limits on the number of targets named in a call that asks about new targets.
// Fewer than the minimum are named if no more targets have capacity.
constexpr std::size_t kMinTargetsPerCall = 3;
constexpr std::size_t kMaxTargetsPerCall = 40;

// The share of targets assumed to be fit before the first answer for a queue,
// the weight of each answer in the moving average of the share, and the lower
// bound of the share that estimates use.
constexpr double kInitialFitShare = 0.4;
constexpr double kFitShareWeight = 0.2;
constexpr double kMinFitShare = 0.1;

// A call names new targets until they and the targets known to be fit are
// expected to have capacity for the number of unplaced tasks multiplied by this
// factor. One call then usually finds enough fit targets.
constexpr double kOverAskFactor = 1.4;

// The delay before the next call for a step after a call that failed or named
// no fit target.
constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

} // namespace

std::size_t TasksThatFit(const JobStep& aStep, const Resources& aFree)
{
  const std::uint32_t most = aStep.m_maxPerTarget > 0
                               ? std::min(aStep.m_count, aStep.m_maxPerTarget)
                               : aStep.m_count;
  return CountThatFit(aStep.m_demand, aFree, most);
}

bool LabelsAllow(const JobStep& aStep, const TargetState& aTarget)
{
  const std::string& label = aStep.m_requiredLabel;
  return label.empty() || label == aTarget.m_record.m_kind ||
         label == aTarget.m_record.m_rack.Text();
}

AdviceCache::AdviceCache(JobEffects& aEffects, const TargetManager& aKeeper)
  : m_effects(aEffects)
  , m_keeper(aKeeper)
{
}

std::string AdviceCache::PermissionFor(const StepName& aStep,
                                       const TargetState& aTarget,
                                       TimePoint aNow) const
{
  const auto step = m_steps.find(aStep);
  if (step == m_steps.end()) {
    return "";
  }
  const auto fit = step->second.m_fit.find(aTarget.m_record.m_target);
  if (fit == step->second.m_fit.end()) {
    return "";
  }
  const Permission& permission = fit->second;
  const bool usable = permission.m_until > aNow &&
                      permission.m_started == aTarget.m_record.m_started;
  return usable ? permission.m_text : "";
}

bool AdviceCache::HasPermission(const StepName& aStep, TimePoint aNow) const
{
  const auto step = m_steps.find(aStep);
  return step != m_steps.end() &&
         std::any_of(
           step->second.m_fit.begin(),
           step->second.m_fit.end(),
           [aNow](const auto& aFit) { return aFit.second.m_until > aNow; });
}

bool AdviceCache::IsAsking(const StepName& aStep) const
{
  const auto step = m_steps.find(aStep);
  return step != m_steps.end() && step->second.m_call != 0;
}

void AdviceCache::ForEachPermitted(
  const StepName& aStep,
  TimePoint aNow,
  const std::function<void(const TargetState&)>& aUse) const
{
  const auto step = m_steps.find(aStep);
  if (step == m_steps.end()) {
    return;
  }
  for (const auto& [id, permission] : step->second.m_fit) {
    const TargetState* target = m_keeper.Find(id);
    const bool usable = target != nullptr && permission.m_until > aNow &&
                        permission.m_started == target->m_record.m_started;
    if (usable) {
      aUse(*target);
    }
  }
}

void AdviceCache::ForEachFit(
  const StepName& aStep,
  const std::function<void(const TargetState&)>& aUse) const
{
  const auto step = m_steps.find(aStep);
  if (step == m_steps.end()) {
    return;
  }
  for (const auto& [id, permission] : step->second.m_fit) {
    const TargetState* target = m_keeper.Find(id);
    if (target != nullptr) {
      aUse(*target);
    }
  }
}

void AdviceCache::Ask(const Job& aJob,
                      const StepName& aStep,
                      std::size_t aMissing,
                      const std::function<bool(const TargetState&)>& aMayUse,
                      TimePoint aNow)
{
  StepAdvice& advice = m_steps[aStep];
  if (advice.m_call != 0 || advice.m_retryAt > aNow || !m_effects.CanAsk()) {
    return;
  }
  TargetsToAsk toAsk = FindTargetsToAsk(aJob, aStep, advice, aMayUse, aNow);
  const auto targets = ChooseTargets(aJob, aStep, toAsk, aMissing);
  if (targets.empty()) {
    return;
  }
  Call call;
  call.m_step = aStep;
  call.m_queue = aJob.m_terms.m_name;
  AdviceRequest request;
  request.m_ticket = ++m_lastCall;
  request.m_step = aStep;
  for (const TargetState* target : targets) {
    request.m_targets.push_back(target->m_record.m_target);
    call.m_targets.push_back(target->m_record.m_target);
    call.m_started.push_back(target->m_record.m_started);
  }
  const AdviceTerms& terms = aJob.m_terms.m_advice;
  const Duration turn =
    terms.m_perCall +
    terms.m_perTarget * static_cast<std::int64_t>(targets.size());
  m_effects.Log("advice-asked",
                "step=" + StepText(aStep) +
                  " call=" + std::to_string(request.m_ticket) +
                  " targets=" + std::to_string(targets.size()) +
                  " missing=" + std::to_string(aMissing));
  advice.m_call = request.m_ticket;
  m_calls[request.m_ticket] = call;
  m_effects.Ask(request, turn);
}

AdviceCache::TargetsToAsk AdviceCache::FindTargetsToAsk(
  const Job& aJob,
  const StepName& aStep,
  const StepAdvice& aAdvice,
  const std::function<bool(const TargetState&)>& aMayUse,
  TimePoint aNow) const
{
  const JobStep& step = aJob.m_spec.m_steps[aStep.m_step];
  TargetsToAsk toAsk;
  for (const auto& [id, target] : m_keeper.Targets()) {
    const bool usable = target.TakesWork(aNow) &&
                        target.m_record.m_service == aJob.m_terms.m_service &&
                        LabelsAllow(step, target) && aMayUse(target);
    const std::size_t fitting = usable ? TasksThatFit(step, target.Free()) : 0;
    if (fitting == 0) {
      continue;
    }
    const bool asked = aAdvice.m_asked.count(id) > 0;
    if (!asked) {
      toAsk.m_newTargets.push_back(NewTarget{ fitting, &target });
    } else if (aAdvice.m_fit.count(id) > 0) {
      toAsk.m_capacityOnFit += fitting;
      if (PermissionFor(aStep, target, aNow).empty()) {
        toAsk.m_renewals.push_back(&target);
      }
    }
  }
  return toAsk;
}

std::vector<const TargetState*> AdviceCache::ChooseTargets(
  const Job& aJob,
  const StepName& aStep,
  TargetsToAsk& aToAsk,
  std::size_t aMissing) const
{
  const JobStep& step = aJob.m_spec.m_steps[aStep.m_step];
  const bool enoughFit = aToAsk.m_capacityOnFit >= aMissing;
  if (enoughFit) {
    return aToAsk.m_renewals;
  }
  // A gang that does not fit on its fit targets can't start yet, so its expired
  // permissions are not renewed.
  std::vector<const TargetState*> chosen;
  if (!step.m_gang) {
    chosen = aToAsk.m_renewals;
  }
  std::vector<NewTarget>& newTargets = aToAsk.m_newTargets;
  const auto limit = std::min(newTargets.size(), kMaxTargetsPerCall);
  std::partial_sort(newTargets.begin(),
                    newTargets.begin() + static_cast<std::ptrdiff_t>(limit),
                    newTargets.end(),
                    [](const NewTarget& aLeft, const NewTarget& aRight) {
                      return aLeft.m_fittingTasks > aRight.m_fittingTasks;
                    });
  newTargets.resize(limit);
  const double share = FitShare(aJob.m_terms.m_name);
  double expectedTasks = static_cast<double>(aToAsk.m_capacityOnFit);
  for (const NewTarget& target : newTargets) {
    const bool enough =
      expectedTasks >= static_cast<double>(aMissing) * kOverAskFactor &&
      chosen.size() >= kMinTargetsPerCall;
    if (enough || chosen.size() >= kMaxTargetsPerCall) {
      break;
    }
    chosen.push_back(target.m_target);
    expectedTasks += share * static_cast<double>(target.m_fittingTasks);
  }
  return chosen;
}

void AdviceCache::OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow)
{
  const auto found = m_calls.find(aAnswer.m_ticket);
  if (found == m_calls.end()) {
    return;
  }
  const Call call = found->second;
  m_calls.erase(found);
  const auto step = m_steps.find(call.m_step);
  if (step == m_steps.end()) {
    return; // removed while the call was under way
  }
  StepAdvice& advice = step->second;
  advice.m_call = 0;
  m_effects.Log("advice-answered",
                "step=" + StepText(call.m_step) +
                  " call=" + std::to_string(aAnswer.m_ticket) +
                  " answered=" + (aAnswer.m_answered ? "yes" : "no") +
                  " fit=" + std::to_string(aAnswer.m_good.size()));
  if (!aAnswer.m_answered) {
    advice.m_retryAt = aNow + kRetryDelay;
    return;
  }
  std::size_t newTargets = 0;
  std::size_t newFitTargets = 0;
  for (std::size_t i = 0; i < call.m_targets.size(); ++i) {
    const TargetId& target = call.m_targets[i];
    const bool isNew = advice.m_asked.insert(target).second;
    newTargets += isNew ? 1 : 0;
    const auto good = std::find_if(
      aAnswer.m_good.begin(),
      aAnswer.m_good.end(),
      [&](const AdvisedTarget& aGood) { return aGood.m_target == target; });
    if (good == aAnswer.m_good.end()) {
      continue;
    }
    newFitTargets += isNew ? 1 : 0;
    Permission& permission = advice.m_fit[target];
    CountPermission(permission, aNow);
    permission = Permission{
      good->m_permission, aNow + aAnswer.m_validFor, call.m_started[i], false
    };
  }
  if (newTargets > 0) {
    double& share =
      m_fitShares.try_emplace(call.m_queue, kInitialFitShare).first->second;
    const double seen =
      static_cast<double>(newFitTargets) / static_cast<double>(newTargets);
    share += (seen - share) * kFitShareWeight;
  }
  if (aAnswer.m_good.empty()) {
    advice.m_retryAt = aNow + kRetryDelay;
  }
}

void AdviceCache::InvalidatePermission(const StepName& aStep,
                                       const TargetId& aTarget)
{
  const auto step = m_steps.find(aStep);
  if (step != m_steps.end()) {
    const auto fit = step->second.m_fit.find(aTarget);
    if (fit != step->second.m_fit.end()) {
      fit->second.m_until = TimePoint();
    }
  }
}

void AdviceCache::NoteUsed(const StepName& aStep, const TargetId& aTarget)
{
  const auto step = m_steps.find(aStep);
  if (step != m_steps.end()) {
    const auto fit = step->second.m_fit.find(aTarget);
    if (fit != step->second.m_fit.end()) {
      fit->second.m_used = true;
    }
  }
}

void AdviceCache::RemoveJob(const JobId& aJob, TimePoint aNow)
{
  auto step = m_steps.lower_bound(StepName{ aJob, 0, 0 });
  while (step != m_steps.end() && step->first.m_job == aJob) {
    for (const auto& [target, permission] : step->second.m_fit) {
      CountPermission(permission, aNow);
    }
    step = m_steps.erase(step);
  }
}

void AdviceCache::CountPermission(const Permission& aPermission,
                                  TimePoint aNow) const
{
  if (aPermission.m_text.empty()) {
    return; // new in the cache
  }
  const char* outcome = "outcome=\"unused\"";
  if (aPermission.m_used) {
    outcome = "outcome=\"used\"";
  } else if (aPermission.m_until <= aNow) {
    outcome = "outcome=\"lapsed\"";
  }
  m_effects.Metrics().Count("lycheestep_permissions_total", outcome, 1);
}

double AdviceCache::FitShare(const QueueName& aQueue) const
{
  const auto found = m_fitShares.find(aQueue);
  const double share =
    found != m_fitShares.end() ? found->second : kInitialFitShare;
  return std::max(share, kMinFitShare);
}

} // namespace lycheestep
