#include "advice_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lycheestep {

namespace {

// A host that let a call time out gets no calls for this long.
constexpr Duration kQuarantineTime = std::chrono::seconds(2);

// The maximum number of calls in flight per host: the advisor serves one while
// the next one is being sent.
constexpr std::size_t kMaxCallsPerHost = 2;

// A call may be sent this long before its host is expected to be free.
constexpr Duration kSendAhead = std::chrono::milliseconds(15);

// Assumed network time of a call: to the host, on to the advisor, and back.
constexpr Duration kRoundTripTime = std::chrono::milliseconds(8);

// A call times out this long after its reply is expected.
constexpr Duration kMargin = std::chrono::milliseconds(800);

} // namespace

AdviceDispatcher::AdviceDispatcher(Send aSend, AnswerCallback aAnswer)
  : m_send(std::move(aSend))
  , m_answer(std::move(aAnswer))
{
  m_hosts[""] = Host();
}

void AdviceDispatcher::SetHosts(const std::vector<std::string>& aHosts)
{
  std::set<std::string> alive(aHosts.begin(), aHosts.end());
  alive.insert("");
  for (const std::string& host : alive) {
    m_hosts.try_emplace(host);
  }
  for (auto it = m_hosts.begin(); it != m_hosts.end();) {
    it = alive.count(it->first) == 0 ? m_hosts.erase(it) : std::next(it);
  }
}

bool AdviceDispatcher::CanAsk(TimePoint aNow) const
{
  const auto* host = FindFirstFree(aNow);
  return host != nullptr && host->second.m_busyUntil <= aNow + kSendAhead;
}

AdvisorUse AdviceDispatcher::Use(TimePoint aNow) const
{
  AdvisorUse use;
  for (const auto& [name, host] : m_hosts) {
    use.m_hosts += host.m_quarantinedUntil <= aNow ? 1 : 0;
    use.m_busyHosts += host.m_calls > 0 ? 1 : 0;
  }
  use.m_calls = m_calls.size();
  return use;
}

void AdviceDispatcher::Ask(const AdviceRequest& aRequest,
                           Duration aServiceTime,
                           TimePoint aNow)
{
  const auto* first = FindFirstFree(aNow);
  const std::string name = first != nullptr ? first->first : std::string();
  Host& host = m_hosts.at(name);
  host.m_busyUntil =
    std::max(host.m_busyUntil, aNow) + aServiceTime + kRoundTripTime;
  ++host.m_calls;
  const Duration timeout = host.m_busyUntil - aNow + kMargin;
  m_calls[aRequest.m_ticket] = Call{ name, aNow + timeout };
  m_send(name, aRequest, timeout);
}

const std::pair<const std::string, AdviceDispatcher::Host>*
AdviceDispatcher::FindFirstFree(TimePoint aNow) const
{
  const std::pair<const std::string, Host>* best = nullptr;
  for (const auto& entry : m_hosts) {
    const Host& host = entry.second;
    // A host whose answer is overdue is busy for an unknown time.
    const bool overdue = host.m_calls > 0 && host.m_busyUntil <= aNow;
    const bool usable = host.m_quarantinedUntil <= aNow &&
                        host.m_calls < kMaxCallsPerHost && !overdue;
    if (usable && (best == nullptr ||
                   entry.second.m_busyUntil < best->second.m_busyUntil)) {
      best = &entry;
    }
  }
  return best;
}

void AdviceDispatcher::OnAnswer(const AdviceAnswer& aAnswer, TimePoint aNow)
{
  const auto call = m_calls.find(aAnswer.m_ticket);
  if (call == m_calls.end()) {
    return;
  }
  const auto found = m_hosts.find(call->second.m_host);
  if (found != m_hosts.end() && found->second.m_calls > 0) {
    Host& host = found->second;
    --host.m_calls;
    if (host.m_calls == 0) {
      host.m_busyUntil = aNow;
    }
  }
  m_calls.erase(call);
  m_answer(aAnswer);
}

void AdviceDispatcher::Tick(TimePoint aNow)
{
  std::vector<std::uint64_t> overdue;
  for (const auto& [ticket, call] : m_calls) {
    if (call.m_deadline <= aNow) {
      overdue.push_back(ticket);
      const auto host = m_hosts.find(call.m_host);
      if (host != m_hosts.end()) {
        host->second.m_quarantinedUntil = aNow + kQuarantineTime;
      }
    }
  }
  for (const std::uint64_t ticket : overdue) {
    AdviceAnswer answer;
    answer.m_ticket = ticket;
    OnAnswer(answer, aNow);
  }
}

} // namespace lycheestep
