#ifndef LYCHEESTEP_OPEN_TICKETS_H
#define LYCHEESTEP_OPEN_TICKETS_H

#include <cstddef>
#include <map>
#include <set>

#include "lycheestep/action.h"
#include "lycheestep/event.h"
#include "lycheestep/id.h"
#include "lycheestep/request.h"

namespace lycheestep {

// The tickets that wait for an answer. When the process is about to exit,
// whoever still waits is told that the outcome is unknown here, so that each
// ticket is answered exactly once.
class OpenTickets
{
public:
  // Notes the ticket that an event brings or takes back.
  void Open(const Event& aEvent);

  // Crosses off the tickets that the actions from position aFirst on answer.
  // If the stop is completed among them, adds an answer to every ticket still
  // open before it.
  void Close(ActionList& aActions, std::size_t aFirst);

private:
  void AnswerAll(ActionList& aActions);

  std::map<CallerTicket, RequestId> m_callers;
  std::set<CallerTicket> m_operators;
};

} // namespace lycheestep

#endif
