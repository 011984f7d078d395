#include "early_cancellations.h"

#include <algorithm>
#include <iterator>

namespace lycheestep {

void EarlyCancellations::Add(const JobId& aJob,
                             std::uint64_t aRowVersion,
                             TimePoint aUntil)
{
  Entry& entry = m_rows[aJob];
  entry.m_version = std::max(entry.m_version, aRowVersion);
  entry.m_until = aUntil;
}

bool EarlyCancellations::Take(const JobId& aJob, std::uint64_t aJobRowVersion)
{
  const auto found = m_rows.find(aJob);
  if (found == m_rows.end()) {
    return false;
  }
  const bool isCancelled = aJobRowVersion < found->second.m_version;
  m_rows.erase(found);
  return isCancelled;
}

void EarlyCancellations::RemoveOld(TimePoint aNow)
{
  for (auto it = m_rows.begin(); it != m_rows.end();) {
    const bool due = it->second.m_until <= aNow;
    it = due ? m_rows.erase(it) : std::next(it);
  }
}

} // namespace lycheestep
