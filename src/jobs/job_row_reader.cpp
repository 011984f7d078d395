#include "job_row_reader.h"

#include <charconv>
#include <chrono>
#include <utility>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

// Returns the part's number, or nothing if the text is no number from one on.
std::optional<std::uint32_t> ParsePartNumber(const std::string& aText)
{
  std::uint32_t number = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  const bool valid = error == std::errc() && end == last && number > 0;
  return valid ? std::optional<std::uint32_t>(number) : std::nullopt;
}

JobId JobOfKey(const std::string& aKey)
{
  return JobId(aKey.substr(0, aKey.find(kKeySeparator)));
}

} // namespace

JobRowResult JobRowReader::Read(const Row& aRow)
{
  const std::string& key = aRow.m_key.m_key;
  const JobId job = JobOfKey(key);
  if (job.Text().size() < key.size()) {
    return ReadPart(job, key.substr(job.Text().size() + 1), aRow);
  }
  JobRowResult result;
  result.m_job = job;
  proto::JobRow row;
  if (!row.ParseFromString(aRow.m_value)) {
    return result;
  }
  if (row.part_count() > 0) {
    PartialJob* partial = FindPartial(job, aRow.m_version);
    if (partial == nullptr) {
      result.m_status = JobRowResult::Status::kIncomplete;
      return result;
    }
    partial->m_partCount = row.part_count();
    return Assemble(job, aRow.m_version);
  }
  if (row.withdrawn_ms() > 0) {
    result.m_status = JobRowResult::Status::kWithdrawn;
    result.m_withdrawnAt = std::chrono::milliseconds(row.withdrawn_ms());
    return result;
  }
  auto stored = DecodeJob(aRow.m_value);
  if (stored) {
    result.m_status = JobRowResult::Status::kComplete;
    result.m_stored = std::move(*stored);
    result.m_stored.m_version = aRow.m_version;
  }
  return result;
}

void JobRowReader::Remove(const RowKey& aKey)
{
  const JobId job = JobOfKey(aKey.m_key);
  const auto found = m_partial.find(job);
  if (found == m_partial.end()) {
    return;
  }
  PartialJob& partial = found->second;
  if (job.Text().size() == aKey.m_key.size()) {
    partial.m_partCount = 0;
  } else {
    const auto number =
      ParsePartNumber(aKey.m_key.substr(job.Text().size() + 1));
    partial.m_parts.erase(number.value_or(0));
  }
  if (partial.m_partCount == 0 && partial.m_parts.empty()) {
    m_partial.erase(found);
  }
}

JobRowReader::PartialJob* JobRowReader::FindPartial(const JobId& aJob,
                                                    std::uint64_t aVersion)
{
  PartialJob& partial = m_partial[aJob];
  if (aVersion > partial.m_version) {
    partial = PartialJob();
    partial.m_version = aVersion;
  }
  return aVersion == partial.m_version ? &partial : nullptr;
}

JobRowResult JobRowReader::ReadPart(const JobId& aJob,
                                    const std::string& aNumber,
                                    const Row& aRow)
{
  JobRowResult result;
  result.m_job = aJob;
  const auto number = ParsePartNumber(aNumber);
  proto::JobRowPart part;
  if (!number || !part.ParseFromString(aRow.m_value)) {
    return result;
  }
  PartialJob* partial = FindPartial(aJob, aRow.m_version);
  if (partial == nullptr) {
    result.m_status = JobRowResult::Status::kIncomplete;
    return result;
  }
  partial->m_parts[*number] = part.data();
  return Assemble(aJob, aRow.m_version);
}

JobRowResult JobRowReader::Assemble(const JobId& aJob, std::uint64_t aVersion)
{
  JobRowResult result;
  result.m_job = aJob;
  result.m_status = JobRowResult::Status::kIncomplete;
  const PartialJob& partial = m_partial[aJob];
  if (partial.m_partCount == 0 ||
      partial.m_parts.size() < partial.m_partCount) {
    return result;
  }
  std::string whole;
  for (const auto& [number, data] : partial.m_parts) {
    whole += data;
  }
  result.m_parts = partial.m_partCount;
  m_partial.erase(aJob);
  auto stored = DecodeJob(whole);
  result.m_status =
    stored ? JobRowResult::Status::kComplete : JobRowResult::Status::kMalformed;
  if (stored) {
    result.m_stored = std::move(*stored);
    result.m_stored.m_version = aVersion;
  }
  return result;
}

} // namespace lycheestep
