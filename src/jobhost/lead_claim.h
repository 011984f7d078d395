#ifndef LYCHEESTEP_LEAD_CLAIM_H
#define LYCHEESTEP_LEAD_CLAIM_H

#include <cstdint>

#include "lycheestep/time_types.h"

namespace lycheestep {

// What a host that tries to take the lead knows from the leader row.
struct LeadClaim
{
  // The row's version; zero if the store has no such row.
  std::uint64_t m_version = 0;
  // The store's clock as the row was read, and when that was by the boot clock.
  Duration m_storeClock = Duration::zero();
  TimePoint m_clockAt;
  // The time by which all leases of former leaders have expired.
  TimePoint m_formerLeaseExpiry;
};

} // namespace lycheestep

#endif
