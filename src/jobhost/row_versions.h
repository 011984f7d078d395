#ifndef LYCHEESTEP_ROW_VERSIONS_H
#define LYCHEESTEP_ROW_VERSIONS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lycheestep/row_store.h"

namespace lycheestep {

// One page of a read: the rows of a partition from m_first up to, but without,
// m_end, as they all were at one moment.
struct RowPage
{
  std::string m_partition;
  std::string m_first;
  // Nothing for the last page of a partition.
  std::optional<std::string> m_end;
  // The store's version at that moment.
  std::uint64_t m_version = 0;
  std::vector<Row> m_rows;
};

// Turns the store's answers about one table into changes: each version of a row
// is reported once, and an older version never after a newer one. The pages of
// a read may be of different moments, and the feed may repeat what a page
// showed. Rows and removals that are known up to some version are told from
// newer ones by that version alone, so nothing has to be kept for a time.
class RowVersions
{
public:
  explicit RowVersions(std::string aTable)
    : m_table(std::move(aTable))
  {
  }

  // Handles a read of the whole table. Returns the rows that differ from what
  // was reported; a row that is gone is marked as removed.
  std::vector<Row> OnRead(std::vector<RowPage> aPages);

  // Handles an answer of the feed that was asked for changes after Position().
  // aVersion is the version from which the feed goes on.
  std::vector<Row> OnFeed(std::vector<Row> aRows, std::uint64_t aVersion);

  // Returns the version up to which all changes were reported.
  std::uint64_t Position() const { return m_position; }

private:
  // The versions of the rows of one partition, by key.
  using Versions = std::map<std::string, std::uint64_t>;

  // Returns the version up to which it is known whether the row exists.
  std::uint64_t KnownUpTo(const RowKey& aKey) const;
  // Returns true if the row was not reported in this or a newer version.
  bool IsNews(const Row& aRow) const;
  // Adds the removals of known rows that the page lacks to aChanges.
  void AddMissing(const RowPage& aPage, std::vector<Row>& aChanges);

  const std::string m_table;
  // The rows that exist, by partition.
  std::map<std::string, Versions> m_rows;
  // The versions of the pages of the last read, by partition and first key,
  // until the feed has passed all of them.
  std::map<std::string, Versions> m_pages;
  std::uint64_t m_newestPage = 0;
  std::uint64_t m_position = 0;
};

} // namespace lycheestep

#endif
