#ifndef LYCHEESTEP_HEALTH_CHANGE_H
#define LYCHEESTEP_HEALTH_CHANGE_H

#include <string>

#include "lycheestep/id.h"

namespace lycheestep {

// A target was closed to new work for its failures, or opened again.
struct HealthChange
{
  TargetId m_target;
  bool m_ejected = false;
  // One sentence for the log.
  std::string m_why;
};

} // namespace lycheestep

#endif
