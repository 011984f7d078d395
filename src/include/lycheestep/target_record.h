#ifndef LYCHEESTEP_TARGET_RECORD_H
#define LYCHEESTEP_TARGET_RECORD_H

#include <string>

#include "lycheestep/id.h"
#include "lycheestep/job_spec.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The machine that a target runs on; targets come and go, machines stay.
using MachineName = Id<struct MachineTag>;

// What a target says of itself in the platform's list.
struct TargetRecord
{
  TargetId m_target;
  ServiceName m_service;
  // "10.128.0.9:8080".
  std::string m_address;
  DataCentreName m_dataCentre;
  RackName m_rack;
  // The sort of target, a label like any other.
  std::string m_kind;
  MachineName m_machine;
  Resources m_capacity;
  // It takes no new tasks and will leave.
  bool m_draining = false;
  // Least time until it leaves, while it drains.
  Duration m_remaining = Duration::zero();
  // When this incarnation started; tells incarnations under one id apart.
  WallTime m_started{ 0 };
};

} // namespace lycheestep

#endif
