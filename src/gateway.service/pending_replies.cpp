#include "pending_replies.h"

#include <utility>

namespace lycheestep {

PendingReplies::PendingReplies(std::size_t aLimit)
  : m_limit(aLimit)
{
}

CallerTicket PendingReplies::Open()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_slots.size() >= m_limit) {
    return 0;
  }
  ++m_lastTicket;
  m_slots.try_emplace(m_lastTicket);
  return m_lastTicket;
}

std::optional<TicketReply> PendingReplies::Wait(CallerTicket aTicket,
                                                TimePoint aUntil)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  const auto found = m_slots.find(aTicket);
  if (found == m_slots.end()) {
    return std::nullopt;
  }
  Slot& slot = found->second;
  slot.m_answered.wait_until(lock, aUntil, [this, &slot] {
    return m_shutDown || slot.m_reply.has_value();
  });
  std::optional<TicketReply> reply = std::move(slot.m_reply);
  m_slots.erase(aTicket);
  return reply;
}

void PendingReplies::Close(CallerTicket aTicket)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_slots.erase(aTicket);
}

void PendingReplies::Deliver(CallerTicket aTicket, TicketReply aReply)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_slots.find(aTicket);
  if (found == m_slots.end()) {
    return;
  }
  found->second.m_reply = std::move(aReply);
  found->second.m_answered.notify_one();
}

void PendingReplies::Shutdown()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_shutDown = true;
  for (auto& [ticket, slot] : m_slots) {
    slot.m_answered.notify_all();
  }
}

std::size_t PendingReplies::Size() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_slots.size();
}

} // namespace lycheestep
