// The part of Leader that reads cancellations of which the hosts that
// acknowledged them tell it.
#include <algorithm>
#include <chrono>
#include <utility>

#include "job_rows.h"
#include "leader.h"
#include "relayed_store.h"
#include "worker_pool.h"

namespace lycheestep {

namespace {

// Timeout of a read of one cancellation.
constexpr Duration kCancellationReadTimeout = std::chrono::milliseconds(600);

} // namespace

std::vector<JobId> Leader::OnCancellationNotice(const std::vector<JobId>& aJobs)
{
  std::vector<JobId> over;
  if (!m_loaded) {
    return over;
  }
  for (const JobId& job : aJobs) {
    switch (m_cancellationChecks.OnNotice(job, m_scheduler.IsOver(job))) {
      case CancellationStep::kConfirm:
        over.push_back(job);
        break;
      case CancellationStep::kRead:
        ReadCancellation(job);
        break;
      case CancellationStep::kWait:
        break;
    }
  }
  return over;
}

void Leader::ReadCancellation(const JobId& aJob)
{
  const RowKey key = CancelKey(aJob);
  RowRange range;
  range.m_table = key.m_table;
  range.m_partition = key.m_partition;
  range.m_first = key.m_key;
  range.m_limit = 1;
  RowStore& store = m_dependencies.m_store;
  const auto post = m_dependencies.m_post;
  // The thread may outlive this leader: it uses copies, and post drops what
  // comes after the end of the term.
  m_dependencies.m_rowReads.Run([this, &store, post, range, aJob] {
    const RowAnswer answer = store.Read(range, kCancellationReadTimeout);
    post([this, aJob, answer] { OnCancellationAnswer(aJob, answer); });
  });
}

void Leader::OnCancellationAnswer(const JobId& aJob, const RowAnswer& aAnswer)
{
  m_cancellationChecks.OnReadEnded(aJob);
  const auto row = std::find_if(
    aAnswer.m_rows.begin(), aAnswer.m_rows.end(), [&aJob](const Row& aRow) {
      return aRow.m_key.m_key == aJob.Text();
    });
  if (aAnswer.m_status != RowStatus::kOk || row == aAnswer.m_rows.end()) {
    LogNotable("cancellation-not-read",
               "job=" + aJob.Text() + " reason=" +
                 (aAnswer.m_status == RowStatus::kOk ? "no-row" : "no-answer"));
    return;
  }
  if (m_scheduler.OnCancelRow(aJob, row->m_version, m_now)) {
    ReportCancellation(*row, CancellationSource::kNotice);
  }
}

} // namespace lycheestep
