#ifndef LYCHEESTEP_BENCH_BENCH_POLICY_H
#define LYCHEESTEP_BENCH_BENCH_POLICY_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/time_types.h"
#include "waiting_work.h"

namespace lycheestep::bench {

// Work that a policy starts now, with one target for each task.
struct BenchStart
{
  WaitingWork m_work;
  std::vector<TargetId> m_targets;
};

// A task that runs, as a policy may want to stop it.
struct BenchRunning
{
  RequestId m_request;
  KindName m_kind;
  TargetId m_target;
  TimePoint m_started;
};

// Decides what starts when and where. The run calls it on virtual time and
// takes and gives back the fleet's resources around it.
class BenchPolicy
{
public:
  virtual ~BenchPolicy() = default;

  // The name in the table.
  virtual std::string Name() const = 0;

  // True when the request was admitted.
  virtual bool Offer(const WaitingWork& aWork, TimePoint aNow) = 0;

  // What starts next; nothing when nothing can start now.
  virtual std::optional<BenchStart> Decide(const Fleet& aFleet,
                                           TimePoint aNow) = 0;

  // The whole request ended, and its resources are free again.
  virtual void Ended(const WaitingWork& aWork) = 0;

  // Drops what passed its deadline.
  virtual void Expire(TimePoint aNow) = 0;

  // Requests that wait.
  virtual std::size_t Waiting() const = 0;

  // Requests to be checkpointed and stopped now.
  virtual std::vector<RequestId> Victims(
    const Fleet& /*aFleet*/,
    const std::vector<BenchRunning>& /*aRunning*/,
    TimePoint /*aNow*/)
  {
    return {};
  }

  // True when Victims should be asked.
  virtual bool WantsVictims() const { return false; }
};

} // namespace lycheestep::bench

#endif
