// The part of Leader that reads the store's tables: all rows once, then
// changes.
#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "event_log.h"
#include "job_rows.h"
#include "jobs.pb.h"
#include "leader.h"
#include "lycheestep/job_host_settings.h"
#include "lycheestep/platform_documents.h"

namespace lycheestep {

namespace {

// Applies changes to the rows of a table that were read so far.
void ApplyChanges(const std::vector<Row>& aChanges,
                  std::optional<std::vector<Row>>& aRows)
{
  if (!aRows) {
    aRows.emplace();
  }
  std::set<RowKey> changed;
  for (const Row& row : aChanges) {
    changed.insert(row.m_key);
  }
  aRows->erase(std::remove_if(aRows->begin(),
                              aRows->end(),
                              [&changed](const Row& aRow) {
                                return changed.count(aRow.m_key) > 0;
                              }),
               aRows->end());
  aRows->insert(aRows->end(), aChanges.begin(), aChanges.end());
}

} // namespace

void Leader::OnJobRows(const std::vector<Row>& aRows)
{
  if (m_loaded) {
    AddJobs(aRows);
    return;
  }
  ApplyChanges(aRows, m_jobRows);
  LoadIfComplete();
}

void Leader::OnCancelRows(const std::vector<Row>& aRows)
{
  if (m_loaded) {
    AddCancels(aRows);
    return;
  }
  ApplyChanges(aRows, m_cancelRows);
  LoadIfComplete();
}

void Leader::OnProgressRows(const std::vector<Row>& aRows)
{
  if (!m_loaded && !m_progressRows) {
    m_progressRows = aRows;
    m_progressWatch->Stop(); // only the leader changes progress
    LoadIfComplete();
  }
}

void Leader::OnAddressRows(const std::vector<Row>& aRows)
{
  if (!m_loaded && !m_addressRows) {
    m_addressRows = aRows;
    m_addressWatch->Stop(); // only the leader changes addresses
    LoadIfComplete();
  }
}

void Leader::LoadIfComplete()
{
  if (!m_jobRows || !m_cancelRows || !m_progressRows || !m_addressRows) {
    return;
  }
  m_loaded = true;
  m_loadedAt = m_now;
  AddAddresses(*m_addressRows);
  AddJobs(*m_jobRows);
  AddProgress(*m_progressRows, *m_jobRows);
  AddCancels(*m_cancelRows);
  for (const TargetRecord& record : m_targets.UsableTargets()) {
    m_scheduler.OnTargetRecord(record, m_now);
  }
  ReportLoad();
  m_jobRows.reset();
  m_cancelRows.reset();
  m_progressRows.reset();
  m_addressRows.reset();
}

void Leader::AddJobs(const std::vector<Row>& aRows)
{
  for (const Row& row : aRows) {
    if (row.m_removed) {
      m_jobRowReader.Remove(row.m_key);
      m_scheduler.OnJobRemoved(JobId(row.m_key.m_key));
      continue;
    }
    const JobRowResult read = m_jobRowReader.Read(row);
    switch (read.m_status) {
      case JobRowResult::Status::kComplete:
        m_scheduler.OnJob(read.m_job, read.m_stored, read.m_parts, m_now);
        break;
      case JobRowResult::Status::kWithdrawn:
        m_scheduler.OnWithdrawn(read.m_job, read.m_withdrawnAt, m_now);
        break;
      case JobRowResult::Status::kMalformed:
        Log("job-malformed", "row=" + row.m_key.m_key);
        m_scheduler.OnUnreadableJob(read.m_job);
        break;
      case JobRowResult::Status::kIncomplete:
        break;
    }
  }
}

void Leader::AddProgress(const std::vector<Row>& aRows,
                         const std::vector<Row>& aJobRows)
{
  const StoredProgressTable table = ReadProgressRows(aRows);
  for (const RowKey& key : table.m_malformed) {
    Log("progress-malformed", "row=" + key.m_key);
  }
  std::set<std::string> jobs;
  for (const Row& row : aJobRows) {
    jobs.insert(row.m_key.m_key);
  }
  for (const Row& row : aRows) {
    // A leader of an earlier release does not remove the rows of segments.
    const std::string& key = row.m_key.m_key;
    if (jobs.count(key.substr(0, key.find(kKeySeparator))) == 0) {
      m_scheduler.RemoveRow(row.m_key);
    }
  }
  for (const auto& [job, progress] : table.m_jobs) {
    m_scheduler.OnProgress(job, progress, m_now);
  }
}

void Leader::AddCancels(const std::vector<Row>& aRows)
{
  for (const Row& row : aRows) {
    const JobId job(row.m_key.m_key);
    if (row.m_removed) {
      m_scheduler.OnCancelRemoved(job);
    } else {
      if (!m_cancelRows) { // read since the load
        ReportCancellation(row, CancellationSource::kFeed);
      }
      m_scheduler.OnCancel(job, m_now);
    }
  }
}

void Leader::AddAddresses(const std::vector<Row>& aRows)
{
  for (const Row& row : aRows) {
    const auto address = DecodeTargetAddress(row);
    if (address) {
      m_scheduler.OnStoredAddress(*address);
    } else {
      Log("target-address-malformed", "target=" + row.m_key.m_key);
      m_scheduler.OnUnreadableAddress(TargetId(row.m_key.m_key));
    }
  }
}

void Leader::OnTargetRows(const std::vector<Row>& aRows)
{
  const TargetChanges changes =
    m_targets.OnRows(aRows, m_dependencies.m_documents);
  for (const TargetId& target : changes.m_malformed) {
    Log("target-row-malformed", "target=" + target.Text());
  }
  ApplyTargets(changes);
}

void Leader::ApplyTargets(const TargetChanges& aChanges)
{
  if (!m_loaded) {
    return; // LoadIfComplete reports all targets
  }
  for (const TargetRecord& record : aChanges.m_changed) {
    m_scheduler.OnTargetRecord(record, m_now);
  }
  for (const TargetId& target : aChanges.m_gone) {
    Log("target-gone", "target=" + target.Text());
    m_scheduler.OnTargetGone(target, m_now);
  }
}

void Leader::OnHostRows(const std::vector<Row>& aRows)
{
  for (const Row& row : aRows) {
    const std::string& name = row.m_key.m_key;
    proto::HostRow host;
    const bool readable = !row.m_removed && host.ParseFromString(row.m_value);
    if (!readable || name == m_dependencies.m_settings.m_host) {
      m_hosts.erase(name);
      continue;
    }
    PeerHost updated;
    updated.m_address = host.peer_address();
    updated.m_dataCentre = DataCentreName(host.data_centre());
    updated.m_processorShare = host.processor_share();
    updated.m_lastSeen = m_now;
    const auto found = m_hosts.find(name);
    m_hosts[name] = found != m_hosts.end()
                      ? UpdatedPeerHost(updated, found->second)
                      : updated;
  }
}

} // namespace lycheestep
