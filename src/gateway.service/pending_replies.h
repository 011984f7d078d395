#ifndef LYCHEESTEP_PENDING_REPLIES_H
#define LYCHEESTEP_PENDING_REPLIES_H

#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "lycheestep/operator_command.h"
#include "lycheestep/request.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The reply to an explain call: the lines that describe what happened to a
// request. There are no lines if the request was not found.
struct Explanation
{
  std::vector<std::string> m_lines;
};

// The reply to a ticket: to a caller, to an operator or to an explain call.
using TicketReply = std::variant<Answer, OperatorReply, Explanation>;

// Hands each reply of the control thread to the HTTP thread that waits for it.
// The two sides name the call by its ticket. All member functions may be called
// from any thread.
class PendingReplies
{
public:
  // Creates a table in which at most aLimit tickets are open at a time.
  explicit PendingReplies(std::size_t aLimit);

  // Opens a new ticket. Returns zero if aLimit tickets are open already.
  CallerTicket Open();

  // Waits for the reply to aTicket, then closes aTicket. Returns nothing if
  // aUntil is reached or Shutdown() is called before the reply, or if aTicket
  // is not open.
  std::optional<TicketReply> Wait(CallerTicket aTicket, TimePoint aUntil);

  // Closes aTicket without a reply. No thread may be in Wait() for aTicket.
  void Close(CallerTicket aTicket);

  // Passes aReply to the thread that waits for aTicket. Drops aReply if aTicket
  // is not open.
  void Deliver(CallerTicket aTicket, TicketReply aReply);

  // Ends every current and future Wait() at once. A Wait() whose reply has been
  // delivered returns that reply, any other returns nothing.
  void Shutdown();

  // Returns the number of open tickets.
  std::size_t Size() const;

private:
  // An open ticket: the reply, once it was delivered, and the condition that
  // wakes the waiting thread.
  struct Slot
  {
    std::optional<TicketReply> m_reply;
    std::condition_variable m_answered;
  };

  const std::size_t m_limit;
  mutable std::mutex m_mutex;
  CallerTicket m_lastTicket = 0;
  bool m_shutDown = false;
  std::map<CallerTicket, Slot> m_slots;
};

} // namespace lycheestep

#endif
