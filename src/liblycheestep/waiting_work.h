#ifndef LYCHEESTEP_WAITING_WORK_H
#define LYCHEESTEP_WAITING_WORK_H

#include <cstdint>
#include <string>

#include "lycheestep/id.h"
#include "lycheestep/scheduler_error.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// One admitted request that has not started yet, as the admission queue knows
// it. The body stays with whoever owns the request.
struct WaitingWork
{
  RequestId m_id;
  KindName m_kind;
  // Tasks that start together: the gang's or service's, else 1.
  int m_tasks = 1;
  TimePoint m_arrived;
  // The task has to start before this; TimePoint::max() means at any time.
  TimePoint m_deadline = TimePoint::max();
  // Entry hosts that have forwarded it so far.
  int m_hops = 0;
  // True for work that was acknowledged or had started before: it is always
  // admitted, since refusing it would lose it.
  bool m_resume = false;
  // Set by the queue: first come, first served among equal deadlines.
  std::uint64_t m_order = 0;
  // Set by TakeExpired: why it did not start in time.
  SchedulerError m_reason = SchedulerError::kDeadlinePassed;
  std::string m_detail;
};

} // namespace lycheestep

#endif
