#include "table_calls.h"

#include <utility>

namespace lycheestep {

void TableCalls::Transact(CoreContext& aContext,
                          TableTransaction aTransaction,
                          TableContinuation aContinue)
{
  const TableTicket ticket = m_nextTicket++;
  m_waiting.emplace(ticket, std::move(aContinue));
  aContext.m_actions.emplace_back(
    TransactTable{ ticket, std::move(aTransaction) });
}

void TableCalls::Read(CoreContext& aContext,
                      TableQuery aQuery,
                      TableContinuation aContinue)
{
  const TableTicket ticket = m_nextTicket++;
  m_waiting.emplace(ticket, std::move(aContinue));
  aContext.m_actions.emplace_back(ReadTable{ ticket, std::move(aQuery) });
}

void TableCalls::HandleAnswer(CoreContext& aContext,
                              TableTicket aTicket,
                              const TableAnswer& aAnswer)
{
  auto found = m_waiting.find(aTicket);
  if (found == m_waiting.end()) {
    return;
  }
  // The continuation may start further calls, so it is taken out first.
  const TableContinuation next = std::move(found->second);
  m_waiting.erase(found);
  next(aContext, aAnswer);
}

} // namespace lycheestep
