// The part of JobCellModel that checks promises which bound a time.
#include <algorithm>
#include <chrono>

#include "job_cell_model.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// A cancelled job may start nothing after kCancelTime, and nothing of it may
// run kStopTime after that.
constexpr Duration kCancelTime = std::chrono::seconds(3);
constexpr Duration kStopTime = std::chrono::milliseconds(900);

// A target that drains may be sent nothing after this.
constexpr Duration kDrainTime = std::chrono::seconds(2);

} // namespace

void JobCellModel::CheckStartTime(const JobTargetModel& aTarget,
                                  const RunName& aRun,
                                  TimePoint aNow)
{
  if (m_carriesOutLate) {
    return;
  }
  const auto cancelled = m_cancelledAt.find(aRun.m_task.m_step.m_job);
  if (cancelled != m_cancelledAt.end() &&
      aNow > cancelled->second + kCancelTime) {
    Break("STARTED AFTER ITS CANCEL " + TaskText(aRun.m_task));
  }
  const auto draining = m_drainingSince.find(aTarget.Record().m_target);
  if (draining != m_drainingSince.end() &&
      aNow > draining->second + kDrainTime) {
    Break("STARTED ON A DRAINING TARGET " + TaskText(aRun.m_task));
  }
}

void JobCellModel::CheckCancelledRuns()
{
  const bool harmsOrders = m_faults.m_lostOrders > 0 ||
                           m_faults.m_lateOrders > 0 || m_faults.m_storeDown;
  if (harmsOrders) {
    m_ordersHarmedAt = m_now;
  }
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    for (const auto& [name, run] : m_targets[i]->Running()) {
      const auto cancelled = m_cancelledAt.find(name.m_task.m_step.m_job);
      const bool outlasts = cancelled != m_cancelledAt.end() &&
                            m_now > std::max(cancelled->second, HarmedAt(i)) +
                                      kCancelTime + kStopTime;
      if (outlasts && m_outlasting.insert(name).second) {
        Break("RUNS AFTER ITS CANCEL " + TaskText(name.m_task));
      }
    }
  }
}

TimePoint JobCellModel::HarmedAt(std::size_t aTarget) const
{
  if (m_cut[aTarget]) {
    return m_now;
  }
  const auto harmed = m_targetHarmedAt.find(aTarget);
  return harmed != m_targetHarmedAt.end()
           ? std::max(harmed->second, m_ordersHarmedAt)
           : m_ordersHarmedAt;
}

TargetRecord JobCellModel::ListedRecord(std::size_t aTarget) const
{
  TargetRecord record = m_targets[aTarget]->Record();
  record.m_draining = m_drainingSince.count(record.m_target) > 0;
  return record;
}

} // namespace lycheestep
