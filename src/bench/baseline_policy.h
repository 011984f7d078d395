#ifndef LYCHEESTEP_BENCH_BASELINE_POLICY_H
#define LYCHEESTEP_BENCH_BASELINE_POLICY_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "bench_policy.h"
#include "core_context.h"

namespace lycheestep::bench {

// How a baseline queues and places.
enum class Baseline
{
  kFirstFit,    // first come, first served; first target with room
  kRandomOfTwo, // first come, first served; the emptier of two random targets
  kRoundRobin,  // kinds in turn, targets in turn, no floors
};

// A policy without floors, classes and fairness, to compare with. Each kind
// has the same queue limit as under the scheduler.
class BaselinePolicy : public BenchPolicy
{
public:
  BaselinePolicy(Baseline aBaseline,
                 const std::shared_ptr<const Catalogue>& aCatalogue,
                 std::uint64_t aSeed);

  std::string Name() const override;
  bool Offer(const WaitingWork& aWork, TimePoint aNow) override;
  std::optional<BenchStart> Decide(const Fleet& aFleet,
                                   TimePoint aNow) override;
  void Ended(const WaitingWork& /*aWork*/) override {}
  void Expire(TimePoint aNow) override;
  std::size_t Waiting() const override { return m_waiting; }

  // The target for one task; empty when there is none.
  TargetId PlaceOne(const Fleet& aFleet,
                    const Resources& aDemand,
                    TimePoint aNow);

private:
  std::vector<TargetId> Place(const Fleet& aFleet,
                              const WaitingWork& aWork,
                              TimePoint aNow);
  std::size_t QueueOf(const WaitingWork& aWork) const;

  Baseline m_baseline;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::unordered_map<KindName, std::size_t> m_kinds;
  std::unordered_map<KindName, std::size_t> m_waitingOfKind;
  // One queue for all, or one for each kind.
  std::vector<std::deque<WaitingWork>> m_queues;
  std::size_t m_waiting = 0;
  std::size_t m_nextQueue = 0;
  std::size_t m_nextTarget = 0;
  RandomGenerator m_random;
};

} // namespace lycheestep::bench

#endif
