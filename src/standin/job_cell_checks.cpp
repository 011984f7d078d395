// The part of JobCellModel that checks promises which bound a time.
#include <algorithm>
#include <chrono>
#include <utility>

#include "job_cell_model.h"
#include "model_address.h"
#include "run_text.h"

namespace lycheestep {

namespace {

// A cancelled job may start nothing after kCancelTime, and nothing of it may
// run kStopTime after that.
constexpr Duration kCancelTime = std::chrono::seconds(3);
constexpr Duration kStopTime = std::chrono::milliseconds(900);

// A disturbance that ended this long ago does not excuse a run.
constexpr Duration kNearTime = std::chrono::seconds(3);

// A job that was shown as done starts nothing after this.
constexpr Duration kDoneTime = std::chrono::seconds(1);

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
  const auto done = m_doneAt.find(aRun.m_task.m_step.m_job);
  if (done != m_doneAt.end() && aNow > done->second + kDoneTime) {
    Break("STARTED AFTER ITS JOB WAS SHOWN AS DONE " + TaskText(aRun.m_task));
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
  if (m_checksCalm) {
    NoteDisturbances();
  }
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    for (const auto& [name, run] : m_targets[i]->Running()) {
      const auto cancelled = m_cancelledAt.find(name.m_task.m_step.m_job);
      const bool outlasts =
        cancelled != m_cancelledAt.end() &&
        m_now > std::max(cancelled->second,
                         m_checksCalm ? DisturbedAt(i) : HarmedAt(i)) +
                  kCancelTime + kStopTime;
      if (outlasts && m_outlasting.insert(name).second) {
        Break("RUNS AFTER ITS CANCEL " + TaskText(name.m_task));
      }
    }
  }
}

void JobCellModel::CheckCalm()
{
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    for (const auto& [name, run] : m_targets[i]->Running()) {
      const auto cancelled = m_cancelledAt.find(name.m_task.m_step.m_job);
      if (cancelled == m_cancelledAt.end()) {
        continue;
      }
      const TimePoint latest =
        std::max(cancelled->second + kCancelTime + kStopTime,
                 DisturbedAt(i) + kNearTime);
      if (m_now > latest && m_outlastingInCalm.insert(name).second) {
        Break("GOES ON IN CALM " + TaskText(name.m_task) + " run " +
              std::to_string(name.m_run) + " on " +
              m_targets[i]->Record().m_target.Text() + " cancelled at " +
              std::to_string(ToMilliseconds(cancelled->second - TimePoint())) +
              " disturbed until " +
              std::to_string(ToMilliseconds(DisturbedAt(i) - TimePoint())));
      }
    }
  }
}

// The loss of the lead is a disturbance only until the next leader has taken
// over; what that one needs to load is no excuse.
TimePoint JobCellModel::DisturbedAt(std::size_t aTarget) const
{
  return std::max({ HarmedAt(aTarget), m_leadHarmedAt, m_feedHarmedAt });
}

void JobCellModel::CheckShownAsDone(const JobId& aJob)
{
  CheckEnds();
  const std::vector<JobStep>& steps = m_jobs.at(aJob).m_spec.m_steps;
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    const auto first =
      m_done.lower_bound(TaskName{ StepName{ aJob, 0, s }, 0 });
    const bool anyDone =
      first != m_done.end() && first->m_step == StepName{ aJob, 0, s };
    const bool done = steps[s].m_gang ? anyDone : IsStepDone(aJob, s);
    if (!done && m_jobs.at(aJob).m_spec.m_occurrences == 0) {
      Break("DONE TOO EARLY " + aJob.Text());
    }
  }
}

bool JobCellModel::IsStepDone(const JobId& aJob, std::uint32_t aStep) const
{
  const JobStep& step = m_jobs.at(aJob).m_spec.m_steps[aStep];
  const StepName name{ aJob, 0, aStep };
  for (std::uint32_t i = 0; i < step.m_count; ++i) {
    if (m_done.count(TaskName{ name, i }) == 0) {
      return false;
    }
  }
  return true;
}

const JobStep* JobCellModel::DueStep(const JobId& aJob,
                                     std::uint32_t* aNumber) const
{
  const std::vector<JobStep>& steps = m_jobs.at(aJob).m_spec.m_steps;
  for (std::uint32_t s = 0; s < steps.size(); ++s) {
    const std::vector<std::uint32_t>& after = steps[s].m_after;
    const bool isDue =
      std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
        return IsStepDone(aJob, aEarlier);
      });
    if (isDue && !IsStepDone(aJob, s)) {
      *aNumber = s;
      return &steps[s];
    }
  }
  return nullptr;
}

std::vector<IdleStep> JobCellModel::IdleSteps() const
{
  std::set<JobId> running;
  for (const auto& target : m_targets) {
    for (const auto& [name, run] : target->Running()) {
      running.insert(name.m_task.m_step.m_job);
    }
  }
  std::vector<IdleStep> idle;
  for (const auto& [id, job] : m_jobs) {
    const bool open = m_endedAt.count(id) == 0 && m_cancels.count(id) == 0 &&
                      running.count(id) == 0 && job.m_spec.m_occurrences == 0;
    std::uint32_t number = 0;
    const JobStep* step = open ? DueStep(id, &number) : nullptr;
    if (step == nullptr) {
      continue;
    }
    idle.push_back(MakeIdleStep(id, number));
  }
  return idle;
}

IdleStep JobCellModel::MakeIdleStep(const JobId& aJob,
                                    std::uint32_t aStep) const
{
  const StoredJob& job = m_jobs.at(aJob);
  IdleStep step;
  step.m_name = StepName{ aJob, 0, aStep };
  step.m_step = &job.m_spec.m_steps[aStep];
  step.m_mayUse = [this, &job, name = step.m_name](const TargetId& aTarget) {
    return !job.m_terms.m_advice.m_required || IsFit(name, aTarget);
  };
  return step;
}

bool JobCellModel::AllRunnableOver() const
{
  std::vector<OpenTarget> empty = OpenTargets();
  for (OpenTarget& target : empty) {
    target.m_used = Resources();
  }
  for (const auto& [id, job] : m_jobs) {
    std::uint32_t number = 0;
    const JobStep* step =
      m_endedAt.count(id) == 0 ? DueStep(id, &number) : nullptr;
    if (step != nullptr &&
        WaitingWorkCheck::Fits(MakeIdleStep(id, number), empty, 1)) {
      return false;
    }
  }
  return true;
}

std::vector<OpenTarget> JobCellModel::OpenTargets() const
{
  std::vector<OpenTarget> open;
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const JobTargetModel& target = *m_targets[i];
    const TargetId& id = target.Record().m_target;
    if (IsListed(i) && m_downUntil[i] <= m_now &&
        m_drainingSince.count(id) == 0) {
      open.push_back(
        OpenTarget{ id, target.Record().m_capacity, target.Used() });
    }
  }
  return open;
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
  if (m_misplaced[aTarget]) {
    record.m_address = ModelAddress(kUnusedAddress);
  }
  return record;
}

} // namespace lycheestep
