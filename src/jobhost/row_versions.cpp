#include "row_versions.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <string_view>
#include <utility>

namespace lycheestep {

std::vector<Row> RowVersions::OnRead(std::vector<RowPage> aPages)
{
  std::vector<Row> changes;
  for (RowPage& page : aPages) {
    AddMissing(page, changes);
    for (Row& row : page.m_rows) {
      row.m_key.m_partition = page.m_partition;
      if (IsNews(row)) {
        m_rows[page.m_partition][row.m_key.m_key] = row.m_version;
        changes.push_back(std::move(row));
      }
    }
  }
  std::uint64_t oldest = std::numeric_limits<std::uint64_t>::max();
  m_pages.clear();
  m_newestPage = 0;
  for (const RowPage& page : aPages) {
    m_pages[page.m_partition][page.m_first] = page.m_version;
    oldest = std::min(oldest, page.m_version);
    m_newestPage = std::max(m_newestPage, page.m_version);
  }
  if (!aPages.empty()) {
    m_position = std::max(m_position, oldest);
  }
  return changes;
}

std::vector<Row> RowVersions::OnFeed(std::vector<Row> aRows,
                                     std::uint64_t aVersion)
{
  std::vector<Row> changes;
  for (Row& row : aRows) {
    if (!IsNews(row)) {
      continue;
    }
    Versions& rows = m_rows[row.m_key.m_partition];
    if (!row.m_removed) {
      rows[row.m_key.m_key] = row.m_version;
      changes.push_back(std::move(row));
    } else if (rows.erase(row.m_key.m_key) > 0) {
      changes.push_back(std::move(row));
    }
  }
  m_position = std::max(m_position, aVersion);
  if (m_position >= m_newestPage) {
    m_pages.clear();
  }
  return changes;
}

std::uint64_t RowVersions::KnownUpTo(const RowKey& aKey) const
{
  const auto pages = m_pages.find(aKey.m_partition);
  if (pages == m_pages.end()) {
    return m_position;
  }
  const auto after = pages->second.upper_bound(aKey.m_key);
  return after == pages->second.begin()
           ? m_position
           : std::max(m_position, std::prev(after)->second);
}

bool RowVersions::IsNews(const Row& aRow) const
{
  std::uint64_t known = KnownUpTo(aRow.m_key);
  const auto rows = m_rows.find(aRow.m_key.m_partition);
  if (rows != m_rows.end()) {
    const auto row = rows->second.find(aRow.m_key.m_key);
    known = row != rows->second.end() ? std::max(known, row->second) : known;
  }
  return aRow.m_version > known;
}

void RowVersions::AddMissing(const RowPage& aPage, std::vector<Row>& aChanges)
{
  const auto found = m_rows.find(aPage.m_partition);
  if (found == m_rows.end()) {
    return;
  }
  std::set<std::string_view> present;
  for (const Row& row : aPage.m_rows) {
    present.insert(row.m_key.m_key);
  }
  Versions& rows = found->second;
  auto row = rows.lower_bound(aPage.m_first);
  while (row != rows.end() && (!aPage.m_end || row->first < *aPage.m_end)) {
    const bool gone =
      present.count(row->first) == 0 && row->second <= aPage.m_version;
    if (!gone) {
      ++row;
      continue;
    }
    Row removal;
    removal.m_key.m_table = m_table;
    removal.m_key.m_partition = aPage.m_partition;
    removal.m_key.m_key = row->first;
    removal.m_version = aPage.m_version;
    removal.m_removed = true;
    aChanges.push_back(std::move(removal));
    row = rows.erase(row);
  }
}

} // namespace lycheestep
