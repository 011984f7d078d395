#ifndef LYCHEESTEP_ADVICE_H
#define LYCHEESTEP_ADVICE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lycheestep/task_run.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Asks which of these targets may run a step.
struct AdviceRequest
{
  // Matches the answer; unique within the asking process.
  std::uint64_t m_ticket = 0;
  StepName m_step;
  std::vector<TargetId> m_targets;
};

// Permission to run a step on one target.
struct AdvisedTarget
{
  TargetId m_target;
  std::string m_permission;
};

// The advisor's answer.
struct AdviceAnswer
{
  std::uint64_t m_ticket = 0;
  // False: the advisor did not answer, or was too busy.
  bool m_answered = false;
  std::vector<AdvisedTarget> m_good;
  Duration m_validFor = Duration::zero();
};

// How much of the capacity for calls to the advisor is in use.
struct AdvisorUse
{
  // Hosts that may make calls now, and those that a call keeps busy.
  std::size_t m_hosts = 0;
  std::size_t m_busyHosts = 0;
  // Calls that have no reply yet.
  std::size_t m_calls = 0;
};

// The service that knows which targets may run a step. It serves one call of
// a host at a time. Safe from any thread.
class Advisor
{
public:
  virtual ~Advisor() = default;

  virtual AdviceAnswer Ask(const AdviceRequest& aRequest,
                           Duration aTimeout) = 0;
};

} // namespace lycheestep

#endif
