#include "advice_spread.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lycheestep {

namespace {

// A host that did not answer is asked again after this.
constexpr Duration kLeftOut = std::chrono::seconds(2);

} // namespace

AdviceSpread::AdviceSpread(Send aSend, Answer aAnswer)
  : m_send(std::move(aSend))
  , m_answer(std::move(aAnswer))
{
  m_hosts[""] = Host();
}

void AdviceSpread::SetHosts(const std::vector<std::string>& aHosts)
{
  std::set<std::string> live(aHosts.begin(), aHosts.end());
  live.insert("");
  for (const std::string& host : live) {
    m_hosts.try_emplace(host);
  }
  for (auto it = m_hosts.begin(); it != m_hosts.end();) {
    it = live.count(it->first) == 0 ? m_hosts.erase(it) : std::next(it);
  }
}

void AdviceSpread::Ask(const AdviceRequest& aRequest,
                       Duration aTimeout,
                       TimePoint aNow)
{
  auto best = m_hosts.end();
  for (auto it = m_hosts.begin(); it != m_hosts.end(); ++it) {
    const bool usable = it->second.m_leftOutUntil <= aNow || it->first.empty();
    const bool better =
      best == m_hosts.end() || it->second.m_calls < best->second.m_calls;
    if (usable && better) {
      best = it;
    }
  }
  ++best->second.m_calls;
  m_calls[aRequest.m_ticket] = Call{ best->first, aNow + aTimeout };
  m_send(best->first, aRequest, aTimeout);
}

void AdviceSpread::OnAnswer(const AdviceAnswer& aAnswer)
{
  const auto call = m_calls.find(aAnswer.m_ticket);
  if (call == m_calls.end()) {
    return;
  }
  const auto host = m_hosts.find(call->second.m_host);
  if (host != m_hosts.end() && host->second.m_calls > 0) {
    --host->second.m_calls;
  }
  m_calls.erase(call);
  m_answer(aAnswer);
}

void AdviceSpread::Tick(TimePoint aNow)
{
  std::vector<std::uint64_t> overdue;
  for (const auto& [ticket, call] : m_calls) {
    if (call.m_until <= aNow) {
      overdue.push_back(ticket);
      const auto host = m_hosts.find(call.m_host);
      if (host != m_hosts.end()) {
        host->second.m_leftOutUntil = aNow + kLeftOut;
      }
    }
  }
  for (const std::uint64_t ticket : overdue) {
    AdviceAnswer answer;
    answer.m_ticket = ticket;
    OnAnswer(answer);
  }
}

std::size_t AdviceSpread::HostCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_hosts.begin(), m_hosts.end(), [aNow](const auto& aHost) {
      return aHost.first.empty() || aHost.second.m_leftOutUntil <= aNow;
    }));
}

} // namespace lycheestep
