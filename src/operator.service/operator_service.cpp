#include "operator_service.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <utility>

#include "answer_json.h"
#include "gateway_service.h"
#include "lycheestep/control_thread.h"
#include "lycheestep/kernel.h"
#include "lycheestep/process_settings.h"
#include "lycheestep/service_factory.h"
#include "operator_json.h"

namespace lycheestep {

namespace {

const ServiceRegistration kRegistration(
  "operator",
  [](const ProcessSettings& aSettings) {
    return std::make_unique<OperatorService>(aSettings);
  });

// The longest time that an operator's call waits for the reply of the control
// thread. After that the effect of the command is unknown.
constexpr Duration kAnswerTimeout = std::chrono::seconds(20);

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest DigestOf(const std::string& aText)
{
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  return digest;
}

// Compares the SHA-256 digests of two secrets in constant time. The digests
// have the same length whatever the lengths of the secrets, so the time of the
// comparison shows neither where the secrets differ nor whether their lengths
// do.
bool IsSameSecret(const std::string& aLeft, const std::string& aRight)
{
  const Digest left = DigestOf(aLeft);
  const Digest right = DigestOf(aRight);
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

OperatorVerb WorkVerbOf(const std::string& aName)
{
  if (aName == "start") {
    return OperatorVerb::kStart;
  }
  if (aName == "stop") {
    return OperatorVerb::kStop;
  }
  return aName == "drain" ? OperatorVerb::kDrain : OperatorVerb::kAnnounce;
}

} // namespace

OperatorService::OperatorService(const ProcessSettings& aSettings)
  : m_settings(aSettings)
{
}

std::error_code OperatorService::Start(Kernel& aKernel)
{
  m_gateway = aKernel.Find<GatewayService>("gateway");
  m_control = aKernel.Find<ControlThread>("control");
  if (!m_gateway || !m_control) {
    return std::make_error_code(std::errc::not_connected);
  }
  AddRoute(HttpMethod::kGet, "/v1/catalogue", &OperatorService::Show);
  AddRoute(HttpMethod::kPut, "/v1/catalogue", &OperatorService::Apply);
  AddRoute(
    HttpMethod::kGet, "/v1/catalogue/history", &OperatorService::History);
  AddRoute(HttpMethod::kPost,
           "/v1/work/([^/]+)/(start|stop|drain|announce)",
           &OperatorService::ChangeWork);
  AddRoute(HttpMethod::kGet, "/v1/status", &OperatorService::Status);
  AddRoute(HttpMethod::kGet, "/v1/explain/([^/]+)", &OperatorService::Explain);
  return {};
}

void OperatorService::AddRoute(HttpMethod aMethod,
                               const std::string& aPattern,
                               Handler aDo)
{
  m_gateway->AddRoute(aMethod, aPattern, [this, aDo](const HttpCall& aCall) {
    if (!IsAuthorized(aCall)) {
      return RefuseHttp(SchedulerError::kUnauthorized,
                        "send the operator token as Authorization: Bearer");
    }
    return (this->*aDo)(aCall);
  });
}

bool OperatorService::IsAuthorized(const HttpCall& aCall) const
{
  return !m_settings.m_operatorToken.empty() &&
         IsSameSecret(aCall.m_bearerToken, m_settings.m_operatorToken);
}

HttpAnswer OperatorService::Show(const HttpCall& /*aCall*/)
{
  OperatorCommand command;
  command.m_verb = OperatorVerb::kShow;
  return Ask(std::move(command));
}

HttpAnswer OperatorService::Apply(const HttpCall& aCall)
{
  CommandCall call = ReadApplyCall(aCall.m_body);
  return call.m_detail.empty() ? Ask(std::move(call.m_command)) : ToHttp(call);
}

HttpAnswer OperatorService::History(const HttpCall& /*aCall*/)
{
  OperatorCommand command;
  command.m_verb = OperatorVerb::kHistory;
  return Ask(std::move(command));
}

HttpAnswer OperatorService::ChangeWork(const HttpCall& aCall)
{
  const OperatorVerb verb = WorkVerbOf(aCall.m_names[1]);
  CommandCall call = ReadWorkCall(verb, aCall.m_names[0], aCall.m_body);
  return call.m_detail.empty() ? Ask(std::move(call.m_command)) : ToHttp(call);
}

HttpAnswer OperatorService::Status(const HttpCall& /*aCall*/)
{
  OperatorCommand command;
  command.m_verb = OperatorVerb::kStatus;
  return Ask(std::move(command));
}

HttpAnswer OperatorService::Explain(const HttpCall& aCall)
{
  const std::string& name = aCall.m_names.front();
  const auto reply = Await([&name](CallerTicket aTicket) {
    return ExplainRequested{ aTicket, RequestId(name) };
  });
  if (!reply) {
    return RefuseHttp(SchedulerError::kNoCapacity,
                      "this host has too much to do");
  }
  return ExplanationToHttp(name, std::get<Explanation>(*reply).m_lines);
}

HttpAnswer OperatorService::Ask(OperatorCommand aCommand)
{
  aCommand.m_askedAt = std::chrono::system_clock::now();
  const auto reply = Await([&aCommand](CallerTicket aTicket) {
    return OperatorAsked{ aTicket, std::move(aCommand) };
  });
  if (reply) {
    return ToHttp(std::get<OperatorReply>(*reply));
  }
  OperatorReply unknown;
  unknown.m_unknown = true;
  unknown.m_detail = "not answered in time; look at the history";
  return ToHttp(unknown);
}

template<class MakeEvent>
std::optional<TicketReply> OperatorService::Await(MakeEvent aMakeEvent)
{
  PendingReplies& replies = m_gateway->Replies();
  const CallerTicket ticket = replies.Open();
  if (ticket == 0) {
    return std::nullopt;
  }
  m_control->Post(aMakeEvent(ticket));
  return replies.Wait(ticket, Clock::now() + kAnswerTimeout);
}

} // namespace lycheestep
