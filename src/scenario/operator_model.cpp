#include "operator_model.h"

#include <algorithm>
#include <utility>

namespace lycheestep {

namespace {

constexpr Duration kWatchPeriod = std::chrono::seconds(1);
constexpr const char* kFirstLabel = "first-catalogue";

} // namespace

OperatorModel::OperatorModel(CellAccess& aCell)
  : m_cell(aCell)
{
}

bool OperatorModel::Ask(const std::string& aLabel,
                        const OperatorCommand& aCommand,
                        VirtualHost& aHost)
{
  if (!aHost.IsAlive()) {
    return false;
  }
  Send(aLabel, aCommand, aHost);
  return true;
}

CallerTicket OperatorModel::Send(const std::string& aLabel,
                                 const OperatorCommand& aCommand,
                                 VirtualHost& aHost)
{
  const CallerTicket ticket = m_nextTicket++;
  if (!aLabel.empty()) {
    OperatorCall call;
    call.m_label = aLabel;
    call.m_verb = aCommand.m_verb;
    call.m_kind = aCommand.m_kind;
    call.m_entry = aHost.Name();
    call.m_incarnation = aHost.Incarnation();
    call.m_sent = m_cell.Time().Now();
    m_byTicket.emplace(ticket, m_calls.size());
    m_calls.push_back(std::move(call));
  }
  m_cell.SendToHost(aHost, OperatorAsked{ ticket, aCommand });
  return ticket;
}

void OperatorModel::ApplyFirst(std::shared_ptr<const Catalogue> aCatalogue)
{
  m_first = std::move(aCatalogue);
  const bool accepted =
    std::any_of(m_calls.begin(), m_calls.end(), [](const OperatorCall& aCall) {
      return aCall.m_label == kFirstLabel && aCall.m_reply &&
             !aCall.m_reply->m_error && !aCall.m_reply->m_unknown;
    });
  if (accepted) {
    return;
  }
  auto& hosts = m_cell.Hosts();
  OperatorCommand apply;
  apply.m_verb = OperatorVerb::kApply;
  apply.m_operator = "setup";
  apply.m_message = "first catalogue";
  apply.m_catalogue = m_first;
  Ask(kFirstLabel, apply, *hosts[m_turn++ % hosts.size()]);
  m_cell.Time().After(kWatchPeriod, [this] { ApplyFirst(m_first); });
}

void OperatorModel::WatchVersions()
{
  OperatorCommand status;
  status.m_verb = OperatorVerb::kStatus;
  status.m_operator = "monitoring";
  for (auto& host : m_cell.Hosts()) {
    if (host->IsAlive()) {
      m_watching.emplace(Send("", status, *host), host->Name());
    }
  }
  m_cell.Time().After(kWatchPeriod, [this] { WatchVersions(); });
}

bool OperatorModel::NewerInReach(const VirtualHost& aHost,
                                 std::uint64_t aVersion) const
{
  for (const auto& other : m_cell.Hosts()) {
    const auto seen = m_latest.find(other->Name());
    const bool knows = seen != m_latest.end() && other->IsRunning() &&
                       seen->second.m_incarnation == other->Incarnation() &&
                       seen->second.m_version > aVersion;
    if (knows && !m_cell.Network().IsCut(aHost.At(), other->At())) {
      return true;
    }
  }
  return false;
}

void OperatorModel::Answered(const VirtualHost& aHost,
                             const AnswerOperator& aAnswer)
{
  auto watch = m_watching.find(aAnswer.m_ticket);
  if (watch != m_watching.end()) {
    const std::uint64_t version = aAnswer.m_reply.m_version;
    m_sights.push_back({ aHost.Name(),
                         m_cell.Time().Now(),
                         version,
                         aHost.Incarnation(),
                         NewerInReach(aHost, version) });
    m_latest[aHost.Name()] = m_sights.back();
    m_watching.erase(watch);
    return;
  }
  auto found = m_byTicket.find(aAnswer.m_ticket);
  if (found == m_byTicket.end()) {
    return;
  }
  OperatorCall& call = m_calls[found->second];
  ++call.m_answers;
  if (!call.m_reply) {
    call.m_reply = aAnswer.m_reply;
    call.m_answeredAt = m_cell.Time().Now();
    m_cell.Trace(
      "operator's " + call.m_label + " answered by " + aHost.Name().Text() +
      ": " +
      (call.m_reply->m_error ? call.m_reply->m_error.message()
                             : std::string("done")) +
      (call.m_reply->m_detail.empty() ? "" : ", " + call.m_reply->m_detail));
  }
}

} // namespace lycheestep
