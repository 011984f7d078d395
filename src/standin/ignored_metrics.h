#ifndef LYCHEESTEP_IGNORED_METRICS_H
#define LYCHEESTEP_IGNORED_METRICS_H

#include <string>

#include "lycheestep/metrics_sink.h"

namespace lycheestep {

// Drops all metrics, for tests that read none.
class IgnoredMetrics : public MetricsSink
{
public:
  void CountDecision(const LogDecision& /*aDecision*/) override {}
  void Count(const std::string& /*aName*/,
             const std::string& /*aLabel*/,
             std::uint64_t /*aAmount*/) override
  {
  }
  void SetGauge(const std::string& /*aName*/, double /*aValue*/) override {}
  void Observe(const std::string& /*aName*/,
               const std::string& /*aLabel*/,
               Duration /*aValue*/) override
  {
  }
  std::string Render() const override { return ""; }
};

} // namespace lycheestep

#endif
