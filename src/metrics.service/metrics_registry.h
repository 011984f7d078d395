#ifndef LYCHEESTEP_METRICS_REGISTRY_H
#define LYCHEESTEP_METRICS_REGISTRY_H

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include "lycheestep/metrics_sink.h"

namespace lycheestep {

// Keeps all metrics of the process in memory and writes them as Prometheus
// text, with the processor time and memory of the process.
class MetricsRegistry : public MetricsSink
{
public:
  void CountDecision(const LogDecision& aDecision) override;
  void Count(const std::string& aName,
             const std::string& aLabel,
             std::uint64_t aAmount) override;
  void SetGauge(const std::string& aName, double aValue) override;
  void Observe(const std::string& aName,
               const std::string& aLabel,
               Duration aValue) override;
  std::string Render() const override;

private:
  using Buckets = boost::histogram::histogram<
    std::tuple<boost::histogram::axis::variable<double>>>;

  // One histogram and the sum of what it holds, in seconds.
  struct Distribution
  {
    Distribution();

    Buckets m_buckets;
    double m_sum = 0;
  };

  // Values by metric name and label set.
  template<class T>
  using Family = std::map<std::string, std::map<std::string, T>>;

  void ObserveLocked(const std::string& aName,
                     const std::string& aLabel,
                     Duration aValue);

  mutable std::mutex m_mutex;
  Family<std::uint64_t> m_counters;
  std::map<std::string, double> m_gauges;
  Family<Distribution> m_distributions;
};

} // namespace lycheestep

#endif
