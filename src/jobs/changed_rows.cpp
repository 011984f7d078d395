#include "changed_rows.h"

namespace lycheestep {

void ChangedRows::Add(const JobRowName& aRow)
{
  if (m_waiting.count(aRow) > 0) {
    return;
  }
  Insert(Taken{ aRow, m_nextSequence });
  ++m_nextSequence;
}

void ChangedRows::Insert(const Taken& aRow)
{
  m_waiting.insert(aRow.m_row);
  m_sequences.insert(aRow.m_sequence);
  const auto [rows, isNew] = m_jobs.try_emplace(aRow.m_row.m_job);
  rows->second.emplace(aRow.m_sequence, aRow.m_row);
  if (isNew) {
    m_turns.push_back(aRow.m_row.m_job);
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
  m_sequences.erase(taken.m_sequence);
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
    const auto rows = m_jobs.find(row.m_row.m_job);
    if (m_waiting.count(row.m_row) > 0 && rows != m_jobs.end()) {
      for (auto it = rows->second.begin(); it != rows->second.end(); ++it) {
        if (!(it->second < row.m_row) && !(row.m_row < it->second)) {
          m_sequences.erase(it->first);
          rows->second.erase(it);
          break;
        }
      }
    }
    Insert(row);
  }
}

bool ChangedRows::AnyBefore(std::uint64_t aSequence) const
{
  return !m_sequences.empty() && *m_sequences.begin() < aSequence;
}

} // namespace lycheestep
