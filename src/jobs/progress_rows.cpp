#include "progress_rows.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "job_rows.h"
#include "job_segments.h"
#include "jobs.pb.h"

namespace lycheestep {

namespace {

// Separates the numbers in the key of a segment's row.
constexpr char kNumberSeparator = '.';

// The most bytes of the names of targets on which a gang failed that are
// stored.
constexpr std::size_t kMaxFailedTargetBytes = 256;

void EncodeTask(const TaskName& aName,
                const JobTask& aTask,
                proto::TaskProgressRow& aRow)
{
  aRow.set_occurrence(aName.m_step.m_occurrence);
  aRow.set_step(aName.m_step.m_step);
  aRow.set_index(aName.m_index);
  aRow.set_run(aTask.m_run);
  aRow.set_state(static_cast<std::uint32_t>(aTask.m_state));
  aRow.set_failures(aTask.m_failures);
  if (aTask.m_state != TaskState::kDone) {
    aRow.set_checkpoint(aTask.m_checkpoint);
  }
  const bool failed =
    aTask.m_state == TaskState::kWaiting && aTask.m_failures > 0;
  if (aTask.m_state == TaskState::kDispatched || failed) {
    aRow.set_target(aTask.m_target.Text());
  }
}

StoredTask DecodeTask(const JobId& aJob, const proto::TaskProgressRow& aRow)
{
  StoredTask stored;
  stored.m_name.m_step = StepName{ aJob, aRow.occurrence(), aRow.step() };
  stored.m_name.m_index = aRow.index();
  stored.m_task.m_state = static_cast<TaskState>(aRow.state());
  stored.m_task.m_run = aRow.run();
  stored.m_task.m_failures = aRow.failures();
  stored.m_task.m_checkpoint = aRow.checkpoint();
  stored.m_task.m_target = TargetId(aRow.target());
  return stored;
}

// Adds what a leader needs to stop the runs of a job that is over, as far as no
// segment has it. That is no more than was stored when they were dispatched, so
// that it takes no more room.
void EncodeRunsToStop(const Job& aJob, proto::JobProgressRow& aRow)
{
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const std::vector<JobTask>& tasks = occurrence.m_steps[s].m_tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskName name{ StepName{ aJob.m_id, number, s }, i };
        if (!MustBeStored(aJob, tasks[i]) || IsInStoredSegment(aJob, name)) {
          continue;
        }
        JobTask task = tasks[i];
        task.m_checkpoint.clear();
        EncodeTask(name, task, *aRow.add_task());
      }
    }
  }
}

// Returns the checkpoint, or an empty text if it is too long to be stored.
std::string StorableCheckpoint(const std::string& aCheckpoint,
                               std::size_t aMaxValueBytes)
{
  const std::size_t longest = std::min(aMaxValueBytes / 2, kMaxCheckpointBytes);
  const bool fits = aCheckpoint.size() <= longest;
  return fits ? aCheckpoint : std::string();
}

void EncodeGang(const StepName& aStep,
                const StepProgress& aProgress,
                const std::string& aCheckpoint,
                proto::GangProgressRow& aRow)
{
  aRow.set_occurrence(aStep.m_occurrence);
  aRow.set_step(aStep.m_step);
  aRow.set_failures(aProgress.m_gangFailures);
  aRow.set_failed_run(aProgress.m_failedRun);
  aRow.set_checkpoint(aCheckpoint);
  std::size_t bytes = 0;
  for (const TargetId& target : aProgress.m_failedOn) {
    bytes += target.Text().size();
    if (bytes <= kMaxFailedTargetBytes) {
      aRow.add_failed_target(target.Text());
    }
  }
}

StoredGang DecodeGang(const proto::GangProgressRow& aRow)
{
  StoredGang gang;
  gang.m_failures = aRow.failures();
  gang.m_failedRun = aRow.failed_run();
  gang.m_checkpoint = aRow.checkpoint();
  for (const std::string& target : aRow.failed_target()) {
    gang.m_failedOn.insert(TargetId(target));
  }
  return gang;
}

// What the rows of a segment have in common.
proto::ProgressSegmentRow MakeSegmentRow(const JobStep& aStep,
                                         const StepProgress& aProgress,
                                         const SegmentName& aSegment,
                                         std::size_t aMaxValueBytes)
{
  proto::ProgressSegmentRow row;
  if (aStep.m_gang) {
    EncodeGang(StepName{ JobId(), aSegment.m_occurrence, aSegment.m_step },
               aProgress,
               StorableCheckpoint(aProgress.m_tasks.front().m_checkpoint,
                                  aMaxValueBytes),
               *row.add_gang());
  }
  return row;
}

// Reads the number at the beginning of aText and removes it together with the
// separator after it. Returns nothing if there is no number.
std::optional<std::uint32_t> TakeNumber(std::string& aText)
{
  std::uint32_t number = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  const bool complete = end == last || *end == kNumberSeparator;
  if (error != std::errc() || !complete) {
    return std::nullopt;
  }
  aText.erase(0, static_cast<std::size_t>(end - aText.data()) + 1);
  return number;
}

// The place of a row of a segment, from the key of the row.
struct SegmentRowName
{
  JobId m_job;
  SegmentName m_segment;
  std::uint32_t m_row = 0;
};

std::optional<SegmentRowName> ParseSegmentKey(const std::string& aKey)
{
  const std::size_t separator = aKey.find(kKeySeparator);
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  std::string numbers = aKey.substr(separator + 1);
  const auto occurrence = TakeNumber(numbers);
  const auto step = occurrence ? TakeNumber(numbers) : std::nullopt;
  const auto number = step ? TakeNumber(numbers) : std::nullopt;
  const auto row = number ? TakeNumber(numbers) : std::nullopt;
  if (!row) {
    return std::nullopt;
  }
  return SegmentRowName{ JobId(aKey.substr(0, separator)),
                         SegmentName{ *occurrence, *step, *number },
                         *row };
}

// Collects the rows of all jobs in the order of their versions.
class ProgressReader
{
public:
  void Read(const Row& aRow)
  {
    const bool isSegment =
      aRow.m_key.m_key.find(kKeySeparator) != std::string::npos;
    const bool read = isSegment ? ReadSegment(aRow) : ReadJob(aRow);
    if (!read) {
      m_table.m_malformed.push_back(aRow.m_key);
    }
  }

  StoredProgressTable Finish()
  {
    for (auto& [name, task] : m_tasks) {
      StoredProgress& progress = m_table.m_jobs[name.m_step.m_job];
      progress.m_tasks.push_back(StoredTask{ name, std::move(task) });
    }
    return std::move(m_table);
  }

private:
  bool ReadJob(const Row& aRow)
  {
    const JobId job(aRow.m_key.m_key);
    auto stored = DecodeProgress(job, aRow.m_value);
    if (!stored) {
      return false;
    }
    StoredProgress& progress = m_table.m_jobs[job];
    progress.m_state = stored->m_state;
    progress.m_occurrencesDone = stored->m_occurrencesDone;
    progress.m_endedAt = stored->m_endedAt;
    progress.m_rowHasTasks = !stored->m_tasks.empty();
    for (StoredTask& task : stored->m_tasks) {
      m_tasks[task.m_name] = std::move(task.m_task);
    }
    for (auto& [step, gang] : stored->m_gangs) {
      progress.m_gangs[step] = std::move(gang);
    }
    return true;
  }

  bool ReadSegment(const Row& aRow)
  {
    const auto name = ParseSegmentKey(aRow.m_key.m_key);
    proto::ProgressSegmentRow row;
    if (!name || !row.ParseFromString(aRow.m_value)) {
      return false;
    }
    StoredProgress& progress = m_table.m_jobs[name->m_job];
    std::uint32_t& rows = progress.m_segments[name->m_segment];
    rows = std::max(rows, name->m_row + 1);
    for (const proto::TaskProgressRow& task : row.task()) {
      StoredTask stored = DecodeTask(name->m_job, task);
      m_tasks[stored.m_name] = std::move(stored.m_task);
    }
    for (const proto::GangProgressRow& gang : row.gang()) {
      const StepName step{ name->m_job, gang.occurrence(), gang.step() };
      progress.m_gangs[step] = DecodeGang(gang);
    }
    return true;
  }

  StoredProgressTable m_table;
  std::map<TaskName, JobTask> m_tasks;
};

} // namespace

std::string EncodeProgress(const Job& aJob)
{
  proto::JobProgressRow row;
  row.set_state(static_cast<std::uint32_t>(aJob.m_state));
  if (aJob.IsOver()) {
    row.set_ended_ms(
      static_cast<std::uint64_t>(ToMilliseconds(aJob.m_endedAt)));
  }
  row.set_occurrences_done(aJob.m_occurrencesDone);
  if (aJob.IsOver()) {
    EncodeRunsToStop(aJob, row);
    return row.SerializeAsString();
  }
  if (aJob.m_layout != TaskLayout::kOneRow) {
    return row.SerializeAsString();
  }
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
      const StepName name{ aJob.m_id, number, s };
      const StepProgress& progress = occurrence.m_steps[s];
      const std::vector<JobTask>& tasks = progress.m_tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (HasProgress(tasks[i])) {
          EncodeTask(TaskName{ name, i }, tasks[i], *row.add_task());
        }
      }
      if (aJob.m_spec.m_steps[s].m_gang && progress.m_gangFailures > 0) {
        EncodeGang(name, progress, tasks.front().m_checkpoint, *row.add_gang());
      }
    }
  }
  return row.SerializeAsString();
}

std::optional<StoredProgress> DecodeProgress(const JobId& aJob,
                                             const std::string& aBytes)
{
  proto::JobProgressRow row;
  if (!row.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  StoredProgress progress;
  progress.m_state = static_cast<JobState>(row.state());
  progress.m_occurrencesDone = row.occurrences_done();
  progress.m_endedAt = std::chrono::milliseconds(row.ended_ms());
  for (const proto::TaskProgressRow& task : row.task()) {
    progress.m_tasks.push_back(DecodeTask(aJob, task));
  }
  for (const proto::GangProgressRow& gang : row.gang()) {
    const StepName step{ aJob, gang.occurrence(), gang.step() };
    progress.m_gangs[step] = DecodeGang(gang);
  }
  return progress;
}

std::vector<std::string> EncodeSegment(const Job& aJob,
                                       const SegmentName& aSegment,
                                       std::size_t aMaxValueBytes)
{
  const auto occurrence = aJob.m_occurrences.find(aSegment.m_occurrence);
  if (occurrence == aJob.m_occurrences.end()) {
    return {};
  }
  const JobStep& step = aJob.m_spec.m_steps[aSegment.m_step];
  const StepProgress& progress = occurrence->second.m_steps[aSegment.m_step];
  const std::uint32_t first = aSegment.m_number * kTasksPerSegment;
  const auto count = static_cast<std::uint32_t>(progress.m_tasks.size());
  const std::uint32_t end = std::min(first + kTasksPerSegment, count);
  const proto::ProgressSegmentRow empty =
    MakeSegmentRow(step, progress, aSegment, aMaxValueBytes);
  std::vector<std::string> values;
  proto::ProgressSegmentRow row = empty;
  const auto finishRow = [&] {
    values.push_back(row.SerializeAsString());
    row = empty;
  };
  for (std::uint32_t i = first; i < end; ++i) {
    JobTask task = progress.m_tasks[i];
    if (!HasProgress(task)) {
      continue;
    }
    // The gang's entry holds what its members share.
    task.m_checkpoint =
      step.m_gang ? std::string()
                  : StorableCheckpoint(task.m_checkpoint, aMaxValueBytes);
    task.m_failures = step.m_gang ? 0 : task.m_failures;
    const StepName name{ aJob.m_id, aSegment.m_occurrence, aSegment.m_step };
    EncodeTask(TaskName{ name, i }, task, *row.add_task());
    if (row.task_size() > 1 && row.ByteSizeLong() > aMaxValueBytes) {
      row.mutable_task()->RemoveLast();
      finishRow();
      EncodeTask(TaskName{ name, i }, task, *row.add_task());
    }
  }
  if (row.task_size() > 0) {
    finishRow();
  }
  return values;
}

RowKey SegmentKey(const JobId& aJob,
                  const SegmentName& aSegment,
                  std::uint32_t aRow)
{
  RowKey key = ProgressKey(aJob);
  key.m_key += kKeySeparator + std::to_string(aSegment.m_occurrence) +
               kNumberSeparator + std::to_string(aSegment.m_step) +
               kNumberSeparator + std::to_string(aSegment.m_number) +
               kNumberSeparator + std::to_string(aRow);
  return key;
}

StoredProgressTable ReadProgressRows(std::vector<Row> aRows)
{
  // A row of a higher version counts before one of a lower version. The state
  // and the segments of one transaction have the same version; a segment counts
  // before the tasks in the job's progress row then.
  std::stable_sort(
    aRows.begin(), aRows.end(), [](const Row& aLeft, const Row& aRight) {
      return aLeft.m_version < aRight.m_version;
    });
  ProgressReader reader;
  for (const Row& row : aRows) {
    reader.Read(row);
  }
  return reader.Finish();
}

} // namespace lycheestep
