// The part of JobCellModel::Term that is about the store and the advisor.
#include "job_cell_term.h"

namespace lycheestep {

void JobCellModel::Term::Step()
{
  if (IsFrozen() || !m_isLoaded) {
    return;
  }
  SetTime();
  // Former leaders are told of no cancellations.
  const bool isNewest = m_cell.m_terms.back().get() == this;
  if (isNewest && !m_cell.m_faults.m_storeDown) {
    m_cancelsAsOf = m_cell.m_now;
  }
  m_scheduler.SetMayStart(MayStart());
  m_scheduler.Tick(m_cell.m_now);
}

bool JobCellModel::Term::MayStart() const
{
  return !m_cell.m_checksCalm || m_cell.m_now < m_cancelsAsOf + kMaxCancelAge;
}

void JobCellModel::Term::SetTime()
{
  m_scheduler.SetTime(m_cell.m_now,
                      kWallStart +
                        std::chrono::duration_cast<WallTime>(m_cell.Now()));
}

void JobCellModel::Term::Tell(Duration aDelay, std::function<void()> aTask)
{
  m_cell.At(aDelay, [this, task = std::move(aTask)] {
    if (m_alive && IsFrozen()) {
      Tell(m_frozenUntil - m_cell.m_now, task);
    } else if (m_alive) {
      SetTime();
      task();
    }
  });
}

void JobCellModel::Term::TellRow(Duration aDelay, std::function<void()> aTask)
{
  Tell(aDelay, [this, task = std::move(aTask)] {
    if (m_isLoaded) {
      task();
    } else {
      m_earlyRows.push_back(task);
    }
  });
}

void JobCellModel::Term::NoteLoaded()
{
  m_isLoaded = true;
  for (const std::function<void()>& row : std::exchange(m_earlyRows, {})) {
    row();
  }
}

void JobCellModel::Term::Commit(std::vector<RowWrite> aWrites,
                                std::vector<RowKey> aRemovals)
{
  m_cell.At(m_cell.Way(),
            [this,
             writes = std::move(aWrites),
             removals = std::move(aRemovals)] { Write(writes, removals); });
}

void JobCellModel::Term::Ask(const AdviceRequest& aRequest, Duration aTurn)
{
  ++m_asking;
  Tell(aTurn + m_cell.Way(), [this, aRequest] {
    --m_asking;
    AdviceAnswer answer;
    answer.m_ticket = aRequest.m_ticket;
    answer.m_answered = true;
    answer.m_validFor = m_cell.m_advisor.m_validFor;
    for (const TargetId& target : aRequest.m_targets) {
      if (m_cell.IsFit(aRequest.m_step, target)) {
        answer.m_good.push_back(AdvisedTarget{ target, "ticket" });
      }
    }
    m_scheduler.OnAdvice(answer, m_cell.m_now);
  });
}

void JobCellModel::Term::Log(const std::string& aEvent,
                             const std::string& aFields)
{
  if (m_cell.m_trace != nullptr) {
    *m_cell.m_trace
      << std::chrono::duration_cast<WallTime>(m_cell.Now()).count() << " "
      << aEvent << " " << aFields << "\n";
  }
}

void JobCellModel::Term::Write(const std::vector<RowWrite>& aWrites,
                               const std::vector<RowKey>& aRemovals)
{
  if (m_cell.m_faults.m_storeDown) {
    m_cell.At(std::chrono::milliseconds(100),
              [this, aWrites, aRemovals] { Write(aWrites, aRemovals); });
    return;
  }
  if (m_cell.m_leaderVersion != m_rowVersion) {
    m_alive = false; // another one leads
    return;
  }
  if (!m_cell.m_table.Apply(aWrites, aRemovals, m_cell.m_version + 1)) {
    m_cell.Break("COMMIT BEYOND THE STORE'S LIMITS");
    Tell(m_cell.Way(), [this] { m_scheduler.OnCommitRejected(m_cell.m_now); });
    return;
  }
  CheckAddressesStored(aWrites);
  NoteEndedJobs(aWrites);
  ++m_cell.m_commits;
  m_cell.m_leaderVersion = ++m_cell.m_version;
  m_rowVersion = m_cell.m_leaderVersion;
  if (EndsAfterCommit()) {
    m_cell.ChangeLeader();
    return;
  }
  Tell(m_cell.Way() + SlowCommitTime(), [this, version = m_rowVersion] {
    m_scheduler.OnCommitted(version, m_cell.Now(), m_cell.m_now);
  });
}

void JobCellModel::Term::NoteEndedJobs(const std::vector<RowWrite>& aWrites)
{
  for (const RowWrite& write : aWrites) {
    if (write.m_key.m_table != kProgressTable) {
      continue;
    }
    const JobId job(write.m_key.m_key);
    const auto progress = DecodeProgress(job, write.m_value);
    const bool over = progress && progress->m_state >= JobState::kDone;
    if (over) {
      m_cell.m_endedAt.try_emplace(job, m_cell.m_now);
    }
    if (progress && progress->m_state == JobState::kDone) {
      m_cell.m_doneAt.try_emplace(job, m_cell.m_now);
      m_cell.CheckShownAsDone(job);
    }
  }
}

bool JobCellModel::Term::EndsAfterCommit()
{
  const double share = m_cell.m_faults.m_leaderEnds;
  return share > 0 && m_cell.Chance(share);
}

Duration JobCellModel::Term::SlowCommitTime()
{
  const Duration longest = m_cell.m_faults.m_slowCommits;
  if (longest == Duration::zero()) {
    return longest;
  }
  std::uniform_int_distribution<Duration::rep> time(0, longest.count());
  return Duration(time(m_cell.m_random));
}

void JobCellModel::Term::CheckAddressesStored(
  const std::vector<RowWrite>& aWrites)
{
  std::vector<Row> rows;
  for (const RowWrite& write : aWrites) {
    if (write.m_key.m_table == kProgressTable) {
      Row row;
      row.m_key = write.m_key;
      row.m_value = write.m_value;
      rows.push_back(row);
    }
  }
  for (const auto& [job, progress] : ReadProgressRows(rows).m_jobs) {
    for (const StoredTask& task : progress.m_tasks) {
      const bool isMissing =
        progress.m_state < JobState::kDone &&
        task.m_task.m_state == TaskState::kDispatched &&
        m_cell.m_table.Find(TargetAddressKey(task.m_task.m_target)) == nullptr;
      if (isMissing) {
        m_cell.Break("DISPATCHED WITHOUT ADDRESS " + TaskText(task.m_name));
      }
    }
  }
}

} // namespace lycheestep
