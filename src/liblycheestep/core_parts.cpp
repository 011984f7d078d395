#include "core_parts.h"

namespace lycheestep {

CoreParts::CoreParts(const SchedulerSettings& aSettings)
  : m_peers(aSettings)
  , m_session(m_table)
  , m_watch(m_table, m_peers)
  , m_leases(m_fleet, m_session)
  , m_grants(
      m_table,
      m_session,
      m_watch,
      m_peers,
      m_fleet,
      [this](const AttemptId& aAttempt) { return m_leases.Tracks(aAttempt); })
  , m_records(m_table, m_session)
  , m_catalogue(m_table, m_peers)
  , m_switches(m_table)
  , m_queue(aSettings.m_queueLimit)
  , m_placer(aSettings.m_candidateSample)
{
  m_grants.SetAskTarget([this](CoreContext& aContext, const TargetId& aTarget) {
    m_leases.AskSoon(aContext, aTarget);
  });
}

} // namespace lycheestep
