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

// The lines that explain a request.
struct Explanation
{
  std::vector<std::string> m_lines;
};

// Whatever a ticket can be answered with.
using TicketReply = std::variant<Answer, OperatorReply, Explanation>;

// Matches answers to the traffic threads that wait for them. Safe from any
// thread.
class PendingReplies
{
public:
  // At most aLimit tickets are open at once.
  explicit PendingReplies(std::size_t aLimit);

  // A new ticket, or zero when too many are open.
  CallerTicket Open();

  // Waits for the ticket's answer and closes the ticket. Nothing when aUntil
  // is reached first.
  std::optional<TicketReply> Wait(CallerTicket aTicket, TimePoint aUntil);

  // Closes a ticket that nobody will wait for.
  void Close(CallerTicket aTicket);

  // Answers a ticket; nothing happens when it is not open.
  void Deliver(CallerTicket aTicket, TicketReply aReply);

  // Wakes everybody who waits, with what there is.
  void Shutdown();

  // Tickets that are open.
  std::size_t Size() const;

private:
  // One caller that waits.
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
