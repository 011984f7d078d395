#include "changed_rows.h"

namespace lycheestep {

void ChangedRows::Add(const JobRowName& aRow)
{
  if (Has(aRow)) {
    return;
  }
  Insert(aRow, Place{ m_nextSequence, m_nextSequence });
  ++m_nextSequence;
}

void ChangedRows::Insert(const JobRowName& aRow, const Place& aPlace)
{
  const auto [rows, isNew] = m_jobs.try_emplace(aRow.m_job);
  const auto waiting = m_waiting.find(aRow);
  if (waiting != m_waiting.end()) {
    if (!(aPlace < waiting->second)) {
      return;
    }
    m_places.erase(waiting->second);
    rows->second.erase(waiting->second);
  }
  m_waiting[aRow] = aPlace;
  m_places.insert(aPlace);
  rows->second.emplace(aPlace, aRow);
  if (isNew) {
    m_turns.push_back(aRow.m_job);
  }
}

const JobRowName& ChangedRows::Next() const
{
  return m_jobs.at(m_turns.front()).begin()->second;
}

ChangedRows::Taken ChangedRows::Take()
{
  const JobId job = m_turns.front();
  m_turns.pop_front();
  const auto rows = m_jobs.find(job);
  const auto first = rows->second.begin();
  Taken taken{ first->second, first->first };
  rows->second.erase(first);
  m_waiting.erase(taken.m_row);
  m_places.erase(taken.m_place);
  if (rows->second.empty()) {
    m_jobs.erase(rows);
  } else {
    m_turns.push_back(job);
  }
  return taken;
}

void ChangedRows::PutBack(const std::vector<Taken>& aRows)
{
  for (const Taken& row : aRows) {
    // A row that changed again meanwhile waits at a later place already. It
    // moves to the earlier one, as the changes of its first place are in it.
    Insert(row.m_row, row.m_place);
  }
}

void ChangedRows::Replace(const Taken& aTaken,
                          const std::vector<JobRowName>& aRows)
{
  for (const JobRowName& row : aRows) {
    Insert(row, Place{ aTaken.m_place.m_change, m_nextSequence });
    ++m_nextSequence;
  }
}

bool ChangedRows::AnyBefore(std::uint64_t aSequence) const
{
  return !m_places.empty() && m_places.begin()->m_change < aSequence;
}

} // namespace lycheestep
