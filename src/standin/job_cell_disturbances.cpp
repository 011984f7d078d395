// The part of JobCellModel that disturbs leaders, targets and the list of them.
#include <algorithm>
#include <chrono>
#include <utility>

#include "job_cell_model.h"
#include "job_cell_term.h"
#include "model_address.h"

namespace lycheestep {

namespace {

// A target that restarts answers nothing for this long.
constexpr Duration kRestartTime = std::chrono::milliseconds(300);

// How long the list takes to leave out a target that can't be reached, and to
// have it again.
constexpr Duration kUnlistTime = std::chrono::milliseconds(4500);
constexpr Duration kRelistTime = std::chrono::milliseconds(500);

// How long a leader sends orders after it renewed the lead.
constexpr Duration kLeaderValidity = std::chrono::seconds(4);

} // namespace

void JobCellModel::ChangeLeader()
{
  m_terms.back()->Die();
  m_leaderVersion = ++m_version;
  StartTerm();
}

void JobCellModel::FreezeLeader(Duration aTime)
{
  m_leadHarmedAt = std::max(m_leadHarmedAt, m_now + aTime);
  m_terms.back()->Freeze(m_now + aTime);
}

void JobCellModel::OvertakeLeader(Duration aTime)
{
  Term& former = *m_terms.back();
  former.Freeze(m_now + aTime);
  At(kLeaderValidity, [&former] { former.Die(); });
  m_formerOrdersUntil = m_now + kLeaderValidity;
  m_leaderVersion = ++m_version;
  StartTerm();
}

void JobCellModel::LoseLeader(Duration aTime)
{
  m_terms.back()->Die();
  At(aTime, [this] {
    m_leaderVersion = ++m_version;
    StartTerm();
  });
}

bool JobCellModel::IsListed(std::size_t aTarget) const
{
  return !m_cut[aTarget] && !m_hidden[aTarget];
}

void JobCellModel::TellListed(std::size_t aTarget, Duration aDelay)
{
  Term& term = *m_terms.back();
  TargetRecord record = ListedRecord(aTarget);
  term.TellRow(aDelay, [this, &term, aTarget, record]() mutable {
    if (!m_hidden[aTarget]) {
      // The leader read of the draining before, and a list takes nothing back.
      record.m_draining = ListedRecord(aTarget).m_draining;
      term.Scheduler().OnTargetRecord(record, m_now);
    }
  });
}

void JobCellModel::TellUnlisted(std::size_t aTarget, Duration aDelay)
{
  Term& term = *m_terms.back();
  term.TellRow(aDelay, [this, &term, aTarget] {
    if (!IsListed(aTarget)) {
      term.Scheduler().OnTargetGone(m_targets[aTarget]->Record().m_target,
                                    m_now);
    }
  });
}

void JobCellModel::RestartTarget(std::size_t aTarget, Duration aSetBack)
{
  JobTargetModel& target = *m_targets[aTarget];
  CheckEnds();
  target.Restart(
    m_now, kWallStart + std::chrono::duration_cast<WallTime>(Now() - aSetBack));
  m_downUntil[aTarget] = m_now + kRestartTime;
  m_targetHarmedAt[aTarget] = m_downUntil[aTarget];
  m_drainingSince.erase(target.Record().m_target);
  m_read.erase(aTarget);
  m_seen.erase(aTarget);
  TellListed(aTarget, kRestartTime + m_faults.m_slowList);
}

void JobCellModel::CutTarget(std::size_t aTarget, bool aCut)
{
  m_cut[aTarget] = aCut;
  m_targetHarmedAt[aTarget] = m_now;
  if (aCut) {
    TellUnlisted(aTarget, kUnlistTime);
  } else {
    TellListed(aTarget, kRelistTime + m_faults.m_slowList);
  }
}

void JobCellModel::HideTargetRow(std::size_t aTarget, bool aHidden)
{
  m_hidden[aTarget] = aHidden;
  if (aHidden) {
    TellUnlisted(aTarget, Way());
  } else if (!m_cut[aTarget]) {
    TellListed(aTarget, Way());
  }
}

void JobCellModel::MisplaceTargetRow(std::size_t aTarget, bool aMisplaced)
{
  m_misplaced[aTarget] = aMisplaced;
  TellListed(aTarget, Way());
}

void JobCellModel::SetStopTime(Duration aTime)
{
  for (const auto& target : m_targets) {
    target->SetStopTime(aTime);
  }
}

void JobCellModel::DrainTarget(std::size_t aTarget)
{
  m_drainingSince.try_emplace(m_targets[aTarget]->Record().m_target, m_now);
  TellListed(aTarget, Way());
}

void JobCellModel::MuteTarget(std::size_t aTarget, bool aMute)
{
  m_mute[aTarget] = aMute;
  m_targetHarmedAt[aTarget] = m_now;
}

void JobCellModel::AddFalseSuccessor(std::size_t aTarget, bool aListed)
{
  TargetRecord record = m_targets[aTarget]->Record();
  record.m_target = TargetId("false-" + record.m_target.Text());
  record.m_address = ModelAddress(kUnusedAddress);
  record.m_started = kWallStart + std::chrono::duration_cast<WallTime>(Now());
  Term& term = *m_terms.back();
  if (aListed) {
    m_falseEntries[record.m_target] = record;
    term.TellRow(Way(), [this, &term, record] {
      term.Scheduler().OnTargetRecord(record, m_now);
    });
  } else if (m_falseEntries.erase(record.m_target) > 0) {
    term.TellRow(Way(), [this, &term, id = record.m_target] {
      term.Scheduler().OnTargetGone(id, m_now);
    });
  }
}

std::size_t JobCellModel::AddSuccessor(std::size_t aTarget)
{
  const std::size_t index = m_targets.size();
  TargetRecord record = m_targets[aTarget]->Record();
  record.m_target = TargetId("target-" + std::to_string(index));
  record.m_address = ModelAddress(index);
  record.m_started = kWallStart + std::chrono::duration_cast<WallTime>(Now());
  AddTarget(record);
  TellListed(index, Way());
  return index;
}

} // namespace lycheestep
