// The part of JobScheduler that stores progress: which rows each commit writes
// and removes, and what follows when it is done.
#include <algorithm>
#include <iterator>
#include <utility>

#include "job_effects.h"
#include "job_scheduler.h"

namespace lycheestep {

namespace {

// The most bytes of the values in one commit. A small host needs a tenth of a
// second to send them, so that no commit delays the renewal of the leadership.
constexpr std::size_t kBytesPerCommit = 150000;

// The most rows that are removed in one commit, if their groups allow it, and
// the most jobs whose removal begins with one commit.
constexpr std::size_t kRemovalsPerCommit = 45;
constexpr std::size_t kOldJobsPerCommit = 10;

// Values are not made shorter than this after commits that were rejected.
constexpr std::size_t kMinValueBytes = 512;

// How often rows without a job are looked through.
constexpr Duration kRemovalCheckPeriod = std::chrono::seconds(1);

// The minimum time between two commits. The changes in between are batched.
constexpr Duration kMinCommitInterval = std::chrono::milliseconds(8);

std::size_t SizeOf(const std::vector<RowWrite>& aWrites)
{
  std::size_t bytes = 0;
  for (const RowWrite& write : aWrites) {
    bytes += write.m_value.size();
  }
  return bytes;
}

void Append(std::vector<RowWrite>& aTo, std::vector<RowWrite> aWrites)
{
  std::move(aWrites.begin(), aWrites.end(), std::back_inserter(aTo));
}

} // namespace

void JobScheduler::MarkChanged(const Job& aJob)
{
  m_changes.Add(
    JobRowName{ aJob.m_id, JobRowName::Kind::kProgress, SegmentName() });
}

void JobScheduler::MarkTaskChanged(const TaskName& aName)
{
  const JobId& id = aName.m_step.m_job;
  const Job& job = m_jobs.at(id);
  if (job.m_layout == TaskLayout::kOneRow) {
    MarkChanged(job);
    return;
  }
  m_changes.Add(
    JobRowName{ id, JobRowName::Kind::kSegment, SegmentName::Of(aName) });
  if (job.m_state != job.m_storedState) {
    MarkChanged(job);
  }
}

void JobScheduler::MarkStepChanged(const StepName& aStep)
{
  const JobStep& step = m_jobs.at(aStep.m_job).m_spec.m_steps[aStep.m_step];
  for (std::uint32_t i = 0; i < step.m_count; i += kTasksPerSegment) {
    MarkTaskChanged(TaskName{ aStep, i });
  }
}

void JobScheduler::CommitIfDue(TimePoint aNow)
{
  if (m_committing || aNow - m_lastCommitAt < kMinCommitInterval) {
    return;
  }
  if (m_changes.Empty() && m_keeper.HasUnstoredEnds()) {
    // These run ends change no stored row, so they count as stored at once.
    m_keeper.NoteCommitBegun();
    m_keeper.NoteCommitDone();
  }
  RemoveOldJobs(aNow);
  RemoveRowsWithoutJob(aNow);
  if (m_changes.Empty() && m_removals.empty() && !m_directory.HasChanges() &&
      !m_keeper.NeedsFencingToken()) {
    return;
  }
  if (!m_endsSnapshot) {
    m_keeper.NoteCommitBegun();
    m_endsSnapshot = m_changes.NextSequence();
  }
  m_commit = PendingCommit();
  // Addresses go first, as many as fit, so that no dispatch is stored before
  // the address of its target.
  TargetDirectory::Changes addresses = m_directory.TakeChanges(m_maxCommitRows);
  m_commit.m_addressRows = addresses.Count();
  std::vector<RowWrite> writes = std::move(addresses.m_writes);
  std::vector<RowKey> removals = std::move(addresses.m_removals);
  const std::size_t rowsLeft = m_maxCommitRows - m_commit.m_addressRows;
  const std::vector<RowKey> others = TakeRemovals(rowsLeft);
  removals.insert(removals.end(), others.begin(), others.end());
  if (others.size() < rowsLeft) {
    Append(writes, TakeChanges(rowsLeft - others.size()));
  }
  TakeDispatches();
  m_commit.m_storesEnds = !m_changes.AnyBefore(*m_endsSnapshot);
  m_committing = true;
  m_lastCommitAt = aNow;
  m_effects.Commit(std::move(writes), std::move(removals));
}

std::vector<RowKey> JobScheduler::TakeRemovals(std::size_t aMaxRows)
{
  std::vector<RowKey> removals;
  const std::size_t limit = std::min(kRemovalsPerCommit, aMaxRows);
  // A group that is larger than the limit is removed by itself.
  const bool mayExceed = m_commit.m_addressRows == 0;
  while (!m_removals.empty()) {
    RowGroup& group = m_removals.front();
    const bool fits = removals.size() + group.size() <= limit;
    if (!fits && !(mayExceed && removals.empty())) {
      break;
    }
    removals.insert(removals.end(), group.begin(), group.end());
    m_commit.m_removals.push_back(std::move(group));
    m_removals.pop_front();
  }
  return removals;
}

std::vector<RowWrite> JobScheduler::TakeChanges(std::size_t aMaxRows)
{
  std::vector<RowWrite> writes;
  std::size_t bytes = 0;
  while (!m_changes.Empty()) {
    const JobRowName row = m_changes.Next();
    std::vector<RowWrite> rows = EncodeRow(row);
    const std::size_t rowBytes = SizeOf(rows);
    if (row.m_kind == JobRowName::Kind::kProgress && !rows.empty() &&
        !MayWriteProgress(m_jobs.at(row.m_job), rowBytes)) {
      StoreInSegments(m_changes.Take());
      continue;
    }
    const bool fits = writes.size() + rows.size() <= aMaxRows &&
                      bytes + rowBytes <= kBytesPerCommit;
    // Rows that are more than the limit are written by themselves.
    const bool mayExceed = writes.empty() && m_commit.m_addressRows == 0;
    if (!fits && !mayExceed) {
      break;
    }
    const ChangedRows::Taken taken = m_changes.Take();
    if (rows.empty()) {
      LeaveToProgressRow(taken);
      continue;
    }
    m_commit.m_changes.push_back(taken);
    NoteTaken(row);
    bytes += rowBytes;
    Append(writes, std::move(rows));
  }
  return writes;
}

void JobScheduler::TakeDispatches()
{
  std::set<JobRowName> included;
  for (const ChangedRows::Taken& taken : m_commit.m_changes) {
    included.insert(taken.m_row);
  }
  const auto isIncluded = [&](const RunName& aRun) {
    const JobId& id = aRun.m_task.m_step.m_job;
    const auto job = m_jobs.find(id);
    JobRowName row{ id, JobRowName::Kind::kProgress, SegmentName() };
    if (job != m_jobs.end() && job->second.m_layout != TaskLayout::kOneRow) {
      row.m_kind = JobRowName::Kind::kSegment;
      row.m_segment = SegmentName::Of(aRun.m_task);
    }
    return included.count(row) > 0;
  };
  const auto later = std::stable_partition(
    m_unstoredDispatches.begin(), m_unstoredDispatches.end(), isIncluded);
  m_dispatchesInCommit.assign(m_unstoredDispatches.begin(), later);
  m_unstoredDispatches.erase(m_unstoredDispatches.begin(), later);
}

std::vector<RowWrite> JobScheduler::EncodeRow(const JobRowName& aRow)
{
  const auto found = m_jobs.find(aRow.m_job);
  if (found == m_jobs.end()) {
    return {};
  }
  Job& job = found->second;
  switch (aRow.m_kind) {
    case JobRowName::Kind::kJob:
      return EncodeJobTableRows(job);
    case JobRowName::Kind::kProgress:
      job.m_storedState = job.m_state;
      job.m_storedOccurrencesDone = job.m_occurrencesDone;
      return { RowWrite{ ProgressKey(job.m_id), EncodeProgress(job) } };
    case JobRowName::Kind::kSegment:
      return EncodeSegmentRows(job, aRow.m_segment);
  }
  return {};
}

std::vector<RowWrite> JobScheduler::EncodeJobTableRows(Job& aJob)
{
  if (aJob.IsOver()) {
    return {}; // nobody starts its tasks, and the payload is gone
  }
  StoredJob stored;
  stored.m_terms = aJob.m_terms;
  stored.m_spec = aJob.m_spec;
  stored.m_acceptedAt = aJob.m_acceptedWallTime;
  if (aJob.m_jobRowParts > 0) {
    std::vector<RowWrite> rows =
      EncodeJobRows(aJob.m_id, stored, m_maxValueBytes);
    const std::size_t parts = std::max<std::size_t>(1, rows.size()) - 1;
    aJob.m_jobRowParts =
      std::max(aJob.m_jobRowParts, static_cast<std::uint32_t>(parts));
    return rows;
  }
  const ProgressLayout layout = aJob.m_layout == TaskLayout::kOneRow
                                  ? ProgressLayout::kOneRow
                                  : ProgressLayout::kSegments;
  std::string value = EncodeJob(stored, layout);
  if (value.size() > m_maxValueBytes) {
    m_effects.Log("job-row-too-long", "job=" + aJob.m_id.Text());
    return {};
  }
  return { RowWrite{ JobKey(aJob.m_id), std::move(value) } };
}

void JobScheduler::RemoveOldJobs(TimePoint aNow)
{
  std::size_t jobs = 0;
  for (auto it = m_finishedJobs.begin(); it != m_finishedJobs.end() &&
                                         it->first <= aNow &&
                                         jobs < kOldJobsPerCommit;) {
    const JobId id = it->second;
    if (m_changes.HasRowsOf(id)) {
      ++it;
      continue;
    }
    RemoveJob(id);
    it = m_finishedJobs.erase(it);
    ++jobs;
  }
}

void JobScheduler::RemoveJob(const JobId& aJob)
{
  const auto found = m_jobs.find(aJob);
  if (found == m_jobs.end()) {
    return;
  }
  const Job& job = found->second;
  // The state goes last, so that a new leader finds the job over until then.
  for (const auto& [segment, stored] : job.m_segments) {
    RemoveSegment(job, segment, stored.m_rows);
  }
  RowGroup group{ JobKey(aJob), ProgressKey(aJob), CancelKey(aJob) };
  for (std::uint32_t part = 1; part <= job.m_jobRowParts; ++part) {
    group.push_back(JobPartKey(aJob, part));
  }
  m_removals.push_back(std::move(group));
  m_jobs.erase(found);
  m_removedJobs.Add(aJob);
}

void JobScheduler::RemoveRowsWithoutJob(TimePoint aNow)
{
  if (aNow < m_nextRemovalCheck) {
    return;
  }
  m_nextRemovalCheck = aNow + kRemovalCheckPeriod;
  RemoveOldAddresses(aNow);
  for (auto it = m_withdrawals.begin(); it != m_withdrawals.end();) {
    const bool due = it->second <= aNow;
    if (due) {
      RemoveRow(JobKey(it->first));
    }
    it = due ? m_withdrawals.erase(it) : std::next(it);
  }
  for (auto it = m_earlyCancels.begin(); it != m_earlyCancels.end();) {
    const bool due =
      it->second <= aNow && m_unreadableJobs.count(it->first) == 0;
    if (due) {
      RemoveRow(CancelKey(it->first));
    }
    it = due ? m_earlyCancels.erase(it) : std::next(it);
  }
  m_earlyCancelRows.RemoveOld(aNow);
}

void JobScheduler::RemoveOldAddresses(TimePoint aNow)
{
  // By then a lease that was extended before the target left has expired.
  m_directory.RemoveUnneeded(
    [this](const TargetId& aTarget) {
      return m_keeper.Find(aTarget) != nullptr;
    },
    m_settings.m_targets.m_longestLease,
    aNow);
}

Duration JobScheduler::StoreClock(TimePoint aNow) const
{
  return m_storeClock + (aNow - m_storeClockAt);
}

void JobScheduler::OnCommitted(FencingToken aFence,
                               Duration aStoreClock,
                               TimePoint aNow)
{
  m_committing = false;
  m_storeClock = aStoreClock;
  m_storeClockAt = aNow;
  m_maxCommitRows = std::min(kMaxCommitRows, m_maxCommitRows * 2);
  m_keeper.SetFencingToken(aFence);
  m_directory.OnCommitted();
  if (m_commit.m_storesEnds) {
    m_keeper.NoteCommitDone();
    m_endsSnapshot.reset();
  }
  for (const ChangedRows::Taken& taken : m_commit.m_changes) {
    NoteStored(taken.m_row);
  }
  for (const ChangedRows::Taken& taken : m_commit.m_changes) {
    const auto job = m_jobs.find(taken.m_row.m_job);
    if (taken.m_row.m_kind == JobRowName::Kind::kProgress &&
        job != m_jobs.end()) {
      RemoveOldSegments(job->second);
    }
  }
  for (const RowGroup& removed : m_commit.m_removals) {
    for (const ReadJob& job : m_removedJobs.OnStored(removed, aFence)) {
      AddJob(job, aNow);
    }
  }
  m_commit = PendingCommit();
  SendStarts(aNow);
}

void JobScheduler::OnCommitRejected(TimePoint /*aNow*/)
{
  m_committing = false;
  for (const ChangedRows::Taken& taken : m_commit.m_changes) {
    NoteRejected(taken.m_row);
  }
  ReduceCommits();
  m_directory.OnCommitRejected();
  m_changes.PutBack(m_commit.m_changes);
  m_removals.insert(
    m_removals.begin(), m_commit.m_removals.begin(), m_commit.m_removals.end());
  m_commit = PendingCommit();
  m_unstoredDispatches.insert(m_unstoredDispatches.begin(),
                              m_dispatchesInCommit.begin(),
                              m_dispatchesInCommit.end());
  m_dispatchesInCommit.clear();
}

void JobScheduler::ReduceCommits()
{
  const std::size_t changes = m_commit.m_changes.size();
  const std::size_t removals = m_commit.m_removals.size();
  m_effects.Log("commit-rejected",
                "changes=" + std::to_string(changes) +
                  " removals=" + std::to_string(removals) +
                  " addresses=" + std::to_string(m_commit.m_addressRows));
  const std::size_t rows = changes + removals + m_commit.m_addressRows;
  if (rows > 1) {
    m_maxCommitRows = std::max<std::size_t>(1, rows / 2);
    return;
  }
  m_maxCommitRows = 1;
  if (changes == 1 && m_maxValueBytes > kMinValueBytes) {
    m_maxValueBytes = std::max(kMinValueBytes, m_maxValueBytes / 2);
    return;
  }
  // The store takes neither the shortest values nor the removal.
  if (changes == 1) {
    m_effects.Log("row-unstorable",
                  "job=" + m_commit.m_changes.front().m_row.m_job.Text());
  }
  m_commit.m_changes.clear();
  m_commit.m_removals.clear();
}

} // namespace lycheestep
