#include "cancellation_notifier.h"

#include <chrono>

namespace lycheestep {

namespace {

// The change feed usually tells the leader within this time, so that the first
// notice finds the job over.
constexpr Duration kFirstDelay = std::chrono::milliseconds(100);

// Time between two notices of the same cancellation.
constexpr Duration kRepeatPeriod = std::chrono::milliseconds(250);

// A cancellation is dropped after this time. The next leader reads it with the
// whole table.
constexpr Duration kNoticeLifetime = std::chrono::seconds(10);

} // namespace

void CancellationNotifier::Add(const JobId& aJob, TimePoint aNow)
{
  Notice notice;
  notice.m_addedAt = aNow;
  notice.m_due = aNow + kFirstDelay;
  m_notices[aJob] = notice;
}

std::vector<JobId> CancellationNotifier::TakeDue(std::uint64_t aLeader,
                                                 TimePoint aNow)
{
  std::vector<JobId> due;
  for (auto& [job, notice] : m_notices) {
    if (notice.m_confirmedBy == aLeader || aNow < notice.m_due) {
      continue;
    }
    notice.m_due = aNow + kRepeatPeriod;
    due.push_back(job);
  }
  return due;
}

void CancellationNotifier::OnConfirmed(std::uint64_t aLeader, const JobId& aJob)
{
  const auto found = m_notices.find(aJob);
  if (found != m_notices.end()) {
    found->second.m_confirmedBy = aLeader;
  }
}

std::vector<JobId> CancellationNotifier::TakeExpired(TimePoint aNow)
{
  std::vector<JobId> unconfirmed;
  for (auto it = m_notices.begin(); it != m_notices.end();) {
    if (aNow - it->second.m_addedAt < kNoticeLifetime) {
      ++it;
      continue;
    }
    if (it->second.m_confirmedBy == 0) {
      unconfirmed.push_back(it->first);
    }
    it = m_notices.erase(it);
  }
  return unconfirmed;
}

} // namespace lycheestep
