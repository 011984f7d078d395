#include "leader_sighting.h"

#include <chrono>

namespace lycheestep {

namespace {

// How often a leader that stays is logged.
constexpr Duration kRepeatPeriod = std::chrono::seconds(5);

// Four heartbeats in a row are missing.
constexpr Duration kSilence = std::chrono::seconds(1);

std::string ProcessText(const std::string& aHost, std::uint64_t aIncarnation)
{
  return aHost + "/" + std::to_string(aIncarnation);
}

} // namespace

std::optional<std::string> LeaderSighting::OnHeartbeat(
  const std::string& aHost,
  std::uint64_t aIncarnation,
  TimePoint aNow)
{
  const bool isNew = !m_leader || m_leader->m_incarnation != aIncarnation;
  if (isNew) {
    m_leader =
      Leader{ aHost, aIncarnation, m_lastLeader, aNow, aNow, aNow, false };
    m_lastLeader = ProcessText(aHost, aIncarnation);
  }
  const bool wasSilent = m_leader->m_isSilent;
  m_leader->m_heartbeatAt = aNow;
  m_leader->m_isSilent = false;
  const bool isDue = aNow - m_leader->m_loggedAt >= kRepeatPeriod;
  if (!isNew && !wasSilent && !isDue) {
    return std::nullopt;
  }
  m_leader->m_loggedAt = aNow;
  return "leader=" + m_leader->m_host +
         " incarnation=" + std::to_string(m_leader->m_incarnation) +
         " since_ms=" +
         std::to_string(ToMilliseconds(aNow - m_leader->m_since)) +
         " former=" + m_leader->m_former;
}

void LeaderSighting::OnOwnLead(const std::string& aHost,
                               std::uint64_t aIncarnation)
{
  m_leader.reset();
  m_lastLeader = ProcessText(aHost, aIncarnation);
}

void LeaderSighting::OnReleased(std::uint64_t aIncarnation)
{
  if (m_leader && m_leader->m_incarnation == aIncarnation) {
    m_leader.reset();
  }
}

std::optional<std::string> LeaderSighting::CheckSilence(TimePoint aNow)
{
  const bool begins = m_leader && !m_leader->m_isSilent &&
                      aNow - m_leader->m_heartbeatAt >= kSilence;
  if (!begins) {
    return std::nullopt;
  }
  m_leader->m_isSilent = true;
  return "leader=" + m_leader->m_host + " silent_ms=" +
         std::to_string(ToMilliseconds(aNow - m_leader->m_heartbeatAt));
}

} // namespace lycheestep
