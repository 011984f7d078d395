#ifndef LYCHEESTEP_CANCELLATION_NOTIFIER_H
#define LYCHEESTEP_CANCELLATION_NOTIFIER_H

#include <cstdint>
#include <map>
#include <vector>

#include "job.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Decides when a host tells the leader of the cancellations that it has
// acknowledged. The leader reads them from the store's change feed as well; the
// notices reach it while calls of that feed are lost. A notice is repeated
// until the leader confirms that the job is over, and again to the next leader.
// Used on one thread; reads no clock and sends nothing itself.
class CancellationNotifier
{
public:
  // Adds a cancellation whose row is in the store.
  void Add(const JobId& aJob, TimePoint aNow);

  // Returns the jobs of which a notice is due now to the leader's process with
  // the incarnation aLeader, and counts them as sent.
  std::vector<JobId> TakeDue(std::uint64_t aLeader, TimePoint aNow);

  // Handles the confirmation of a leader's process that a job is over.
  void OnConfirmed(std::uint64_t aLeader, const JobId& aJob);

  // Returns the jobs whose notices no leader has confirmed in time, and drops
  // them.
  std::vector<JobId> TakeExpired(TimePoint aNow);

private:
  struct Notice
  {
    TimePoint m_addedAt;
    TimePoint m_due;
    // The incarnation of the leader's process that confirmed it, zero if none
    // has.
    std::uint64_t m_confirmedBy = 0;
  };

  std::map<JobId, Notice> m_notices;
};

} // namespace lycheestep

#endif
