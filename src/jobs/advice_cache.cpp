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
// Fewer than the minimum are named if there are no more. The upper limit is the
// one of the advisor's protocol.
constexpr std::size_t kMinTargetsPerCall = 3;
constexpr std::size_t kMaxTargetsPerCall = 100;

// The share of targets assumed to be fit before the first answer for a queue,
// the weight of each answer in the moving average of the share, and the lower
// bound of the share that estimates use.
constexpr double kInitialFitShare = 0.4;
constexpr double kFitShareWeight = 0.2;
constexpr double kMinFitShare = 0.1;

// The advisor is asked about new targets until the step's tasks are expected to
// fit, with a margin, into free capacity, or until their number is expected to
// fit so many times into the whole capacity of the targets. The step then waits
// for capacity on these targets. If none comes in the time that a permission is
// valid, a step that can be in time asks about as many targets again.
constexpr double kFreeCapacityFactor = 2;
constexpr double kWholeCapacityFactor = 3;
constexpr Duration kMinPermissionLife = std::chrono::milliseconds(500);

// What may be asked for a step is found out this long after the last time, or
// when the advisor has answered.
constexpr Duration kSurveyInterval = std::chrono::milliseconds(100);

// A permission is renewed if it is valid for less than the time of the call and
// this margin.
constexpr Duration kRenewalMargin = std::chrono::milliseconds(250);

// The delay before the next call for a step after a call that failed.
constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

// Returns how long the advisor takes for a call that names aTargets targets.
Duration TimeOfCall(const AdviceTerms& aTerms, std::size_t aTargets)
{
  return aTerms.m_perCall +
         aTerms.m_perTarget * static_cast<std::int64_t>(aTargets);
}

// Returns the number of targets at which the targets of a call take as long as
// its fixed part: with fewer, a call is mostly overhead.
std::size_t TargetsWorthACall(const AdviceTerms& aTerms)
{
  if (aTerms.m_perTarget <= Duration::zero()) {
    return kMaxTargetsPerCall;
  }
  const auto targets =
    static_cast<std::size_t>(aTerms.m_perCall / aTerms.m_perTarget);
  return std::clamp(targets, kMinTargetsPerCall, kMaxTargetsPerCall);
}

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
  , m_hosts(aEffects)
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
  return step != m_steps.end() && step->second.m_validUntil > aNow;
}

bool AdviceCache::IsAsking(const StepName& aStep) const
{
  const auto step = m_steps.find(aStep);
  return step != m_steps.end() && !step->second.m_calls.empty();
}

void AdviceCache::ForEachPermitted(
  const StepName& aStep,
  TimePoint aNow,
  const std::function<void(const TargetState&)>& aUse) const
{
  const auto step = m_steps.find(aStep);
  if (step == m_steps.end() || step->second.m_validUntil <= aNow) {
    return;
  }
  for (const auto& [id, permission] : step->second.m_fit) {
    if (permission.m_until <= aNow) {
      continue;
    }
    const TargetState* target = m_keeper.Find(id);
    if (target != nullptr &&
        permission.m_started == target->m_record.m_started) {
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

bool AdviceCache::Ask(const Job& aJob,
                      const StepName& aStep,
                      const AdviceNeed& aNeed,
                      TimePoint aNow)
{
  const AdviceTerms& terms = aJob.m_terms.m_advice;
  if (!m_hosts.MayAsk(aJob.m_terms, aNeed.m_inTime)) {
    return true;
  }
  StepAdvice& advice = m_steps[aStep];
  if (advice.m_retryAt > aNow) {
    return true;
  }
  if (!MayAsk(aJob.m_terms, aNeed)) {
    return false;
  }
  advice.m_retryAt = aNow + kSurveyInterval;
  ++m_counts[aJob.m_terms.m_name].m_surveys;
  TargetsToAsk toAsk = FindTargetsToAsk(aJob, aStep, advice, aNeed, aNow);
  // Free capacity changes all the time. Further calls wait for the answers, or
  // each change would cause another small call.
  const bool mayAskAboutNew =
    advice.m_calls.size() == (advice.m_renewing ? 1 : 0);
  while (mayAskAboutNew && MayAsk(aJob.m_terms, aNeed)) {
    const auto targets =
      TakeNewTargets(aJob, aStep, advice, aNeed, toAsk, aNow);
    if (targets.empty()) {
      break;
    }
    Send(aJob, aStep, targets, false, aNow);
  }
  std::vector<TargetToAsk>& renewals = toAsk.m_renewals;
  const TimePoint answeredAt = aNow + TimeOfCall(terms, renewals.size());
  const bool usable = !aNeed.m_together ||
                      toAsk.m_fittingOnFit >= aNeed.m_missing ||
                      (aNeed.m_expectedAt && *aNeed.m_expectedAt <= answeredAt);
  const bool mayRenew =
    !advice.m_renewing && m_hosts.MayAsk(aJob.m_terms, aNeed.m_inTime);
  if (renewals.empty() || !usable || !mayRenew) {
    return true;
  }
  SortByFittingTasks(renewals);
  std::vector<const TargetState*> targets;
  for (const TargetToAsk& renewal : renewals) {
    if (targets.size() < kMaxTargetsPerCall) {
      targets.push_back(renewal.m_target);
    }
  }
  Send(aJob, aStep, targets, true, aNow);
  return true;
}

// Sorts the targets on which the most tasks fit first.
void AdviceCache::SortByFittingTasks(std::vector<TargetToAsk>& aTargets)
{
  std::stable_sort(aTargets.begin(),
                   aTargets.end(),
                   [](const TargetToAsk& aLeft, const TargetToAsk& aRight) {
                     return aLeft.m_fittingTasks > aRight.m_fittingTasks;
                   });
}

bool AdviceCache::MayAsk(const QueueConfig& aQueue,
                         const AdviceNeed& aNeed) const
{
  return m_hosts.MayAsk(aQueue, aNeed.m_inTime) &&
         (aNeed.m_beyondShare || !m_hosts.UsesItsShare(aQueue, aNeed.m_inTime));
}

void AdviceCache::Send(const Job& aJob,
                       const StepName& aStep,
                       const std::vector<const TargetState*>& aTargets,
                       bool aRenews,
                       TimePoint aNow)
{
  Call call;
  call.m_step = aStep;
  call.m_queue = aJob.m_terms.m_name;
  call.m_renews = aRenews;
  call.m_answeredAtEarliest =
    aNow + TimeOfCall(aJob.m_terms.m_advice, aTargets.size());
  AdviceRequest request;
  request.m_ticket = ++m_lastCall;
  request.m_step = aStep;
  for (const TargetState* target : aTargets) {
    request.m_targets.push_back(target->m_record.m_target);
    call.m_targets.push_back(target->m_record.m_target);
    call.m_started.push_back(target->m_record.m_started);
  }
  StepAdvice& advice = m_steps[aStep];
  advice.m_calls[request.m_ticket] =
    std::set<TargetId>(call.m_targets.begin(), call.m_targets.end());
  advice.m_renewing = advice.m_renewing || aRenews;
  m_effects.Log("advice-asked",
                "step=" + StepText(aStep) +
                  " call=" + std::to_string(request.m_ticket) +
                  " targets=" + std::to_string(aTargets.size()) +
                  " renews=" + (aRenews ? "yes" : "no"));
  AdviceCounts& counts = m_counts[call.m_queue];
  ++counts.m_calls;
  counts.m_renewals += aRenews ? 1 : 0;
  counts.m_targets += aTargets.size();
  m_calls[request.m_ticket] = std::move(call);
  m_effects.Ask(request, TimeOfCall(aJob.m_terms.m_advice, aTargets.size()));
  m_hosts.OnCallSent(aJob.m_terms.m_name);
}

AdviceCache::TargetsToAsk AdviceCache::FindTargetsToAsk(
  const Job& aJob,
  const StepName& aStep,
  const StepAdvice& aAdvice,
  const AdviceNeed& aNeed,
  TimePoint aNow) const
{
  const JobStep& step = aJob.m_spec.m_steps[aStep.m_step];
  const double share = FitShare(aJob.m_terms.m_name);
  const TimePoint renewBefore =
    aNow + kRenewalMargin +
    TimeOfCall(aJob.m_terms.m_advice, aAdvice.m_fit.size());
  TargetsToAsk toAsk;
  for (const auto& [id, target] : m_keeper.Targets()) {
    const bool usable = target.m_record.m_service == aJob.m_terms.m_service &&
                        aNeed.m_mayUse(target) && LabelsAllow(step, target);
    const std::size_t whole =
      usable ? TasksThatFit(step, target.m_record.m_capacity) : 0;
    if (whole == 0) {
      continue;
    }
    const TargetToAsk candidate{ TasksThatFit(step, aNeed.m_available(target)),
                                 &target };
    const bool inCall = std::any_of(
      aAdvice.m_calls.begin(),
      aAdvice.m_calls.end(),
      [&id = id](const auto& aCall) { return aCall.second.count(id) > 0; });
    const bool fit = aAdvice.m_fit.count(id) > 0;
    if (fit && !inCall && PermissionFor(aStep, target, renewBefore).empty()) {
      toAsk.m_renewals.push_back(candidate);
    } else if (!fit && !inCall && aAdvice.m_asked.count(id) == 0) {
      toAsk.m_newTargets.push_back(candidate);
    }
    toAsk.m_fittingOnFit += fit ? candidate.m_fittingTasks : 0;
    if (fit || (inCall && aAdvice.m_asked.count(id) == 0)) {
      const double weight = fit ? 1 : share;
      toAsk.m_expected.m_now +=
        weight * static_cast<double>(candidate.m_fittingTasks);
      toAsk.m_expected.m_later += weight * static_cast<double>(whole);
    }
  }
  SortByFittingTasks(toAsk.m_newTargets);
  return toAsk;
}

std::vector<const TargetState*> AdviceCache::TakeNewTargets(
  const Job& aJob,
  const StepName& aStep,
  const StepAdvice& aAdvice,
  const AdviceNeed& aNeed,
  TargetsToAsk& aToAsk,
  TimePoint aNow) const
{
  const JobStep& step = aJob.m_spec.m_steps[aStep.m_step];
  const double share = FitShare(aJob.m_terms.m_name);
  const auto missing = static_cast<double>(aNeed.m_missing);
  const Duration life =
    std::max(aJob.m_terms.m_advice.m_ticketLife, kMinPermissionLife);
  const bool asksForMore =
    aNeed.m_inTime && aAdvice.m_firstAnswerAt != TimePoint();
  const auto lives = asksForMore ? (aNow - aAdvice.m_firstAnswerAt) / life : 0;
  const double enoughLater =
    missing * kWholeCapacityFactor * static_cast<double>(1 + lives);
  const std::size_t worth = TargetsWorthACall(aJob.m_terms.m_advice);
  ExpectedTasks& expected = aToAsk.m_expected;
  std::vector<const TargetState*> chosen;
  // A call has a fixed cost, so a small lack of targets is not worth another.
  const bool firstCalls = aAdvice.m_asked.empty();
  const bool tooFewTargets =
    expected.m_later < (firstCalls ? enoughLater : enoughLater / 2);
  double freeOnNew = 0;
  for (const TargetToAsk& candidate : aToAsk.m_newTargets) {
    freeOnNew += share * static_cast<double>(candidate.m_fittingTasks);
  }
  const bool fitsOnNewTargets =
    expected.m_now < missing &&
    expected.m_now + freeOnNew >= missing * kFreeCapacityFactor;
  if (!tooFewTargets && !fitsOnNewTargets) {
    return chosen;
  }
  std::size_t taken = 0;
  for (const TargetToAsk& candidate : aToAsk.m_newTargets) {
    const bool enoughNow = expected.m_now >= missing * kFreeCapacityFactor &&
                           (taken == 0 || taken >= kMinTargetsPerCall);
    const bool enough = expected.m_later >= enoughLater && taken >= worth;
    if (enoughNow || enough || taken == kMaxTargetsPerCall) {
      break;
    }
    ++taken;
    chosen.push_back(candidate.m_target);
    expected.m_now += share * static_cast<double>(candidate.m_fittingTasks);
    expected.m_later +=
      share * static_cast<double>(
                TasksThatFit(step, candidate.m_target->m_record.m_capacity));
  }
  aToAsk.m_newTargets.erase(aToAsk.m_newTargets.begin(),
                            aToAsk.m_newTargets.begin() +
                              static_cast<std::ptrdiff_t>(taken));
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
  m_hosts.OnCallEnded(call.m_queue);
  const auto step = m_steps.find(call.m_step);
  if (step == m_steps.end()) {
    return; // removed while the call was under way
  }
  StepAdvice& advice = step->second;
  advice.m_calls.erase(aAnswer.m_ticket);
  advice.m_renewing = advice.m_renewing && !call.m_renews;
  m_effects.Log("advice-answered",
                "step=" + StepText(call.m_step) +
                  " call=" + std::to_string(aAnswer.m_ticket) +
                  " answered=" + (aAnswer.m_answered ? "yes" : "no") +
                  " fit=" + std::to_string(aAnswer.m_good.size()));
  if (!aAnswer.m_answered) {
    advice.m_retryAt = aNow + kRetryDelay;
    return;
  }
  if (advice.m_firstAnswerAt == TimePoint()) {
    advice.m_firstAnswerAt = aNow;
  }
  advice.m_retryAt = aNow;
  // The advisor answered some time ago, but not before it can have done so.
  const TimePoint validUntil =
    std::min(aNow, call.m_answeredAtEarliest) + aAnswer.m_validFor;
  if (!aAnswer.m_good.empty()) {
    advice.m_validUntil = std::max(advice.m_validUntil, validUntil);
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
    permission =
      Permission{ good->m_permission, validUntil, call.m_started[i], false };
  }
  if (newTargets > 0) {
    double& share =
      m_fitShares.try_emplace(call.m_queue, kInitialFitShare).first->second;
    const double seen =
      static_cast<double>(newFitTargets) / static_cast<double>(newTargets);
    share += (seen - share) * kFitShareWeight;
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

std::map<QueueName, AdviceCounts> AdviceCache::TakeCounts()
{
  std::map<QueueName, AdviceCounts> counts;
  counts.swap(m_counts);
  return counts;
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
