#ifndef LYCHEESTEP_TABLE_H
#define LYCHEESTEP_TABLE_H

#include <cstdint>
#include <string>
#include <vector>

namespace lycheestep {

// Matches a table answer to its call; never reused within a process.
using TableTicket = std::uint64_t;

// One row of the platform's table. The table sets the version: it grows with
// each write of the row. An absent row has version zero.
struct TableRow
{
  std::string m_key;
  std::string m_value;
  std::uint64_t m_version = 0;
};

// The transaction applies only if the row is at this version.
struct TableCondition
{
  std::string m_key;
  std::uint64_t m_version = 0;
};

// Writes a row, or removes it.
struct TableWrite
{
  std::string m_key;
  std::string m_value;
  bool m_remove = false;
};

// All writes apply together, or none does.
struct TableTransaction
{
  std::vector<TableCondition> m_conditions;
  std::vector<TableWrite> m_writes;
};

// Reads single keys and whole prefixes in one call.
struct TableQuery
{
  std::vector<std::string> m_keys;
  std::vector<std::string> m_prefixes;
};

// How a call to the table ended.
enum class TableStatus
{
  kOk,       // committed, or read; m_rows has what was asked for
  kConflict, // a condition failed, nothing was written; m_rows has the
             // conditioned rows as they are
  kNotSent,  // refused before it reached the table: no effect
  kUnknown,  // no answer: a write may have taken effect
};

// The table's answer. After a commit m_rows holds the written keys with their
// new versions and empty values.
struct TableAnswer
{
  TableStatus m_status = TableStatus::kUnknown;
  std::vector<TableRow> m_rows;
};

} // namespace lycheestep

#endif
