#include "advisor_hosts.h"

#include <algorithm>
#include <chrono>

#include "job_effects.h"

namespace lycheestep {

namespace {

// One in kHostsPerKeptHost hosts is kept free of long calls and of calls for
// steps that can no longer end in time, so that quick calls for urgent work
// never queue behind them. Of kMinHostsToKeepOne hosts or more, at least one is
// kept free of the latter.
constexpr std::size_t kMinHostsToKeepOne = 4;
constexpr std::size_t kHostsPerKeptHost = 8;
constexpr Duration kLongCall = std::chrono::milliseconds(100);

// Returns true if a call for a step of the queue may use every host.
bool IsQuickCall(const QueueConfig& aQueue, bool aInTime)
{
  return aInTime && aQueue.m_advice.m_perCall < kLongCall;
}

} // namespace

AdvisorHosts::AdvisorHosts(const JobEffects& aEffects)
  : m_effects(aEffects)
{
}

void AdvisorHosts::BeginRound(std::size_t aQueues, bool aSharesHosts)
{
  m_sharingQueues = aSharesHosts ? aQueues : 0;
  UpdateUse();
}

bool AdvisorHosts::MayAsk(const QueueConfig& aQueue, bool aInTime) const
{
  return m_canAsk && (IsQuickCall(aQueue, aInTime) ||
                      m_use.m_busyHosts < HostsFor(aQueue, aInTime));
}

bool AdvisorHosts::UsesItsShare(const QueueConfig& aQueue, bool aInTime) const
{
  if (m_sharingQueues == 0) {
    return false;
  }
  const auto calls = m_calls.find(aQueue.m_name);
  const std::size_t share =
    std::max<std::size_t>(HostsFor(aQueue, aInTime) / m_sharingQueues, 1);
  return calls != m_calls.end() && calls->second >= share;
}

void AdvisorHosts::OnCallSent(const QueueName& aQueue)
{
  ++m_calls[aQueue];
  UpdateUse();
}

void AdvisorHosts::OnCallEnded(const QueueName& aQueue)
{
  --m_calls[aQueue];
}

std::size_t AdvisorHosts::HostsFor(const QueueConfig& aQueue,
                                   bool aInTime) const
{
  if (IsQuickCall(aQueue, aInTime) || m_use.m_hosts <= 1) {
    return m_use.m_hosts;
  }
  const bool keepsOne = !aInTime && m_use.m_hosts >= kMinHostsToKeepOne;
  const std::size_t least = keepsOne ? 1 : 0;
  return m_use.m_hosts - std::max(m_use.m_hosts / kHostsPerKeptHost, least);
}

void AdvisorHosts::UpdateUse()
{
  m_use = m_effects.GetAdvisorUse();
  m_canAsk = m_effects.CanAsk();
}

} // namespace lycheestep
