#include "target_quarantine.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

#include "job_effects.h"
#include "target_state.h"

namespace lycheestep {

namespace {

// A target on which tasks of this many jobs failed is quarantined. The time
// doubles with each further job, at most kMaxDoublings times.
constexpr std::size_t kJobsBeforeQuarantine = 2;
constexpr Duration kFailureQuarantine = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxDoublings = 4;

// Quarantine of a target on which a task made no progress. It took seconds to
// find that out, so one job is enough.
constexpr Duration kStallQuarantine = std::chrono::seconds(4);

// A job that failed on this many targets, and succeeded on none, is the cause
// of its failures.
constexpr std::size_t kTargetsOfFailingJob = 2;

// Older failures say nothing about a target or a job. It is longer than the
// longest quarantine, so that a target is judged by all of its failures when
// it gets work again.
constexpr Duration kEvidenceLife = std::chrono::seconds(30);

// The most jobs kept for a target. More of them change nothing.
constexpr std::size_t kMaxJobs = kJobsBeforeQuarantine + kMaxDoublings;

bool IsEnough(const FailureEvidence& aEvidence)
{
  return aEvidence.m_jobs.size() >= kJobsBeforeQuarantine ||
         std::any_of(
           aEvidence.m_jobs.begin(),
           aEvidence.m_jobs.end(),
           [](const auto& aEntry) { return aEntry.second.m_stalled; });
}

void RemoveOld(FailureEvidence& aEvidence, TimePoint aNow)
{
  for (auto it = aEvidence.m_jobs.begin(); it != aEvidence.m_jobs.end();) {
    const bool old = aNow - it->second.m_at > kEvidenceLife;
    it = old ? aEvidence.m_jobs.erase(it) : std::next(it);
  }
}

// Makes room for one more job.
void RemoveOldest(FailureEvidence& aEvidence)
{
  const auto oldest =
    std::min_element(aEvidence.m_jobs.begin(),
                     aEvidence.m_jobs.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_at < aRight.second.m_at;
                     });
  aEvidence.m_jobs.erase(oldest);
}

void RemoveOld(std::map<TargetId, TimePoint>& aFailedOn, TimePoint aNow)
{
  for (auto it = aFailedOn.begin(); it != aFailedOn.end();) {
    const bool old = aNow - it->second > kEvidenceLife;
    it = old ? aFailedOn.erase(it) : std::next(it);
  }
}

} // namespace

TargetQuarantine::TargetQuarantine(std::map<TargetId, TargetState>& aTargets,
                                   JobEffects& aEffects)
  : m_targets(aTargets)
  , m_effects(aEffects)
{
}

void TargetQuarantine::OnTaskDone(const TargetId& aTarget, TimePoint aStartedAt)
{
  const auto found = m_targets.find(aTarget);
  if (found == m_targets.end()) {
    return;
  }
  FailureEvidence& evidence = found->second.m_failures;
  evidence.m_jobs.clear();
  if (aStartedAt > evidence.m_lastFailureAt) {
    evidence.m_quarantinedUntil = TimePoint();
  }
}

void TargetQuarantine::OnTaskFailed(const TargetId& aTarget,
                                    const JobId& aJob,
                                    bool aStepHasDoneTasks,
                                    TimePoint aNow)
{
  TargetState* target =
    NoteFailure(aTarget, aJob, false, aStepHasDoneTasks, aNow);
  const std::size_t jobs =
    target != nullptr ? target->m_failures.m_jobs.size() : 0;
  if (jobs >= kJobsBeforeQuarantine) {
    const std::size_t doublings = jobs - kJobsBeforeQuarantine;
    Begin(*target,
          kFailureQuarantine * (1U << std::min(doublings, kMaxDoublings)),
          aNow);
  }
}

void TargetQuarantine::OnTaskStalled(const TargetId& aTarget,
                                     const JobId& aJob,
                                     bool aStepHasDoneTasks,
                                     TimePoint aNow)
{
  TargetState* target =
    NoteFailure(aTarget, aJob, true, aStepHasDoneTasks, aNow);
  if (target != nullptr) {
    Begin(*target, kStallQuarantine, aNow);
  }
}

TargetState* TargetQuarantine::NoteFailure(const TargetId& aTarget,
                                           const JobId& aJob,
                                           bool aStalled,
                                           bool aStepHasDoneTasks,
                                           TimePoint aNow)
{
  const auto target = m_targets.find(aTarget);
  if (target == m_targets.end()) {
    return nullptr;
  }
  FailureTimes& failedOn = m_failedOn[aJob];
  RemoveOld(failedOn, aNow);
  const bool known = failedOn.size() >= kTargetsOfFailingJob;
  if (!known || failedOn.count(aTarget) > 0) {
    failedOn[aTarget] = aNow;
  }
  if (failedOn.size() >= kTargetsOfFailingJob && !aStepHasDoneTasks) {
    RemoveEvidence(aJob, failedOn, aNow);
    return nullptr;
  }
  FailureEvidence& evidence = target->second.m_failures;
  RemoveOld(evidence, aNow);
  if (evidence.m_jobs.size() >= kMaxJobs && evidence.m_jobs.count(aJob) == 0) {
    RemoveOldest(evidence);
  }
  JobFailure& failure = evidence.m_jobs[aJob];
  failure.m_at = aNow;
  failure.m_stalled = failure.m_stalled || aStalled;
  evidence.m_lastFailureAt = aNow;
  return &target->second;
}

void TargetQuarantine::RemoveEvidence(const JobId& aJob,
                                      const FailureTimes& aFailedOn,
                                      TimePoint aNow)
{
  for (const auto& [id, at] : aFailedOn) {
    const auto target = m_targets.find(id);
    if (target == m_targets.end()) {
      continue;
    }
    FailureEvidence& evidence = target->second.m_failures;
    const bool counted = evidence.m_jobs.erase(aJob) > 0;
    if (counted && !IsEnough(evidence) && evidence.m_quarantinedUntil > aNow) {
      evidence.m_quarantinedUntil = TimePoint();
      m_effects.Log("quarantine-lifted",
                    "target=" + id.Text() + " failing_job=" + aJob.Text());
    }
  }
}

void TargetQuarantine::Begin(TargetState& aTarget,
                             Duration aTime,
                             TimePoint aNow)
{
  FailureEvidence& evidence = aTarget.m_failures;
  evidence.m_quarantinedUntil =
    std::max(evidence.m_quarantinedUntil, aNow + aTime);
  m_effects.Log("target-quarantined",
                "target=" + aTarget.m_record.m_target.Text() +
                  " jobs_failed=" + std::to_string(evidence.m_jobs.size()) +
                  " for_ms=" + std::to_string(ToMilliseconds(aTime)));
}

} // namespace lycheestep
