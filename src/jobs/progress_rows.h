#ifndef LYCHEESTEP_PROGRESS_ROWS_H
#define LYCHEESTEP_PROGRESS_ROWS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "job.h"
#include "lycheestep/row_store.h"
#include "segment_name.h"

namespace lycheestep {

// How progress is stored: the row with the job's id (ProgressKey) holds the
// state of the job, and its tasks as long as these are few. The tasks of a
// larger job are stored by segments, so that a change of one task writes few
// bytes whatever the size of the job. A segment takes one row, or several if
// its checkpoints are long. Where rows differ about a task, the one with the
// highest version is right.

// A task as stored in a progress row.
struct StoredTask
{
  TaskName m_name;
  JobTask m_task;
};

// What the members of a gang share, as stored in a progress row.
struct StoredGang
{
  // The number of runs that failed.
  std::uint32_t m_failures = 0;
  // The number of the last run that failed.
  std::uint32_t m_failedRun = 0;
  std::string m_checkpoint;
  // The targets on which members failed.
  std::set<TargetId> m_failedOn;
};

// The progress of a job as stored in its rows.
struct StoredProgress
{
  JobState m_state = JobState::kQueued;
  std::uint32_t m_occurrencesDone = 0;
  // When the job ended, by the store's clock; zero while the job is not over.
  Duration m_endedAt = Duration::zero();
  std::vector<StoredTask> m_tasks;
  // The gangs of which a segment has a row.
  std::map<StepName, StoredGang> m_gangs;
  // True if the job's progress row has any tasks.
  bool m_rowHasTasks = false;
  // The segments with the number of rows that each takes.
  std::map<SegmentName, std::uint32_t> m_segments;
};

// The progress of all jobs that have rows.
struct StoredProgressTable
{
  std::map<JobId, StoredProgress> m_jobs;
  // The keys of rows that do not parse.
  std::vector<RowKey> m_malformed;
};

// EncodeProgress returns the value of the job's progress row. It leaves out
// tasks that have never been dispatched, all tasks of a job that is done, and
// those of a job that is not over and has segments. Of any other job that is
// over, it names the runs that may be on targets and that no stored segment
// names. DecodeProgress returns nothing if the bytes do not parse.
std::string EncodeProgress(const Job& aJob);
std::optional<StoredProgress> DecodeProgress(const JobId& aJob,
                                             const std::string& aBytes);

// Returns the values of the rows that store a segment, each at most
// aMaxValueBytes long. Returns none if no task of the segment was ever
// dispatched. A checkpoint that does not fit into a row, or is longer than
// kMaxCheckpointBytes, is left out.
constexpr std::size_t kMaxCheckpointBytes = 16384;
std::vector<std::string> EncodeSegment(const Job& aJob,
                                       const SegmentName& aSegment,
                                       std::size_t aMaxValueBytes);

// Returns the key of one of the rows of a segment, counted from zero.
RowKey SegmentKey(const JobId& aJob,
                  const SegmentName& aSegment,
                  std::uint32_t aRow);

// Returns the progress of all jobs, from all rows of the progress table.
StoredProgressTable ReadProgressRows(std::vector<Row> aRows);

} // namespace lycheestep

#endif
