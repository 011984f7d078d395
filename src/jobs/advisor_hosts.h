#ifndef LYCHEESTEP_ADVISOR_HOSTS_H
#define LYCHEESTEP_ADVISOR_HOSTS_H

#include <cstddef>
#include <map>

#include "lycheestep/advice.h"
#include "lycheestep/queue_config.h"

namespace lycheestep {

class JobEffects;

// Decides which steps may call the advisor. A host makes one call at a time, so
// the hosts that are free are given out: some are kept for quick calls, and
// while the fleet has much free capacity each queue gets an equal share.
class AdvisorHosts
{
public:
  explicit AdvisorHosts(const JobEffects& aEffects);

  // Begins a placement round in which steps of aQueues queues wait. If
  // aSharesHosts, each of these queues gets an equal share of the hosts.
  void BeginRound(std::size_t aQueues, bool aSharesHosts);

  // Returns true if a host is free for a call for a step of the queue that can
  // end in time, or no longer can.
  bool MayAsk(const QueueConfig& aQueue, bool aInTime) const;

  // Returns true if the calls under way of the queue take its share of the
  // hosts.
  bool UsesItsShare(const QueueConfig& aQueue, bool aInTime) const;

  // Count a call that was sent, and one that was answered or timed out.
  void OnCallSent(const QueueName& aQueue);
  void OnCallEnded(const QueueName& aQueue);

private:
  // Returns how many hosts calls for a step of the queue may use together with
  // all other calls.
  std::size_t HostsFor(const QueueConfig& aQueue, bool aInTime) const;
  // Finds out which hosts are free.
  void UpdateUse();

  const JobEffects& m_effects;
  // The hosts that make calls, as of the last call or the round's beginning.
  AdvisorUse m_use;
  bool m_canAsk = false;
  // The number of queues that share the hosts; zero if they are not shared.
  std::size_t m_sharingQueues = 0;
  // The number of calls under way for each queue.
  std::map<QueueName, std::size_t> m_calls;
};

} // namespace lycheestep

#endif
