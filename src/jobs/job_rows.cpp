#include "job_rows.h"

#include <algorithm>
#include <cctype>
#include <chrono>

#include <xxhash.h>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

constexpr const char* kLeaderKey = "leader";

// The most bytes that JobRowPart adds to the part of a value.
constexpr std::size_t kPartOverheadBytes = 16;

// The largest job, so that its rows fit into one transaction of 1 MB in base64.
constexpr std::size_t kMaxJobBytes = 600000;

std::uint64_t Microseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

Duration FromMicroseconds(std::uint64_t aCount)
{
  return std::chrono::microseconds(aCount);
}

void EncodeStep(const JobStep& aStep, proto::JobStepRow& aRow)
{
  aRow.set_count(aStep.m_count);
  aRow.set_processors(aStep.m_demand.Get(ResourceKind::kProcessors));
  aRow.set_memory(aStep.m_demand.Get(ResourceKind::kMemory));
  aRow.set_accelerators(aStep.m_demand.Get(ResourceKind::kAccelerators));
  aRow.set_estimate_us(Microseconds(aStep.m_estimate));
  for (const std::uint32_t earlier : aStep.m_after) {
    aRow.add_after(earlier);
  }
  aRow.set_checkpointing(aStep.m_checkpointing);
  aRow.set_gang(aStep.m_gang);
  aRow.set_same_rack(aStep.m_sameRack);
  aRow.set_required_label(aStep.m_requiredLabel);
  aRow.set_data_rack(aStep.m_dataRack);
  aRow.set_max_per_target(aStep.m_maxPerTarget);
  aRow.set_speculative(aStep.m_speculative);
  aRow.set_long_running(aStep.m_longRunning);
  aRow.set_image(aStep.m_image);
  aRow.set_response_target_us(Microseconds(aStep.m_responseTarget));
  aRow.set_fills_idle(aStep.m_fillsIdle);
  aRow.set_may_miss(aStep.m_mayMiss);
  aRow.set_has_may_miss(aStep.m_hasMayMiss);
}

JobStep DecodeStep(const proto::JobStepRow& aRow)
{
  JobStep step;
  step.m_count = aRow.count();
  step.m_demand =
    Resources(aRow.processors(), aRow.memory(), aRow.accelerators(), 0, 0);
  step.m_estimate = FromMicroseconds(aRow.estimate_us());
  step.m_after.assign(aRow.after().begin(), aRow.after().end());
  step.m_checkpointing = aRow.checkpointing();
  step.m_gang = aRow.gang();
  step.m_sameRack = aRow.same_rack();
  step.m_requiredLabel = aRow.required_label();
  step.m_dataRack = aRow.data_rack();
  step.m_maxPerTarget = aRow.max_per_target();
  step.m_speculative = aRow.speculative();
  step.m_longRunning = aRow.long_running();
  step.m_image = aRow.image();
  step.m_responseTarget = FromMicroseconds(aRow.response_target_us());
  step.m_fillsIdle = aRow.fills_idle();
  step.m_mayMiss = aRow.may_miss();
  step.m_hasMayMiss = aRow.has_may_miss();
  return step;
}

void EncodeTerms(const QueueConfig& aQueue, proto::QueueTerms& aTerms)
{
  aTerms.set_service(aQueue.m_service.Text());
  aTerms.set_priority(aQueue.m_priority);
  aTerms.set_max_attempts(aQueue.m_maxAttempts);
  aTerms.set_slack_factor(aQueue.m_slackFactor);
  aTerms.set_latency_target_us(Microseconds(aQueue.m_latencyTarget));
  aTerms.set_advice_required(aQueue.m_advice.m_required);
  aTerms.set_advice_per_call_us(Microseconds(aQueue.m_advice.m_perCall));
  aTerms.set_advice_per_target_us(Microseconds(aQueue.m_advice.m_perTarget));
  aTerms.set_ticket_life_us(Microseconds(aQueue.m_advice.m_ticketLife));
}

QueueConfig DecodeTerms(const std::string& aQueue,
                        const proto::QueueTerms& aTerms)
{
  QueueConfig queue;
  queue.m_name = QueueName(aQueue);
  queue.m_service = ServiceName(aTerms.service());
  queue.m_priority = aTerms.priority();
  queue.m_maxAttempts = aTerms.max_attempts();
  queue.m_slackFactor = aTerms.slack_factor();
  queue.m_latencyTarget = FromMicroseconds(aTerms.latency_target_us());
  queue.m_advice.m_required = aTerms.advice_required();
  queue.m_advice.m_perCall = FromMicroseconds(aTerms.advice_per_call_us());
  queue.m_advice.m_perTarget = FromMicroseconds(aTerms.advice_per_target_us());
  queue.m_advice.m_ticketLife = FromMicroseconds(aTerms.ticket_life_us());
  return queue;
}

// Encodes what the caller wrote.
void EncodeSpec(const JobSpec& aSpec,
                ProgressLayout aLayout,
                proto::JobRow& aRow)
{
  aRow.set_payload(aSpec.m_payload);
  for (const JobStep& step : aSpec.m_steps) {
    EncodeStep(step,
               aLayout == ProgressLayout::kSegments ? *aRow.add_segmented_step()
                                                    : *aRow.add_step());
  }
  aRow.set_occurrences(aSpec.m_occurrences);
  aRow.set_first_due_ms(aSpec.m_firstDue.count());
  aRow.set_interval_ms(aSpec.m_interval.count());
}

std::string PartitionOf(const JobId& aJob)
{
  const std::string& text = aJob.Text();
  return JobPartitionName(XXH32(text.data(), text.size(), 0) %
                          kJobPartitionCount);
}

} // namespace

std::string JobPartitionName(std::size_t aNumber)
{
  return "p" + std::to_string(aNumber);
}

RowKey JobKey(const JobId& aJob)
{
  return RowKey{ kJobTable, PartitionOf(aJob), aJob.Text() };
}

RowKey CancelKey(const JobId& aJob)
{
  return RowKey{ kCancelTable, PartitionOf(aJob), aJob.Text() };
}

RowKey ProgressKey(const JobId& aJob)
{
  return RowKey{ kProgressTable, "", aJob.Text() };
}

RowKey LeaderKey()
{
  return RowKey{ kLeaderTable, "", kLeaderKey };
}

RowKey HostKey(const std::string& aHost)
{
  return RowKey{ kHostTable, "", aHost };
}

std::string EncodeJob(const StoredJob& aJob, ProgressLayout aLayout)
{
  proto::JobRow row;
  row.set_queue(aJob.m_terms.m_name.Text());
  EncodeSpec(aJob.m_spec, aLayout, row);
  row.set_spec_digest(DigestOf(aJob.m_spec));
  EncodeTerms(aJob.m_terms, *row.mutable_terms());
  row.set_accepted_ms(aJob.m_acceptedAt.count());
  return row.SerializeAsString();
}

std::optional<StoredJob> DecodeJob(const std::string& aBytes)
{
  proto::JobRow row;
  if (!row.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  StoredJob job;
  job.m_terms = DecodeTerms(row.queue(), row.terms());
  job.m_acceptedAt = WallTime(row.accepted_ms());
  job.m_spec.m_payload = row.payload();
  for (const proto::JobStepRow& step : row.step()) {
    job.m_spec.m_steps.push_back(DecodeStep(step));
  }
  for (const proto::JobStepRow& step : row.segmented_step()) {
    job.m_spec.m_steps.push_back(DecodeStep(step));
  }
  job.m_spec.m_occurrences = row.occurrences();
  job.m_spec.m_firstDue = WallTime(row.first_due_ms());
  job.m_spec.m_interval = WallTime(row.interval_ms());
  if (!IsWellFormed(job.m_spec)) {
    return std::nullopt;
  }
  return job;
}

std::string EncodeWithdrawal(Duration aStoreClock)
{
  proto::JobRow row;
  const std::int64_t now = ToMilliseconds(aStoreClock);
  row.set_withdrawn_ms(
    static_cast<std::uint64_t>(std::max<std::int64_t>(1, now)));
  return row.SerializeAsString();
}

std::optional<JobRowHeader> DecodeJobHeader(const std::string& aBytes)
{
  proto::JobRow row;
  if (!row.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  JobRowHeader header;
  header.m_withdrawn = row.withdrawn_ms() > 0;
  header.m_withdrawnAt = std::chrono::milliseconds(row.withdrawn_ms());
  header.m_digest = row.spec_digest();
  return header;
}

std::uint64_t DigestOf(const JobSpec& aSpec)
{
  proto::JobRow row;
  EncodeSpec(aSpec, ProgressLayout::kOneRow, row);
  const std::string bytes = row.SerializeAsString();
  return std::max<std::uint64_t>(1, XXH64(bytes.data(), bytes.size(), 0));
}

std::vector<RowWrite> EncodeJobRows(const JobId& aJob,
                                    const StoredJob& aStored,
                                    std::size_t aMaxValueBytes)
{
  const std::string whole = EncodeJob(aStored);
  if (whole.size() <= aMaxValueBytes) {
    return { RowWrite{ JobKey(aJob), whole } };
  }
  const std::size_t partBytes = aMaxValueBytes - kPartOverheadBytes;
  const std::size_t parts = (whole.size() + partBytes - 1) / partBytes;
  if (parts + 1 > kMaxJobRows || whole.size() > kMaxJobBytes) {
    return {};
  }
  proto::JobRow first;
  first.set_part_count(static_cast<std::uint32_t>(parts));
  first.set_spec_digest(DigestOf(aStored.m_spec));
  std::vector<RowWrite> rows{ RowWrite{ JobKey(aJob),
                                        first.SerializeAsString() } };
  for (std::size_t i = 0; i < parts; ++i) {
    proto::JobRowPart part;
    part.set_data(whole.substr(i * partBytes, partBytes));
    rows.push_back(
      RowWrite{ JobPartKey(aJob, static_cast<std::uint32_t>(i + 1)),
                part.SerializeAsString() });
  }
  return rows;
}

RowKey JobPartKey(const JobId& aJob, std::uint32_t aPart)
{
  RowKey key = JobKey(aJob);
  key.m_key += kKeySeparator + std::to_string(aPart);
  return key;
}

bool IsValidJobId(const std::string& aText)
{
  const auto isAllowed = [](char aByte) {
    return std::isalnum(static_cast<unsigned char>(aByte)) != 0 ||
           aByte == '-' || aByte == '_' || aByte == '.';
  };
  return !aText.empty() && aText.size() <= kMaxJobIdBytes &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

} // namespace lycheestep
