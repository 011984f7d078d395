#ifndef LYCHEESTEP_TABLE_CALLS_H
#define LYCHEESTEP_TABLE_CALLS_H

#include <cstddef>
#include <functional>
#include <unordered_map>

#include "core_context.h"
#include "lycheestep/table.h"

namespace lycheestep {

// Called once with the table's answer.
using TableContinuation = std::function<void(CoreContext&, const TableAnswer&)>;

// Turns table calls into actions and finds the code that goes on when the
// answer comes. Every call is answered exactly once: the platform service
// answers kUnknown or kNotSent when the table does not.
class TableCalls
{
public:
  // Commits a transaction.
  void Transact(CoreContext& aContext,
                TableTransaction aTransaction,
                TableContinuation aContinue);

  // Reads keys and prefixes.
  void Read(CoreContext& aContext,
            TableQuery aQuery,
            TableContinuation aContinue);

  // Hands an answer to its continuation; an answer nobody waits for is
  // dropped.
  void HandleAnswer(CoreContext& aContext,
                    TableTicket aTicket,
                    const TableAnswer& aAnswer);

  // Calls not yet answered.
  std::size_t Outstanding() const { return m_waiting.size(); }

private:
  TableTicket m_nextTicket = 1;
  std::unordered_map<TableTicket, TableContinuation> m_waiting;
};

} // namespace lycheestep

#endif
