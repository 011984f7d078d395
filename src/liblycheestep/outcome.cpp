#include "lycheestep/request.h"

namespace lycheestep {

const char* ToString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace lycheestep
