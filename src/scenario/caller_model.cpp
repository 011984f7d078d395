#include "caller_model.h"

#include <algorithm>
#include <utility>

namespace lycheestep {

namespace {

// Time until a caller without any host tries again.
constexpr Duration kNoHostPause = std::chrono::seconds(1);
// A caller hangs up when it has heard nothing for this long.
constexpr Duration kPatience = std::chrono::seconds(40);

} // namespace

CallerModel::CallerModel(CellAccess& aCell,
                         const Catalogue& aCatalogue,
                         Duration aAskPeriod)
  : m_cell(aCell)
  , m_catalogue(aCatalogue)
  , m_askPeriod(aAskPeriod)
{
}

void CallerModel::Submit(const KindName& aKind,
                         const DataCentreName& aDataCentre)
{
  CallerRequest request;
  request.m_id =
    RequestId(aKind.Text() + "-" + std::to_string(m_requests.size() + 1));
  request.m_kind = aKind;
  request.m_dataCentre = aDataCentre;
  request.m_sent = m_cell.Time().Now();
  if (const WorkKind* kind = m_catalogue.FindKind(aKind)) {
    request.m_durable = kind->m_durable || !kind->m_repeatable ||
                        kind->m_form == WorkForm::kGang ||
                        kind->m_form == WorkForm::kService;
  }
  for (const Customer& customer : m_catalogue.m_customers) {
    const auto& kinds = customer.m_kinds;
    if (std::find(kinds.begin(), kinds.end(), aKind) != kinds.end()) {
      request.m_customer = customer.m_name;
      break;
    }
  }
  m_requests.push_back(std::move(request));
  Call(m_requests.size() - 1, CallSort::kSubmit);
}

void CallerModel::Cancel(const KindName& aKind, std::size_t aCount)
{
  std::size_t left = aCount;
  for (std::size_t i = 0; i < m_requests.size() && left > 0; ++i) {
    CallerRequest& request = m_requests[i];
    if (request.m_kind != aKind || request.m_final || request.m_gaveUp ||
        request.m_cancelAsked) {
      continue;
    }
    request.m_cancelAsked = true;
    --left;
    Call(i, CallSort::kCancel);
  }
}

VirtualHost* CallerModel::ChooseHost(const DataCentreName& aDataCentre)
{
  auto& hosts = m_cell.Hosts();
  std::vector<VirtualHost*> near;
  std::vector<VirtualHost*> all;
  for (auto& host : hosts) {
    if (!LooksAlive(*host)) {
      continue;
    }
    all.push_back(host.get());
    if (host->Settings().m_dataCentre == aDataCentre) {
      near.push_back(host.get());
    }
  }
  const std::vector<VirtualHost*>& from = near.empty() ? all : near;
  return from.empty() ? nullptr : from[m_turn++ % from.size()];
}

bool CallerModel::LooksAlive(const VirtualHost& aHost)
{
  // The balancer does not notice that a process is paused.
  return aHost.IsAlive() && !aHost.IsStopping() && aHost.Core().IsReady();
}

void CallerModel::Call(std::size_t aRequest, CallSort aSort)
{
  CallerRequest& request = m_requests[aRequest];
  VirtualHost* host = ChooseHost(request.m_dataCentre);
  if (host == nullptr) {
    ++request.m_noHost;
    m_cell.Time().After(kNoHostPause,
                        [this, aRequest, aSort] { Call(aRequest, aSort); });
    return;
  }
  const CallerTicket ticket = m_nextTicket++;
  CallRecord call;
  call.m_sort = aSort;
  call.m_request = aRequest;
  call.m_entry = host->Name();
  call.m_incarnation = host->Incarnation();
  call.m_sent = m_cell.Time().Now();
  request.m_calling = true;
  m_cell.SendToHost(*host, EventFor(ticket, call));
  request.m_sentBefore = true;
  m_open[host->Name()].push_back(ticket);
  m_calls.emplace(ticket, std::move(call));
  m_cell.Time().After(kPatience, [this, ticket, host] {
    CallRecord& open = m_calls.at(ticket);
    if (open.m_answers.empty() && !open.m_over) {
      m_cell.SendToHost(*host, CallerLeft{ ticket });
      LoseCall(open);
    }
  });
}

Event CallerModel::EventFor(CallerTicket aTicket, const CallRecord& aCall) const
{
  const CallerRequest& request = m_requests[aCall.m_request];
  if (aCall.m_sort == CallSort::kResult) {
    return ResultRequested{ aTicket, request.m_id };
  }
  if (aCall.m_sort == CallSort::kCancel) {
    return CancelRequested{ aTicket, request.m_id };
  }
  RequestSubmitted submitted;
  submitted.m_ticket = aTicket;
  submitted.m_request.m_id = request.m_id;
  submitted.m_request.m_kind = request.m_kind;
  submitted.m_request.m_customer = request.m_customer;
  submitted.m_request.m_firstTry = !request.m_sentBefore;
  submitted.m_request.m_body = "order " + request.m_id.Text();
  return submitted;
}

void CallerModel::Answered(const VirtualHost& aHost,
                           const AnswerCaller& aAnswer)
{
  auto found = m_calls.find(aAnswer.m_ticket);
  if (found == m_calls.end() || found->second.m_entry != aHost.Name()) {
    ++m_strayAnswers;
    return;
  }
  CallRecord& call = found->second;
  call.m_answers.push_back(aAnswer.m_answer);
  call.m_heard += call.m_over ? 0 : 1;
  if (call.m_over || call.m_answers.size() > 1) {
    return;
  }
  auto& open = m_open[aHost.Name()];
  open.erase(std::remove(open.begin(), open.end(), aAnswer.m_ticket),
             open.end());
  CallerRequest& request = m_requests[call.m_request];
  request.m_calling = false;
  const Answer& answer = aAnswer.m_answer;
  if (answer.m_pending ||
      (answer.m_outcome == Outcome::kUnknown && !answer.m_notFound)) {
    request.m_acknowledged = request.m_acknowledged || answer.m_pending;
    request.m_unknownAnswers += answer.m_pending ? 0 : 1;
    request.m_saidUnknown = !answer.m_pending;
    if (!request.m_final) {
      AskLater(call.m_request);
    }
    return;
  }
  if (answer.m_notFound) {
    request.m_forgotten = request.m_forgotten || request.m_acknowledged;
    if (!request.m_final && !request.m_cancelAsked) {
      AskLater(call.m_request);
    }
    return;
  }
  Settle(request, answer);
}

void CallerModel::Settle(CallerRequest& aRequest, const Answer& aAnswer)
{
  if (aAnswer.m_outcome == Outcome::kNotRun) {
    aRequest.m_saidNotRun = true;
  }
  if (!aRequest.m_final) {
    aRequest.m_final = aAnswer;
    aRequest.m_finalAt = m_cell.Time().Now();
  }
}

void CallerModel::AskLater(std::size_t aRequest)
{
  m_cell.Time().After(m_askPeriod, [this, aRequest] { AskAgain(aRequest); });
}

void CallerModel::AskAgain(std::size_t aRequest)
{
  const CallerRequest& request = m_requests[aRequest];
  if (request.m_final || request.m_calling) {
    return;
  }
  const bool known = request.m_acknowledged || request.m_unknownAnswers > 0;
  Call(aRequest, known ? CallSort::kResult : CallSort::kSubmit);
}

void CallerModel::HostGone(const VirtualHost& aHost)
{
  const std::vector<CallerTicket> open =
    std::exchange(m_open[aHost.Name()], {});
  for (const CallerTicket ticket : open) {
    CallRecord& call = m_calls.at(ticket);
    if (call.m_answers.empty() && !call.m_over) {
      LoseCall(call);
    }
  }
}

void CallerModel::LoseCall(CallRecord& aCall)
{
  aCall.m_over = true;
  CallerRequest& request = m_requests[aCall.m_request];
  request.m_calling = false;
  if (request.m_final) {
    return;
  }
  if (request.m_durable) {
    AskLater(aCall.m_request);
  } else {
    request.m_gaveUp = true;
  }
}

std::size_t CallerModel::OpenCallsAt(const VirtualHost& aHost) const
{
  auto found = m_open.find(aHost.Name());
  if (found == m_open.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::count_if(
    found->second.begin(), found->second.end(), [this](CallerTicket aTicket) {
      const CallRecord& call = m_calls.at(aTicket);
      return call.m_answers.empty() && !call.m_over;
    }));
}

} // namespace lycheestep
