#include "removed_jobs.h"

#include <utility>

namespace lycheestep {

bool RemovedJobs::IsNewJob(const ReadJob& aRead)
{
  const auto found = m_jobs.find(aRead.m_id);
  if (found == m_jobs.end()) {
    return true;
  }
  Removal& removal = found->second;
  if (!removal.m_version) {
    removal.m_read = aRead;
    return false;
  }
  if (aRead.m_stored.m_version <= *removal.m_version) {
    return false;
  }
  m_jobs.erase(found);
  return true;
}

std::vector<ReadJob> RemovedJobs::OnStored(const std::vector<RowKey>& aRemoved,
                                           std::uint64_t aVersion)
{
  std::vector<ReadJob> again;
  for (const RowKey& key : aRemoved) {
    const auto found =
      key.m_table == kJobTable ? m_jobs.find(JobId(key.m_key)) : m_jobs.end();
    if (found == m_jobs.end()) {
      continue;
    }
    Removal& removal = found->second;
    removal.m_version = aVersion;
    const bool isNew =
      removal.m_read && removal.m_read->m_stored.m_version > aVersion;
    if (isNew) {
      again.push_back(std::move(*removal.m_read));
      m_jobs.erase(found);
    } else {
      removal.m_read.reset();
    }
  }
  return again;
}

} // namespace lycheestep
