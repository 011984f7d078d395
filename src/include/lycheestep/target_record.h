#ifndef LYCHEESTEP_TARGET_RECORD_H
#define LYCHEESTEP_TARGET_RECORD_H

#include <string>

#include "lycheestep/id.h"
#include "lycheestep/job_spec.h"
#include "lycheestep/network_address.h"
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
  NetworkAddress m_address;
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

  friend bool operator==(const TargetRecord& aLeft, const TargetRecord& aRight)
  {
    return aLeft.m_target == aRight.m_target &&
           aLeft.m_service == aRight.m_service &&
           aLeft.m_address == aRight.m_address &&
           aLeft.m_dataCentre == aRight.m_dataCentre &&
           aLeft.m_rack == aRight.m_rack && aLeft.m_kind == aRight.m_kind &&
           aLeft.m_machine == aRight.m_machine &&
           aLeft.m_capacity == aRight.m_capacity &&
           aLeft.m_draining == aRight.m_draining &&
           aLeft.m_remaining == aRight.m_remaining &&
           aLeft.m_started == aRight.m_started;
  }
  friend bool operator!=(const TargetRecord& aLeft, const TargetRecord& aRight)
  {
    return !(aLeft == aRight);
  }
};

} // namespace lycheestep

#endif
