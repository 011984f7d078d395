#ifndef LYCHEESTEP_LEADER_ROW_H
#define LYCHEESTEP_LEADER_ROW_H

#include <cstdint>
#include <string>

#include "lycheestep/time_types.h"

namespace lycheestep {

namespace proto {
class LeaderRow;
}

// Who leads, as written in the leader row.
struct LeaderRowHolder
{
  std::string m_host;
  // Changes with each start of the host's process.
  std::uint64_t m_incarnation = 0;
  // The leader's estimate of the store's clock when it wrote the row.
  Duration m_renewed = Duration::zero();
  // True if the leader has given up the leadership.
  bool m_released = false;
};

// Which releases may take the lead as soon as the holder is silent.
enum class LeaderSuccession
{
  kAnyRelease,
  // Hosts of releases that do not know LeaderSuccession wait for
  // kEarlierReleaseDelay longer, because they can't read all progress.
  kThisRelease,
};

// The longest lease that a leader gives to a target, and how long it sends
// orders after its last renewal.
constexpr Duration kLeaderLease = std::chrono::seconds(8);
constexpr Duration kLeaderValidity = std::chrono::seconds(4);

// How much longer hosts of earlier releases wait before they take the lead.
constexpr Duration kEarlierReleaseDelay = std::chrono::seconds(10);

void SetHolder(const LeaderRowHolder& aHolder,
               LeaderSuccession aSuccession,
               proto::LeaderRow& aRow);
LeaderRowHolder HolderOf(const proto::LeaderRow& aRow);

} // namespace lycheestep

#endif
