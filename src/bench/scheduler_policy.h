#ifndef LYCHEESTEP_BENCH_SCHEDULER_POLICY_H
#define LYCHEESTEP_BENCH_SCHEDULER_POLICY_H

#include <cstdint>
#include <unordered_map>

#include "admission_queue.h"
#include "bench_policy.h"
#include "core_context.h"
#include "placer.h"
#include "preemption.h"

namespace lycheestep::bench {

// The policy of the decision core: AdmissionQueue, Placer and Preemption.
class SchedulerPolicy : public BenchPolicy
{
public:
  SchedulerPolicy(const std::shared_ptr<const Catalogue>& aCatalogue,
                  const Fleet& aFleet,
                  std::uint64_t aSeed);

  std::string Name() const override { return "lycheestep"; }
  bool Offer(const WaitingWork& aWork, TimePoint aNow) override;
  std::optional<BenchStart> Decide(const Fleet& aFleet,
                                   TimePoint aNow) override;
  void Ended(const WaitingWork& aWork) override;
  void Expire(TimePoint aNow) override;
  std::size_t Waiting() const override { return m_queue.Waiting(); }
  std::vector<RequestId> Victims(const Fleet& aFleet,
                                 const std::vector<BenchRunning>& aRunning,
                                 TimePoint aNow) override;
  bool WantsVictims() const override;

  // Work done so far, for the cost rows.
  std::uint64_t Placements() const { return m_placements; }
  std::uint64_t Comparisons() const;

private:
  std::vector<TargetId> Place(const Fleet& aFleet,
                              const WorkKind& aKind,
                              const WaitingWork& aWork,
                              TimePoint aNow,
                              std::string& aWhy);

  std::shared_ptr<const Catalogue> m_catalogue;
  std::unordered_map<KindName, const WorkKind*> m_kinds;
  AdmissionQueue m_queue;
  Placer m_placer;
  RandomGenerator m_random;
  std::uint64_t m_placements = 0;
  std::uint64_t m_candidates = 0;
};

} // namespace lycheestep::bench

#endif
