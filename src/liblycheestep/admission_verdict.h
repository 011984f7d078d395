#ifndef LYCHEESTEP_ADMISSION_VERDICT_H
#define LYCHEESTEP_ADMISSION_VERDICT_H

#include <string>

#include "lycheestep/scheduler_error.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Whether a request may wait here, and if not, why.
struct AdmissionVerdict
{
  bool m_accepted = false;
  // The rest is set for refused requests only.
  SchedulerError m_error = SchedulerError::kQueueFull;
  // One sentence for the caller.
  std::string m_detail;
  // When the caller may try again; zero: no use in trying again.
  Duration m_retryAfter = Duration::zero();
};

} // namespace lycheestep

#endif
