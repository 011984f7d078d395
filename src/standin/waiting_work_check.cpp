#include "waiting_work_check.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include "advice_cache.h"

namespace lycheestep {

namespace {

constexpr Duration kMaxIdleTime = std::chrono::seconds(3);

// The bound holds while less than one part in kBusyDivisor of the fleet's
// processors is in use, and for work that fits kSpareFactor times.
constexpr std::int64_t kBusyDivisor = 2;
constexpr std::size_t kSpareFactor = 2;

bool IsHalfInUse(const std::vector<OpenTarget>& aTargets)
{
  Resources capacity;
  Resources used;
  for (const OpenTarget& target : aTargets) {
    capacity += target.m_capacity;
    used += target.m_used;
  }
  return used.Get(ResourceKind::kProcessors) * kBusyDivisor >=
         capacity.Get(ResourceKind::kProcessors);
}

} // namespace

bool WaitingWorkCheck::Fits(const IdleStep& aStep,
                            const std::vector<OpenTarget>& aTargets,
                            std::size_t aTimes)
{
  const JobStep& step = *aStep.m_step;
  const std::size_t together = step.m_gang ? step.m_count : 1;
  const std::size_t needed = together * aTimes;
  std::size_t fitting = 0;
  for (const OpenTarget& target : aTargets) {
    if (fitting < needed && aStep.m_mayUse(target.m_target)) {
      fitting += TasksThatFit(step, target.m_capacity - target.m_used);
    }
  }
  return fitting >= needed;
}

std::vector<JobId> WaitingWorkCheck::Check(
  const std::vector<OpenTarget>& aTargets,
  const std::vector<IdleStep>& aSteps,
  TimePoint aNow)
{
  std::vector<JobId> late;
  if (IsHalfInUse(aTargets)) {
    m_idleSince.clear();
    return late;
  }
  std::set<JobId> idle;
  for (const IdleStep& step : aSteps) {
    if (Fits(step, aTargets, kSpareFactor)) {
      idle.insert(step.m_name.m_job);
    }
  }
  for (auto it = m_idleSince.begin(); it != m_idleSince.end();) {
    it = idle.count(it->first) == 0 ? m_idleSince.erase(it) : std::next(it);
  }
  for (const JobId& job : idle) {
    const TimePoint since = m_idleSince.try_emplace(job, aNow).first->second;
    m_longestWait = std::max(m_longestWait, aNow - since);
    if (aNow - since > kMaxIdleTime && m_reported.insert(job).second) {
      late.push_back(job);
    }
  }
  return late;
}

} // namespace lycheestep
