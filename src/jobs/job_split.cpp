// The part of JobScheduler that stores the tasks of large jobs in segments:
// when a job's progress row is split, and when its segments may go.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "job_effects.h"
#include "job_scheduler.h"
#include "job_segments.h"

namespace lycheestep {

namespace {

// The longest value of a progress row that holds the tasks of its job. The
// tasks of larger jobs are stored in segments.
constexpr std::size_t kMaxInlineBytes = 16384;

} // namespace

std::vector<RowWrite> JobScheduler::EncodeSegmentRows(
  Job& aJob,
  const SegmentName& aSegment)
{
  const auto known = aJob.m_segments.find(aSegment);
  const bool isStored =
    known != aJob.m_segments.end() && known->second.m_isStored;
  if (aJob.IsOver() && (isStored || !MustBeStored(aJob, aSegment))) {
    // The job's state decides. The rows as they are say where runs may have to
    // be stopped.
    return {};
  }
  std::vector<RowWrite> writes;
  for (std::string& value : EncodeSegment(aJob, aSegment, m_maxValueBytes)) {
    const auto number = static_cast<std::uint32_t>(writes.size());
    writes.push_back(
      RowWrite{ SegmentKey(aJob.m_id, aSegment, number), std::move(value) });
  }
  if (!writes.empty()) {
    std::uint32_t& rows = aJob.m_segments[aSegment].m_rows;
    rows = std::max(rows, static_cast<std::uint32_t>(writes.size()));
  }
  return writes;
}

bool JobScheduler::MayWriteProgress(const Job& aJob, std::size_t aBytes) const
{
  if (aBytes > std::min(kMaxInlineBytes, m_maxValueBytes)) {
    return false;
  }
  // The row of a job that is over names the runs that no segment has.
  return aJob.m_layout != TaskLayout::kBeingSplit || aJob.IsOver() ||
         UnstoredSegments(aJob).empty();
}

void JobScheduler::LeaveToProgressRow(const ChangedRows::Taken& aTaken)
{
  const JobRowName progress{ aTaken.m_row.m_job,
                             JobRowName::Kind::kProgress,
                             SegmentName() };
  if (aTaken.m_row.m_kind == JobRowName::Kind::kSegment &&
      m_changes.Has(progress)) {
    m_changes.Replace(aTaken, { progress });
  }
}

void JobScheduler::StoreInSegments(const ChangedRows::Taken& aProgress)
{
  Job& job = m_jobs.at(aProgress.m_row.m_job);
  const std::vector<SegmentName> segments = UnstoredSegments(job);
  m_effects.Log("job-segmented",
                "job=" + job.m_id.Text() +
                  " segments=" + std::to_string(segments.size()));
  job.m_layout = TaskLayout::kBeingSplit;
  if (!job.IsOver()) {
    m_segmentedJobs.insert(job.m_id);
  }
  std::vector<JobRowName> rows;
  if (job.m_jobRowParts == 0) {
    // Earlier releases ignore a job of several rows anyway.
    rows.push_back(
      JobRowName{ job.m_id, JobRowName::Kind::kJob, SegmentName() });
  }
  for (const SegmentName& segment : segments) {
    rows.push_back(JobRowName{ job.m_id, JobRowName::Kind::kSegment, segment });
  }
  // Until the segments are stored, the tasks in the progress row count.
  rows.push_back(aProgress.m_row);
  m_changes.Replace(aProgress, rows);
}

void JobScheduler::NoteTaken(const JobRowName& aRow)
{
  Job& job = m_jobs.at(aRow.m_job);
  if (aRow.m_kind == JobRowName::Kind::kSegment) {
    job.m_segments.at(aRow.m_segment).m_isInCommit = true;
  } else if (aRow.m_kind == JobRowName::Kind::kProgress &&
             job.m_layout == TaskLayout::kBeingSplit &&
             UnstoredSegments(job).empty()) {
    m_commit.m_splitJobs.insert(aRow.m_job);
  }
}

void JobScheduler::NoteStored(const JobRowName& aRow)
{
  const auto found = m_jobs.find(aRow.m_job);
  if (found == m_jobs.end()) {
    return;
  }
  Job& job = found->second;
  const auto segment = job.m_segments.find(aRow.m_segment);
  if (aRow.m_kind == JobRowName::Kind::kSegment &&
      segment != job.m_segments.end()) {
    segment->second.m_isInCommit = false;
    segment->second.m_isStored = true;
  }
  if (aRow.m_kind == JobRowName::Kind::kProgress &&
      m_commit.m_splitJobs.count(aRow.m_job) > 0) {
    m_effects.Log("job-split-stored", "job=" + aRow.m_job.Text());
    job.m_layout = TaskLayout::kSegments;
  }
}

void JobScheduler::NoteRejected(const JobRowName& aRow)
{
  const auto job = m_jobs.find(aRow.m_job);
  if (job == m_jobs.end() || aRow.m_kind != JobRowName::Kind::kSegment) {
    return;
  }
  const auto segment = job->second.m_segments.find(aRow.m_segment);
  if (segment != job->second.m_segments.end()) {
    segment->second.m_isInCommit = false;
  }
}

void JobScheduler::RemoveOldSegments(Job& aJob)
{
  // A leader that finds the job running reads its tasks from the segments.
  const bool endIsStored = aJob.IsOver() && aJob.m_storedState == aJob.m_state;
  const bool isSettled = endIsStored && (aJob.m_state == JobState::kDone ||
                                         aJob.CountDispatched() == 0);
  for (auto it = aJob.m_segments.begin(); it != aJob.m_segments.end();) {
    const bool needed =
      !isSettled && it->first.m_occurrence >= aJob.m_storedOccurrencesDone;
    if (needed) {
      ++it;
      continue;
    }
    RemoveSegment(aJob, it->first, it->second.m_rows);
    it = aJob.m_segments.erase(it);
  }
}

void JobScheduler::RemoveSegment(const Job& aJob,
                                 const SegmentName& aSegment,
                                 std::uint32_t aRows)
{
  for (std::uint32_t row = 0; row < aRows; ++row) {
    RemoveRow(SegmentKey(aJob.m_id, aSegment, row));
  }
}

} // namespace lycheestep
