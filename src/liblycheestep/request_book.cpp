#include "request_book.h"

namespace lycheestep {

LiveRequest& RequestBook::Open(LiveRequest aRequest)
{
  const RequestId id = aRequest.m_request.m_id;
  return m_live.insert_or_assign(id, std::move(aRequest)).first->second;
}

LiveRequest* RequestBook::Find(const RequestId& aId)
{
  auto found = m_live.find(aId);
  return found == m_live.end() ? nullptr : &found->second;
}

void RequestBook::Close(const RequestId& aId,
                        const Answer& aAnswer,
                        bool aFinal,
                        TimePoint aNow,
                        Duration aRetention)
{
  Drop(aId);
  const bool isNew =
    m_answers.insert_or_assign(aId, KeptAnswer{ aAnswer, aFinal }).second;
  if (isNew) {
    m_order.emplace_back(aNow + aRetention, aId);
  }
  if (m_order.size() > kAnswerLimit) {
    ForgetOldest();
  }
}

void RequestBook::Drop(const RequestId& aId)
{
  auto found = m_live.find(aId);
  if (found == m_live.end()) {
    return;
  }
  for (CallerTicket ticket : found->second.m_waiters) {
    m_waiters.erase(ticket);
  }
  m_live.erase(found);
}

void RequestBook::SetTimer(const RequestId& aId, TimePoint aAt)
{
  m_timers.emplace(aAt, aId);
}

std::vector<RequestId> RequestBook::TakeDue(TimePoint aNow)
{
  std::vector<RequestId> due;
  while (!m_timers.empty() && m_timers.begin()->first <= aNow) {
    due.push_back(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
  }
  return due;
}

TimePoint RequestBook::NextTimer() const
{
  return m_timers.empty() ? TimePoint::max() : m_timers.begin()->first;
}

void RequestBook::NoteWaiter(CallerTicket aTicket, const RequestId& aId)
{
  m_waiters.insert_or_assign(aTicket, aId);
}

RequestId RequestBook::TakeWaiter(CallerTicket aTicket)
{
  auto found = m_waiters.find(aTicket);
  if (found == m_waiters.end()) {
    return RequestId();
  }
  RequestId id = found->second;
  m_waiters.erase(found);
  return id;
}

const Answer* RequestBook::FindAnswer(const RequestId& aId) const
{
  auto found = m_answers.find(aId);
  return found == m_answers.end() ? nullptr : &found->second.m_answer;
}

const Answer* RequestBook::FindFinalAnswer(const RequestId& aId) const
{
  auto found = m_answers.find(aId);
  const bool known = found != m_answers.end() && found->second.m_final;
  return known ? &found->second.m_answer : nullptr;
}

void RequestBook::Expire(TimePoint aNow)
{
  while (!m_order.empty() && m_order.front().first <= aNow) {
    ForgetOldest();
  }
}

void RequestBook::ForgetOldest()
{
  m_answers.erase(m_order.front().second);
  m_order.pop_front();
}

} // namespace lycheestep
