#ifndef LYCHEESTEP_METRICS_SINK_H
#define LYCHEESTEP_METRICS_SINK_H

#include <cstdint>
#include <string>

#include "lycheestep/action.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Collects counters, gauges and latency histograms. Safe from any thread.
class MetricsSink
{
public:
  virtual ~MetricsSink() = default;

  // Counts a decision by its sort and kind of work, and observes the waiting
  // time of placements.
  virtual void CountDecision(const LogDecision& aDecision) = 0;

  // Adds to a counter. aLabel is its label set in Prometheus form without
  // braces, such as peer="entry-2"; it may be empty.
  virtual void Count(const std::string& aName,
                     const std::string& aLabel,
                     std::uint64_t aAmount) = 0;

  // Sets a gauge.
  virtual void SetGauge(const std::string& aName, double aValue) = 0;

  // Adds one duration to a histogram of seconds.
  virtual void Observe(const std::string& aName,
                       const std::string& aLabel,
                       Duration aValue) = 0;

  // Everything so far as Prometheus text.
  virtual std::string Render() const = 0;
};

} // namespace lycheestep

#endif
