#ifndef LYCHEESTEP_LEADER_SIGHTING_H
#define LYCHEESTEP_LEADER_SIGHTING_H

#include <cstdint>
#include <optional>
#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

// Which host leads, as a host that does not lead knows from heartbeats, and
// when to log it, so that the log of any one host tells the order of the
// leaders.
class LeaderSighting
{
public:
  // Notes a heartbeat. Returns the fields of a log line if another process led
  // before, and else once every few seconds.
  std::optional<std::string> OnHeartbeat(const std::string& aHost,
                                         std::uint64_t aIncarnation,
                                         TimePoint aNow);

  // Notes that a process has released the lead. Ignored if another one leads.
  void OnReleased(std::uint64_t aIncarnation);

  // Notes that this host takes the lead.
  void OnOwnLead(const std::string& aHost, std::uint64_t aIncarnation);

  // Returns the fields of a log line if no heartbeat has come for a second,
  // once for each silence.
  std::optional<std::string> CheckSilence(TimePoint aNow);

private:
  struct Leader
  {
    std::string m_host;
    std::uint64_t m_incarnation = 0;
    // The host and process that led before; "none" if this host knows of none.
    std::string m_former;
    TimePoint m_since;
    TimePoint m_heartbeatAt;
    TimePoint m_loggedAt;
    bool m_isSilent = false;
  };

  std::optional<Leader> m_leader;
  // The last process that is known to have led.
  std::string m_lastLeader = "none";
};

} // namespace lycheestep

#endif
