#include "open_tickets.h"

#include <utility>
#include <variant>

namespace lycheestep {

void OpenTickets::Open(const Event& aEvent)
{
  if (const auto* submitted = std::get_if<RequestSubmitted>(&aEvent)) {
    m_callers.emplace(submitted->m_ticket, submitted->m_request.m_id);
  } else if (const auto* asked = std::get_if<ResultRequested>(&aEvent)) {
    m_callers.emplace(asked->m_ticket, asked->m_request);
  } else if (const auto* cancel = std::get_if<CancelRequested>(&aEvent)) {
    m_callers.emplace(cancel->m_ticket, cancel->m_request);
  } else if (const auto* left = std::get_if<CallerLeft>(&aEvent)) {
    m_callers.erase(left->m_ticket);
  } else if (const auto* command = std::get_if<OperatorAsked>(&aEvent)) {
    m_operators.insert(command->m_ticket);
  }
}

void OpenTickets::Close(ActionList& aActions, std::size_t aFirst)
{
  bool completed = false;
  for (std::size_t i = aFirst; i < aActions.size(); ++i) {
    if (const auto* answer = std::get_if<AnswerCaller>(&aActions[i])) {
      m_callers.erase(answer->m_ticket);
    } else if (const auto* reply = std::get_if<AnswerOperator>(&aActions[i])) {
      m_operators.erase(reply->m_ticket);
    }
    completed = completed || std::holds_alternative<StopCompleted>(aActions[i]);
  }
  if (completed) {
    AnswerAll(aActions);
  }
}

void OpenTickets::AnswerAll(ActionList& aActions)
{
  for (const auto& [ticket, request] : std::exchange(m_callers, {})) {
    Answer answer;
    answer.m_request = request;
    answer.m_detail = "this entry host stopped; ask another one by id";
    aActions.insert(aActions.begin(), AnswerCaller{ ticket, answer });
  }
  for (CallerTicket ticket : std::exchange(m_operators, {})) {
    OperatorReply reply;
    reply.m_unknown = true;
    reply.m_detail = "this entry host stopped; look at the status";
    aActions.insert(aActions.begin(), AnswerOperator{ ticket, reply });
  }
}

} // namespace lycheestep
