// The part of JobCellModel that lets leaders take over, and tells them what is
// stored and listed.
#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "job_cell_model.h"
#include "job_cell_term.h"

namespace lycheestep {

namespace {

// Leases of a leader that died are over after this.
constexpr Duration kFormerLeases = std::chrono::milliseconds(9400);

// How often a host that wants to lead looks whether the store is back.
constexpr Duration kStoreRetry = std::chrono::milliseconds(100);

} // namespace

void JobCellModel::LeaveLeadVacant(Duration aTime)
{
  m_terms.back()->Die();
  m_isVacant = true;
  const std::uint64_t vacancy = ++m_vacancies;
  At(aTime, [this, vacancy] { EndVacancy(vacancy); });
}

void JobCellModel::EndVacancy(std::uint64_t aVacancy)
{
  if (!m_isVacant || aVacancy != m_vacancies) {
    return;
  }
  if (m_faults.m_storeDown) {
    At(kStoreRetry, [this, aVacancy] { EndVacancy(aVacancy); });
    return;
  }
  m_leaderVersion = ++m_version;
  StartTerm();
}

void JobCellModel::StartTerm()
{
  m_isVacant = false;
  m_leadHarmedAt = std::max(m_leadHarmedAt, m_now);
  m_terms.push_back(std::make_unique<Term>(*this));
  Term& term = *m_terms.back();
  term.SetTime();
  JobScheduler& scheduler = term.Scheduler();
  scheduler.Targets().SetFormerLeaseExpiry(
    std::max(m_now, m_formerOrdersUntil) + kFormerLeases);
  scheduler.OnCommitted(m_leaderVersion, Now(), m_now);
  if (m_faults.m_slowLoad == Duration::zero()) {
    Load(term, m_jobs);
    return;
  }
  LoadLater(term, m_jobs, Draw(m_faults.m_slowLoad));
}

// The rows of jobs are read first. What is stored later follows.
void JobCellModel::LoadLater(Term& aTerm,
                             const std::map<JobId, StoredJob>& aJobs,
                             Duration aDelay)
{
  aTerm.Tell(aDelay, [this, &aTerm, aJobs] {
    if (m_faults.m_storeDown) {
      LoadLater(aTerm, aJobs, kStoreRetry);
    } else {
      Load(aTerm, aJobs);
    }
  });
}

void JobCellModel::Load(Term& aTerm, const std::map<JobId, StoredJob>& aJobs)
{
  JobScheduler& scheduler = aTerm.Scheduler();
  for (const auto& [id, job] : aJobs) {
    scheduler.OnJob(id, job, 0, m_now);
  }
  RestoreStoredRows(aTerm);
  for (const auto& [id, version] : m_cancels) {
    scheduler.OnCancel(id, m_now);
  }
  aTerm.NoteLoaded();
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const auto tell = [this, &scheduler, i] {
      if (IsListed(i)) {
        scheduler.OnTargetRecord(ListedRecord(i), m_now);
      }
    };
    const Duration delay = Draw(m_faults.m_slowFirstList);
    if (delay > Duration::zero()) {
      aTerm.Tell(delay, tell);
    } else {
      tell();
    }
  }
  for (const auto& [id, record] : m_falseEntries) {
    scheduler.OnTargetRecord(record, m_now);
  }
}

void JobCellModel::RestoreStoredRows(Term& aTerm)
{
  for (const Row& row : m_table.Rows(kTargetAddressTable)) {
    const auto address = DecodeTargetAddress(row);
    if (address) {
      aTerm.Scheduler().OnStoredAddress(*address);
    } else {
      aTerm.Scheduler().OnUnreadableAddress(TargetId(row.m_key.m_key));
    }
  }
  const StoredProgressTable table =
    ReadProgressRows(m_table.Rows(kProgressTable));
  for (const auto& [id, progress] : table.m_jobs) {
    aTerm.Scheduler().OnProgress(id, progress, m_now);
  }
}

Duration JobCellModel::Draw(Duration aLongest)
{
  if (aLongest == Duration::zero()) {
    return aLongest;
  }
  std::uniform_int_distribution<Duration::rep> time(0, aLongest.count());
  return Duration(time(m_random));
}

Duration JobCellModel::FeedTime()
{
  const Duration late = Draw(m_faults.m_slowFeed);
  if (late > Duration::zero()) {
    m_feedHarmedAt = std::max(m_feedHarmedAt, m_now + late);
  }
  return Way() + late + Draw(m_faults.m_lostFeeds);
}

void JobCellModel::NoteDisturbances()
{
  if (m_isVacant) {
    m_leadHarmedAt = std::max(m_leadHarmedAt, m_now);
  }
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const bool refusesStops = i % 2 == 1 && m_faults.m_refusedStops > 0;
    if (m_mute[i] || refusesStops) {
      m_targetHarmedAt[i] = std::max(m_targetHarmedAt[i], m_now);
    }
  }
}

} // namespace lycheestep
