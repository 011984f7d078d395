#ifndef LYCHEESTEP_JOB_SCHEDULER_SETTINGS_H
#define LYCHEESTEP_JOB_SCHEDULER_SETTINGS_H

#include <chrono>
#include <cstddef>

#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"
#include "target_manager.h"

namespace lycheestep {

// Settings of JobScheduler.
struct JobSchedulerSettings
{
  TargetManagerSettings m_targets;
  // The rows of a job are kept this long after its end, so that its state can
  // be read.
  Duration m_retention = std::chrono::seconds(180);
  // The row that stands in place of a job which does not exist is kept this
  // long, and so is a cancellation without its job. No write of a host is done
  // later.
  Duration m_withdrawalRetention = std::chrono::seconds(180);
  // The longest value of a row, in bytes.
  std::size_t m_valueBytes = MaxValueBytes(kDefaultRowBytes);
};

} // namespace lycheestep

#endif
